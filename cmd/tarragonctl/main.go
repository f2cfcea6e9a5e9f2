// Command tarragonctl is part of tarragonreach.
package main

func main() {}
