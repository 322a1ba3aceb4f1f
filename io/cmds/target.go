package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/sourcegraph/conc"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

type (
	// TargetOptions describe a stand-in target.
	TargetOptions struct {
		ID      ident.TargetID
		Service ident.ServiceName
		// Listen is the TCP address for requests.
		Listen string
		// Node is the TargetAddress setting of the node beside the target.
		Node string
		// DelayMillis is the time that the target takes to handle a request.
		DelayMillis clock.Millis
	}

	// StandInTarget is a server that replaces a real target in trials and announces
	// itself at its node.
	StandInTarget interface {
		Open() error
		Address() string
		// Run serves until ctx ends.
		Run(ctx context.Context) error
		// Drain sends a drain request to the node, waits for the requests in flight and
		// sends a leave request.
		Drain(ctx context.Context) error
	}
)

// drainMillis bounds the drain of a stand-in target.
const drainMillis = 10 * clock.Second

// targetCommand returns the command that runs a stand-in target.
func targetCommand(stdout io.Writer, create func(TargetOptions) StandInTarget) *command {
	var o TargetOptions
	var id, service string
	var delay time.Duration
	return &command{
		name: "target", synopsis: "run a stand-in for a target",
		usage: `hickoryrail target -id NAME -service NAME [-listen ADDRESS] [-node ADDRESS] [-delay DURATION]

Runs an HTTP server that announces itself at the node beside it and answers each
request with the request's body, for trials without real targets. SIGINT or
SIGTERM drains it.

Example:
  hickoryrail target -id orders-1 -service orders -listen 127.0.0.1:9001 -node 127.0.0.1:8081
`,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&id, "id", "", "`name` of the target; the Target setting of its node")
			f.StringVar(&service, "service", "", "`name` of its service; the Service setting of its node")
			f.StringVar(&o.Listen, "listen", "127.0.0.1:9001", "TCP `address` for requests; port 0 selects a free port")
			f.StringVar(&o.Node, "node", "127.0.0.1:8081", "TargetAddress setting of its node")
			f.DurationVar(&delay, "delay", 5*time.Millisecond, "time that each request takes")
		},
		run: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			if id == "" || service == "" {
				return usageError{"-id and -service are both needed"}
			}
			o.ID, o.Service, o.DelayMillis = ident.TargetID(id), ident.ServiceName(service), clock.FromDuration(delay)
			return runTarget(ctx, create(o), stdout)
		},
	}
}

// runTarget runs the target until ctx ends and drains it before it stops.
func runTarget(ctx context.Context, s StandInTarget, stdout io.Writer) error {
	if err := s.Open(); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "target at http://%s\n", s.Address())
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 1)
	var wg conc.WaitGroup
	wg.Go(func() { ended <- s.Run(serving) })
	defer wg.Wait()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	grace, cancel := context.WithTimeout(serving, drainMillis.Duration())
	defer cancel()
	drained := s.Drain(grace)
	stop()
	return errors.Join(drained, <-ended)
}
