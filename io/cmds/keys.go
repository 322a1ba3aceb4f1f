package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"hickoryrail/core/ident"
	"hickoryrail/io/keys"
)

// keysCommand returns the command that creates the credentials of a fleet.
func keysCommand(stdout io.Writer) *command {
	var directory, nodes string
	var add bool
	return &command{
		name: "keys", synopsis: "create the credentials of a fleet",
		usage: `hickoryrail keys -nodes NAME,... [-directory DIRECTORY] [-add]

Creates a directory with the fleet's authority, a certificate for each node and
the operators' token. With -add it uses the existing authority and only creates
certificates for further nodes. Existing files are never replaced.

Give each node authority.crt, operator.sha256 and its own node-NAME.crt and .key.
Do not copy authority.key to any node.

Examples:
  hickoryrail keys -nodes a1,a2,a3
  hickoryrail keys -nodes a4 -add
`,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&directory, "directory", "keys", "key `directory`")
			f.StringVar(&nodes, "nodes", "", "`names` of nodes, separated by commas")
			f.BoolVar(&add, "add", false, "add nodes to the fleet in the directory")
		},
		run: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			list, err := nodeIDs(nodes)
			if err != nil {
				return err
			}
			if add {
				err = addNodes(directory, list)
			} else {
				_, err = keys.CreateFleet(directory, list)
			}
			if err == nil {
				fmt.Fprintf(stdout, "wrote the credentials of %d nodes to %s\n", len(list), directory)
			}
			return err
		},
	}
}

// nodeIDs parses and checks a list of nodes, so that a wrong name is found before any
// file is written.
func nodeIDs(text string) ([]ident.NodeID, error) {
	var list []ident.NodeID
	var faults []error
	for name := range strings.SplitSeq(text, ",") {
		n := ident.NodeID(strings.TrimSpace(name))
		list = append(list, n)
		faults = append(faults, keys.CheckNodeID(n))
	}
	if text == "" {
		return nil, usageError{"-nodes is missing"}
	}
	return list, errors.Join(faults...)
}

// addNodes creates the certificates of further nodes.
func addNodes(directory string, nodes []ident.NodeID) error {
	a, err := keys.OpenAuthority(directory)
	if err != nil {
		return err
	}
	for _, n := range nodes {
		if err := a.CreateNode(n); err != nil {
			return err
		}
	}
	return nil
}
