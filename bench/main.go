// Command bench measures the fleet's decisions and speed.
package main

func main() {}
