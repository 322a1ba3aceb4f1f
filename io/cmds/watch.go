package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/io/admin"
)

const (
	// pollMillis is the interval at which the state of the fleet is polled.
	pollMillis = 500 * clock.Millis(1)
	// maxNamed bounds the lagging nodes, and the dead nodes, that a line names.
	maxNamed = 10
)

type (
	// watcher polls the fleet until a release is in force on every live node.
	watcher struct {
		version ident.Version
		timeout clock.Millis
		asJSON  bool
	}

	// progress is the progress of a release in the fleet.
	progress struct {
		Version ident.Version
		// InForce counts the live nodes that hold the version or a later one.
		InForce int
		// Live counts the nodes that are not dead and have not left.
		Live int
		// Laggards are the live nodes that hold an earlier version.
		Laggards []laggingNode
		// Unreachable are the dead nodes; they receive the release when they return.
		Unreachable []ident.NodeID
	}

	// laggingNode is a node that does not hold the release yet.
	laggingNode struct {
		Node  ident.NodeID
		Held  ident.Version
		State string
	}

	// fleetSource provides the version that each node holds.
	fleetSource interface {
		Fleet(ctx context.Context) ([]admin.NodeStatus, error)
	}
)

var (
	// errNotEverywhere reports a release that is not in force on every live node when
	// the timeout expires.
	errNotEverywhere = errors.New("the release is not in force everywhere")
	// errNoRelease reports that no release exists that could be watched.
	errNoRelease = errors.New("there is no release yet")
)

// watchCommand returns the command that shows the progress of a release.
func watchCommand(stdout io.Writer) *command {
	var c nodeFlags
	w := watcher{}
	var version uint64
	var timeout time.Duration
	return &command{
		name: "watch", synopsis: "show a release's progress until it is in force everywhere",
		usage: `hickoryrail watch [-version N] [-timeout DURATION] [-json] [-node URL]

Prints a line whenever the progress changes, with the nodes that lag behind, and
ends when every live node holds the release. Dead nodes are named but not waited
for. The exit status is 1 if the timeout expires.

Examples:
  hickoryrail watch
  hickoryrail watch -version 12 -timeout 30s -json
`,
		flags: func(f *flag.FlagSet) {
			c.flags(f)
			f.Uint64Var(&version, "version", 0, "version to wait for; 0 is the newest")
			f.DurationVar(&timeout, "timeout", time.Minute, "longest wait")
			f.BoolVar(&w.asJSON, "json", false, "print JSON")
		},
		run: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			client, err := c.newClient()
			if err != nil {
				return err
			}
			w.version, w.timeout = ident.Version(version), clock.FromDuration(timeout)
			if w.version == 0 {
				newest, err := client.Configuration(ctx)
				if err != nil {
					return err
				}
				w.version = newest.Version
			}
			if w.version == 0 {
				return errNoRelease
			}
			return w.run(ctx, client, stdout)
		},
	}
}

// run prints the progress until the release is in force on every live node.
func (w *watcher) run(ctx context.Context, source fleetSource, stdout io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, w.timeout.Duration())
	defer cancel()
	ticker := time.NewTicker(pollMillis.Duration())
	defer ticker.Stop()
	last := ""
	for {
		nodes, err := source.Fleet(ctx)
		switch {
		case errors.Is(err, admin.ErrUnauthorized):
			return err
		case err != nil && ctx.Err() == nil:
			// A restart or a short disconnection of the node does not end the watch.
			last = w.print(stdout, last, "the node cannot be asked: "+err.Error(), struct{ Error string }{err.Error()})
		case err == nil:
			p := progressOf(w.version, nodes)
			last = w.print(stdout, last, p.String(), p)
			if p.done() {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s", errNotEverywhere, last)
		case <-ticker.C:
		}
	}
}

// print prints a line, or v as JSON, unless the line equals the last one. It returns
// the line.
func (w *watcher) print(stdout io.Writer, last, line string, v any) string {
	if line == last {
		return last
	}
	if w.asJSON {
		// A failed write to standard output must not end the watch of a release.
		_ = printJSON(stdout, v)
	} else {
		fmt.Fprintln(stdout, line)
	}
	return line
}

// progressOf returns the progress of a version among the nodes.
func progressOf(version ident.Version, nodes []admin.NodeStatus) progress {
	p := progress{Version: version}
	for _, n := range nodes {
		switch {
		case n.State == member.Left.String():
		case n.State == member.Dead.String():
			p.Unreachable = append(p.Unreachable, n.Node)
		case n.Held >= version:
			p.Live++
			p.InForce++
		default:
			p.Live++
			p.Laggards = append(p.Laggards, laggingNode{Node: n.Node, Held: n.Held, State: n.State})
		}
	}
	return p
}

// done reports whether every live node holds the release. It is false for a fleet
// without live nodes.
func (p progress) done() bool {
	return p.Live > 0 && p.InForce == p.Live
}

// String returns the progress on one line.
func (p progress) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d is in force on %d of %d live nodes", p.Version, p.InForce, p.Live)
	for i, l := range p.Laggards {
		if i == maxNamed {
			fmt.Fprintf(&b, " and %d more", len(p.Laggards)-maxNamed)
			break
		}
		fmt.Fprintf(&b, "%s%s (holds %d, %s)", map[bool]string{true: "; behind: ", false: ", "}[i == 0], l.Node, l.Held, l.State)
	}
	for i, n := range p.Unreachable {
		if i == maxNamed {
			fmt.Fprintf(&b, " and %d more", len(p.Unreachable)-maxNamed)
			break
		}
		fmt.Fprintf(&b, "%s%s", map[bool]string{true: "; dead: ", false: ", "}[i == 0], n)
	}
	return b.String()
}
