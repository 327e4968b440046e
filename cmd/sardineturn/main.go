// Command sardineturn is the query tier's one shipped binary.
package main

func main() {}
