// Command hickoryrail runs a node of the mesh and the tools around it.
package main

import (
	"os"

	"hickoryrail/io/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr, cmds.Backends{}))
}
