// Command standin is built from the package of its command line.
package main

func main() {}
