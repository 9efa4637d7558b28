// Command caller is a stand-in for callers.
package main

func main() {}
