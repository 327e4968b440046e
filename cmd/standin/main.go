// Command standin holds stand-ins for the systems outside sardineturn, and the
// load tool. It is used in tests and experiments and never shipped.
package main

func main() {}
