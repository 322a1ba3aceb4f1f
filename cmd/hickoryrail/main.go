// Command hickoryrail runs a node of the service mesh and the tools to operate it.
package main

import (
	"context"
	"flag"
	"io"
	"os"

	"hickoryrail/io/bench"
	"hickoryrail/io/cmds"
	"hickoryrail/io/conf"
	"hickoryrail/io/demo"
	"hickoryrail/io/node"
	"hickoryrail/io/target"
	"hickoryrail/platform"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr, cmds.Backends{
		Node:   runNode,
		Target: newTarget,
		Demo:   demoBackend(),
		Bench:  benchBackend(),
	}))
}

// runNode runs a node with the platform protocol that its settings select.
func runNode(ctx context.Context, s conf.Settings, output io.Writer) error {
	if s.Platform == conf.PlatformRows {
		return platform.Run(ctx, s, output)
	}
	return node.Run(ctx, s, output)
}

// newTarget creates a stand-in target.
func newTarget(o cmds.TargetOptions) cmds.StandInTarget {
	return &target.Server{ID: o.ID, Service: o.Service, Listen: o.Listen, NodeAddress: o.Node, DelayMillis: o.DelayMillis}
}

// benchBackend returns the backend that runs measurements.
func benchBackend() cmds.Backend {
	var r bench.Runner
	return cmds.Backend{Flags: r.SetFlags, Run: r.Run}
}

// demoBackend returns the backend that runs the demonstration. The log lines of the
// nodes go to the file of -log, if it is set.
func demoBackend() cmds.Backend {
	var path string
	return cmds.Backend{
		Flags: func(f *flag.FlagSet) { f.StringVar(&path, "log", "", "`file` for the log lines of the nodes") },
		Run: func(ctx context.Context, stdout io.Writer, _ []string) error {
			if path == "" {
				return demo.Run(ctx, stdout, io.Discard)
			}
			f, err := os.Create(path)
			if err != nil {
				return err
			}
			defer f.Close()
			return demo.Run(ctx, stdout, f)
		},
	}
}
