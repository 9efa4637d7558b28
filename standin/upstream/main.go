// Command upstream is a stand-in for upstreams.
package main

func main() {}
