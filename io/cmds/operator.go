package cmds

import (
	"bytes"
	"context"
	"crypto/x509"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"hickoryrail/core/clock"
	"hickoryrail/io/admin"
)

// defaultNode is the operator address of a node with default settings.
const defaultNode = "https://127.0.0.1:8443"

// nodeFlags holds the flags that name a node and the operator's credential.
type nodeFlags struct {
	node       string
	credential string
	authority  string
}

// flags defines the flags.
func (c *nodeFlags) flags(f *flag.FlagSet) {
	f.StringVar(&c.node, "node", defaultNode, "operator `address` of any node")
	f.StringVar(&c.credential, "credential", "keys/operator.token", "`file` with the operators' token")
	f.StringVar(&c.authority, "authority", "keys/authority.crt", "`file` with the certificate of the fleet's authority")
}

// newClient returns a client for the node.
func (c *nodeFlags) newClient() (*admin.Client, error) {
	if !strings.HasPrefix(c.node, "https://") {
		return nil, usageError{fmt.Sprintf("-node %q is refused; allowed: https://host:port", c.node)}
	}
	token, err := os.ReadFile(c.credential)
	if err != nil {
		return nil, fmt.Errorf("-credential: %w", err)
	}
	certificate, err := os.ReadFile(c.authority)
	if err != nil {
		return nil, fmt.Errorf("-authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(certificate) {
		return nil, fmt.Errorf("-authority: %s holds no certificate in PEM form", c.authority)
	}
	return &admin.Client{URL: strings.TrimRight(c.node, "/"), Token: string(bytes.TrimSpace(token)), Authority: pool}, nil
}

// historyCommand returns the command that lists releases.
func historyCommand(stdout io.Writer) *command {
	var c nodeFlags
	var limit int
	var asJSON bool
	return &command{
		name: "history", synopsis: "list the newest releases",
		usage: `hickoryrail history [-limit N] [-json] [-node URL]

Lists the newest releases, newest first.

Example:
  hickoryrail history -limit 10
`,
		flags: func(f *flag.FlagSet) {
			c.flags(f)
			f.IntVar(&limit, "limit", 20, "number of releases, 1 to 1000")
			f.BoolVar(&asJSON, "json", false, "print JSON")
		},
		run: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			client, err := c.newClient()
			if err != nil {
				return err
			}
			entries, err := client.History(ctx, limit)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(stdout, entries)
			}
			w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "VERSION\tACCEPTED\tOPERATOR\tEDIT\tDIGEST")
			for _, e := range entries {
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", e.Version, formatTime(e.AcceptedMillis), e.Operator, e.EditID, e.Digest.Short())
			}
			return w.Flush()
		},
	}
}

// statusCommand returns the command that shows the state of a node.
func statusCommand(stdout io.Writer) *command {
	var c nodeFlags
	var asJSON bool
	return &command{
		name: "status", synopsis: "show a node's state and its view of the fleet",
		usage: `hickoryrail status [-json] [-node URL]

Shows whether the node is ready and why not, the release in force, the members,
the targets and the reader's lease as this node sees them.

Example:
  hickoryrail status -node https://10.0.0.7:8443
`,
		flags: func(f *flag.FlagSet) {
			c.flags(f)
			f.BoolVar(&asJSON, "json", false, "print JSON")
		},
		run: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			client, err := c.newClient()
			if err != nil {
				return err
			}
			s, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(stdout, s)
			}
			return printStatus(stdout, s)
		},
	}
}

// printStatus prints the state of a node as text.
func printStatus(stdout io.Writer, s admin.Status) error {
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	ready := "yes"
	if len(s.Reasons) > 0 {
		ready = "no: " + strings.Join(s.Reasons, "; ")
	}
	fmt.Fprintf(w, "node\t%s in %s, %s\n", s.Node, s.FailureDomain, s.Region)
	fmt.Fprintf(w, "ready\t%s\n", ready)
	fmt.Fprintf(w, "release\t%d %s (edit %s)\n", s.Version, s.Digest.Short(), s.EditID)
	lease := "holder unknown"
	if s.Lease.Holder != "" {
		lease = fmt.Sprintf("%s, epoch %d", s.Lease.Holder, s.Lease.Epoch)
	}
	fmt.Fprintf(w, "lease\t%s\n", lease)
	for _, state := range []string{"Alive", "Suspect", "Dead", "Left"} {
		fmt.Fprintf(w, "members %s\t%d\n", state, s.Members[state])
	}
	for _, t := range s.Targets {
		fmt.Fprintf(w, "target %s\t%s, service %s, node %s, %s\n", t.Target, t.State, t.Service, t.Node, t.FailureDomain)
	}
	return w.Flush()
}

// printJSON prints v as one line of JSON.
func printJSON(w io.Writer, v any) error {
	return json.NewEncoder(w).Encode(v)
}

// formatTime returns a time as text for users; 0 is shown as unknown.
func formatTime(m clock.Millis) string {
	if m == 0 {
		return "unknown"
	}
	return m.Time().Format("2006-01-02T15:04:05Z")
}
