// Command filbertd runs one balancer.
package main

func main() {}
