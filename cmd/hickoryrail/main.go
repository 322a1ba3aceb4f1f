// Command hickoryrail runs a node of the mesh and the tools around it.
package main

func main() {}
