package cmds

import (
	"context"
	"flag"
	"fmt"
	"io"

	"hickoryrail/core/ident"
	"hickoryrail/io/conf"
	"hickoryrail/io/logs"
	"hickoryrail/io/stub"
)

const (
	// bytesPerMegabyte is the unit of -memory-mb.
	bytesPerMegabyte = 1e6
	// bitsPerMegabit is the unit of -link-mbps.
	bitsPerMegabit = 1e6
	// demoUsage is the help of the demo command.
	demoUsage = `hickoryrail demo [flags]

Runs a fleet of nodes, targets and a platform stand-in in one process on
loopback addresses, sends calls through it, and prints what each step shows.

Example:
  hickoryrail demo
`
	// benchUsage is the help of the bench command.
	benchUsage = `hickoryrail bench [-csv DIR] [-quick] [NAME ...]

Runs measurements on loopback addresses and prints a table of each. Without a name it lists
them; "all" stands for all of them. Flags come before the names.

Examples:
  hickoryrail bench
  hickoryrail bench -csv figures choice admission
  hickoryrail bench -quick all
`
)

// nodeCommand returns the command that runs a node.
func nodeCommand(stdout io.Writer, node func(context.Context, conf.Settings, io.Writer) error) *command {
	var path string
	var memory, link float64
	return &command{
		name: "node", synopsis: "run a node",
		usage: `hickoryrail node -config FILE [-memory-mb N] [-link-mbps N]

Runs a node until SIGINT or SIGTERM, then stops it gracefully: requests in
flight end first. A second SIGINT ends it at once; a second SIGTERM is
ignored. The log goes to standard output as JSON lines.

Example:
  hickoryrail node -config a1.toml
`,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&path, "config", "", "settings `file` of the node")
			f.Float64Var(&memory, "memory-mb", 0, "memory of the process in `megabytes`, in place of Limits.MemoryBytes; 0 for that setting")
			f.Float64Var(&link, "link-mbps", 0, "rate of the server's link in `megabits` per second, in place of Limits.LinkBitsPerSecond; 0 for that setting")
		},
		run: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			switch {
			case path == "":
				return usageError{"-config is missing"}
			case !(memory >= 0):
				return usageError{"-memory-mb is negative"}
			case !(link >= 0):
				return usageError{"-link-mbps is negative"}
			}
			s, err := conf.Load(path)
			if err != nil {
				return err
			}
			if memory > 0 {
				s.Limits.MemoryBytes = ident.Bytes(memory * bytesPerMegabyte)
			}
			if link > 0 {
				s.Limits.LinkBitsPerSecond = int64(link * bitsPerMegabit)
			}
			stop := reloadOnHangup(ctx, path, s, logs.New(stdout, s.Log.Level))
			defer stop()
			return node(ctx, s, stdout)
		},
	}
}

// platformCommand returns the command that runs the stub of the platform.
func platformCommand(stdout io.Writer) *command {
	var listen string
	return &command{
		name: "platform", synopsis: "run a stand-in for the platform's table service and object store",
		usage: `hickoryrail platform [-listen ADDRESS]

Runs a stand-in for the platform's transactional table service and object store,
for trials without a platform. It keeps everything in memory: when it stops, all
releases are lost. docs/platform.md describes its protocol and its faults.

Example:
  hickoryrail platform -listen 127.0.0.1:7300
`,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&listen, "listen", "127.0.0.1:7300", "TCP `address`; port 0 selects a free port")
		},
		run: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			s := &stub.Server{Listen: listen}
			if err := s.Open(); err != nil {
				return err
			}
			fmt.Fprintf(stdout, "platform stand-in at http://%s\n", s.Address())
			return s.Run(ctx)
		},
	}
}

// settingsCommand returns the command that prints the table of settings.
func settingsCommand(stdout io.Writer) *command {
	return &command{
		name: "settings", synopsis: "print the settings of a node with defaults and allowed values",
		usage: `hickoryrail settings

Prints the page docs/settings.md.

Example:
  hickoryrail settings > docs/settings.md
`,
		run: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			_, err := io.WriteString(stdout, conf.Markdown())
			return err
		},
	}
}
