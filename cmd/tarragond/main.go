// Command tarragond is part of tarragonreach.
package main

func main() {}
