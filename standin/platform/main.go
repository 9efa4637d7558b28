// Command platform is a stand-in for the platform's configuration service.
package main

func main() {}
