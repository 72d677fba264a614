// Command rosemarylined is the daemon of the proxy fleet.
package main

func main() {}
