package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/io/admin"
	"hickoryrail/io/conf"
	"hickoryrail/io/files"
	"hickoryrail/io/keys"
)

// fakeControl is an admin.EditControl and admin.StatusSource with preset results. It
// records submitted edits.
type fakeControl struct {
	mu    sync.Mutex
	edits []admin.Edit
	// errs are the errors of the first submissions, in order.
	errs  []error
	out   admin.Outcome
	nodes []admin.NodeStatus
	// empty is true if there is no release.
	empty bool
	// fleetCalls counts the calls of Fleet.
	fleetCalls int
}

func (f *fakeControl) Submit(_ context.Context, e admin.Edit) (admin.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.edits = append(f.edits, e)
	if n := len(f.edits); n <= len(f.errs) && f.errs[n-1] != nil {
		return admin.Outcome{}, f.errs[n-1]
	}
	out := f.out
	out.EditID = e.EditID
	return out, nil
}

func (f *fakeControl) History(context.Context, int) ([]admin.HistoryEntry, error) {
	return []admin.HistoryEntry{{Version: 3, Operator: "ann", AcceptedMillis: 1.7e12}}, nil
}

func (f *fakeControl) Configuration(context.Context) (model.Release, error) {
	if f.empty {
		return model.Release{}, nil
	}
	return model.NewRelease(3, "e3", configuration())
}

func (f *fakeControl) Status() admin.Status {
	return admin.Status{Node: "a1", Version: 3, Reasons: []string{"no version floor"}, Members: map[string]int{"Alive": 2}}
}

// Fleet returns the nodes. With each call one more node holds version 3.
func (f *fakeControl) Fleet() []admin.NodeStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range min(f.fleetCalls, len(f.nodes)) {
		f.nodes[i].Held = max(f.nodes[i].Held, 3)
	}
	f.fleetCalls++
	return append([]admin.NodeStatus(nil), f.nodes...)
}

// The seed of the property tests is fixed, so that a failure can be repeated.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}

// configuration returns a small valid configuration.
func configuration() model.Configuration {
	return model.Configuration{
		Inventory: model.Inventory{Services: []model.Service{{Name: "orders", Slots: 6, Connections: 130}}},
		Rules: model.Rules{Routes: []model.Route{{
			Name: "place", PathPrefix: "/orders", Service: "orders", Class: model.Action, TimeoutMillis: 2000, MaxAttempts: 2,
		}}},
	}
}

// backends returns the backends of the tests.
func backends() Backends {
	return Backends{
		Node: func(_ context.Context, s conf.Settings, stdout io.Writer) error {
			_, err := fmt.Fprintf(stdout, "node %s, memory %d, link %d", s.Node, s.Limits.MemoryBytes, s.Limits.LinkBitsPerSecond)
			return err
		},
		Target: func(TargetOptions) StandInTarget { return &fakeTarget{} },
		Demo: Backend{
			Flags: func(f *flag.FlagSet) { f.Int("nodes", 3, "nodes") },
			Run:   func(context.Context, io.Writer, []string) error { return errors.New("demo failed") },
		},
	}
}

// serve starts an admin.OperatorServer on f and returns the flags to reach it.
func serve(t *testing.T, f *fakeControl) []string {
	t.Helper()
	directory := t.TempDir()
	if _, err := keys.CreateFleet(directory, []ident.NodeID{"a1"}); err != nil {
		t.Fatal(err)
	}
	identity, err := keys.LoadIdentity(directory, "a1")
	if err != nil {
		t.Fatal(err)
	}
	digest, err := keys.LoadOperatorDigest(directory)
	if err != nil {
		t.Fatal(err)
	}
	o := &admin.OperatorServer{Listen: "127.0.0.1:0", Certificate: identity.Certificate, Credential: digest, Control: f, Source: f}
	if err := o.Open(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- o.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return []string{
		"-node", "https://" + o.Address(), "-credential", filepath.Join(directory, keys.OperatorToken),
		"-authority", filepath.Join(directory, keys.AuthorityCertificate),
	}
}

// run runs a command line and returns its exit status, standard output and standard
// error.
func run(args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	status := Run(context.Background(), args, &stdout, &stderr, backends())
	return status, stdout.String(), stderr.String()
}

// TestExitStatus guards against an error with exit status 0, an invalid command line
// whose exit status is not 2, and an error that is not printed on standard error.
func TestExitStatus(t *testing.T) {
	config := filepath.Join(t.TempDir(), "a1.toml")
	text := "Node = \"a1\"\nFailureDomain = \"a\"\nRegion = \"r\"\nPlatformURL = \"http://127.0.0.1:1\"\n"
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		line           string
		status         int
		stdout, stderr string
	}{
		{"help", 0, "apply", ""},
		{"help apply", 0, "Examples:", ""},
		{"settings", 0, "`BodyBytes`", ""},
		{"node -config " + config, 0, "node a1", ""},
		{"node -memory-mb 284 -config " + config, 0, "memory 284000000", ""},
		{"node -memory-mb -1 -config " + config, 2, "", "-memory-mb is negative"},
		{"node -link-mbps 13.5 -config " + config, 0, "link 13500000", ""},
		{"node -link-mbps -1 -config " + config, 2, "", "-link-mbps is negative"},
		{"node", 2, "", "-config is missing"},
		{"node -config absent.toml", 1, "", "absent.toml"},
		{"check -config " + config, 0, "no faults", ""},
		{"check -inventory ../../examples/sitaki/inventory.toml -rules ../../examples/sitaki/rules.toml", 0, "no faults", ""},
		{"check -inventory ../../examples/sitaki/inventory.toml", 0, "no faults", ""},
		{"check -rules ../../examples/sitaki/rules.toml", 2, "", "-inventory"},
		{"check -config absent.toml -inventory ../../examples/kalahari/inventory.toml -rules ../../examples/sitaki/rules.toml", 1, "", "absent.toml"},
		{"check -inventory ../../examples/kalahari/inventory.toml -rules ../../examples/sitaki/rules.toml", 1, "", "rules.toml:8: Routes.Service"},
		{"check", 2, "", "at least one file"},
		{"check extra", 2, "", "extra"},
		{"check -colour red", 2, "", "colour"},
		{"apply -inventory ../../examples/sitaki/inventory.toml -rules ../../examples/sitaki/rules.toml", 2, "", "-base is missing"},
		{"apply -base 3", 2, "", "-inventory and -rules"},
		{"apply -inventory ../../examples/sitaki/inventory.toml -rules ../../examples/sitaki/rules.toml -base 3 -at tomorrow", 2, "", "2027-01-04"},
		{"apply -inventory ../../examples/sitaki/inventory.toml -rules ../../examples/sitaki/rules.toml -base 3 -credential absent", 1, "", "absent"},
		{"status -node http://127.0.0.1:1", 2, "", "https://"},
		{"keys", 2, "", "-nodes is missing"},
		{"keys -nodes a/b", 1, "", "a/b"},
		{"demo", 1, "", "demo failed"},
		{"demo -nodes x", 2, "", "invalid value"},
		{"target -id t1", 2, "", "-service"},
		{"bench", 2, "", ""},
		{"dance", 2, "", ""},
	}
	for _, c := range cases {
		t.Run(c.line, func(t *testing.T) {
			is := is.New(t)
			status, stdout, stderr := run(strings.Fields(c.line)...)
			is.Equal(status, c.status)
			is.True(strings.Contains(stdout, c.stdout))
			is.True(strings.Contains(stderr, c.stderr))
			is.True(status == 0 || stdout == "" || c.line == "dance" || c.line == "bench")
		})
	}
}

// TestHelp guards against a command without an example.
func TestHelp(t *testing.T) {
	b := backends()
	b.Bench = b.Demo
	for _, list := range groups(io.Discard, b) {
		for _, c := range list {
			if !strings.Contains(c.Usage(), "Example") || c.synopsis == "" || !strings.HasPrefix(c.usage, "hickoryrail "+c.name) {
				t.Errorf("%s has no complete help", c.name)
			}
		}
	}
}

// TestOperatorCommands guards against a command whose output differs from the state of
// the node.
func TestOperatorCommands(t *testing.T) {
	f := &fakeControl{out: admin.Outcome{
		State: admin.Valid, Changes: []model.Change{{Field: "Service/orders/Slots", Old: "6", New: "8"}},
	}}
	flags := serve(t, f)
	cases := []struct {
		line, want string
	}{
		{"history", "ann"},
		{"history -json", `"Version":3`},
		{"status", "no: no version floor"},
		{"status -json", `"Alive":2`},
		{"plan -inventory ../../examples/sitaki/inventory.toml -rules ../../examples/sitaki/rules.toml", "~ Service/orders/Slots = 8 (was 6)\n\napply with:\n  hickoryrail apply -inventory ../../examples/sitaki/inventory.toml -rules ../../examples/sitaki/rules.toml -base 3"},
		{"plan -inventory ../../examples/sitaki/inventory.toml -rules ../../examples/sitaki/rules.toml -base 2", "-base 2"},
	}
	for _, c := range cases {
		t.Run(c.line, func(t *testing.T) {
			is := is.New(t)
			status, stdout, stderr := run(append(strings.Fields(c.line), flags...)...)
			is.Equal(stderr, "")
			is.Equal(status, 0)
			is.True(strings.Contains(stdout, c.want))
		})
	}
	for _, e := range f.edits {
		is.New(t).True(e.DryRun) // plan changes nothing
	}
}

// TestApply guards against an edit that is submitted under two ids, and against an
// unknown outcome that is reported as a refusal or as a success.
func TestApply(t *testing.T) {
	lost := errors.New("connection closed")
	down := result.NewError(result.NotRun, "platform is down", nil)
	cases := []struct {
		name        string
		errs        []error
		out         admin.Outcome
		submissions int
		status      int
		want        string
	}{
		{"accepted", nil, admin.Outcome{State: admin.Accepted, Version: 4}, 1, 0, "is release 4"},
		{"scheduled", nil, admin.Outcome{State: admin.Scheduled, ReleaseMillis: 1.7e12}, 1, 0, "2023-11-14T22:13:20Z"},
		{"clash", nil, admin.Outcome{State: admin.Refused, Clashes: []string{"Service/orders/Slots"}}, 1, 1, "another edit changed Service/orders/Slots"},
		{"answer lost", []error{lost}, admin.Outcome{State: admin.Accepted, Version: 4}, 2, 0, "is release 4"},
		{"down", []error{down}, admin.Outcome{}, 1, 1, "nothing changed"},
		{"unknown", []error{lost, down, down, down}, admin.Outcome{}, 4, 1, "repeat the command with -edit"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeControl{errs: c.errs, out: c.out}
			line := append(strings.Fields("apply -inventory ../../examples/sitaki/inventory.toml -rules ../../examples/sitaki/rules.toml -base 3 -operator ann"), serve(t, f)...)
			status, stdout, stderr := run(line...)
			is.Equal(status, c.status)
			is.True(strings.Contains(stdout+stderr, c.want))
			is.Equal(len(f.edits), c.submissions)
			for _, e := range f.edits {
				is.Equal(e, f.edits[0])
				is.True(e.EditID != "" && e.Base == 3 && !e.DryRun)
			}
		})
	}
}

// TestSubmit guards against an unknown outcome that is reported as a refusal, or
// the reverse, after any sequence of failures.
func TestSubmit(t *testing.T) {
	failures := []error{
		nil, errors.New("connection closed"), result.NewError(result.MayHaveRun, "answer lost", nil),
		result.NewError(result.NotRun, "platform is down", nil),
		model.Faults{{Field: "Route/x/Class"}},
	}
	rapid.Check(t, func(t *rapid.T) {
		f := &fakeControl{errs: rapid.SliceOfN(rapid.SampledFrom(failures), submitAttempts, submitAttempts).Draw(t, "errs")}
		_, err := submit(context.Background(), f, admin.Edit{EditID: "e1"}, 0)
		responseLost := false
		for i, e := range f.errs {
			responseLost = responseLost || e == failures[1] || e == failures[2]
			last := e == nil || !responseLost || i == submitAttempts-1
			if last != (i == len(f.edits)-1) {
				t.Fatalf("%d submissions of %v", len(f.edits), f.errs)
			}
			if last {
				if (err == nil) != (e == nil) || errors.Is(err, errOutcomeUnknown) != (e != nil && responseLost) {
					t.Fatalf("%v gave %v", f.errs, err)
				}
				return
			}
		}
	})
}

// fakeTarget is a StandInTarget that records its calls.
type fakeTarget struct{ events []string }

// TestWatch guards against a watch that ends before every live node holds the
// release, or that waits for a dead one.
func TestWatch(t *testing.T) {
	is := is.New(t)
	nodes := []admin.NodeStatus{
		{Node: "a1", State: "Alive", Held: 4},
		{Node: "a2", State: "Suspect", Held: 2},
		{Node: "a3", State: "Dead", Held: 1},
		{Node: "a4", State: "Left"},
	}
	f := &fakeControl{nodes: nodes}
	status, stdout, _ := run(append([]string{"watch"}, serve(t, f)...)...)
	is.Equal(status, 0)
	is.Equal(stdout, "version 3 is in force on 1 of 2 live nodes; behind: a2 (holds 2, Suspect); dead: a3\n"+
		"version 3 is in force on 2 of 2 live nodes; dead: a3\n")

	status, stdout, stderr := run(append([]string{"watch", "-json", "-version", "9", "-timeout", "100ms"}, serve(t, f)...)...)
	is.Equal(status, 1)
	is.True(strings.Contains(stderr, "behind: a1 (holds 4, Alive)"))
	var p progress
	is.NoErr(json.Unmarshal([]byte(stdout), &p))
	is.Equal(p.Laggards[1].Node, ident.NodeID("a2"))
	status, _, stderr = run(append([]string{"watch"}, serve(t, &fakeControl{empty: true, nodes: nodes})...)...)
	is.Equal(status, 1)
	is.True(strings.Contains(stderr, "no release yet")) // version 0 is not in force
	is.True(!progressOf(1, nil).done())                 // false without live nodes
}

// TestExamples guards against an example that is no longer accepted or that lacks
// a service of its deployment.
func TestExamples(t *testing.T) {
	is := is.New(t)
	for deployment, want := range map[string]struct {
		domains  int
		services []ident.ServiceName
	}{
		"sitaki":   {3, []ident.ServiceName{"catalogue", "orders", "warehouse", "billing"}},
		"kalahari": {4, []ident.ServiceName{"roster", "matchmaker", "hourbank", "timetable"}},
	} {
		directory := "../../examples/" + deployment
		c, err := files.Load(directory+"/inventory.toml", directory+"/rules.toml")
		is.NoErr(err)
		is.Equal(len(c.Inventory.FailureDomains), want.domains)
		for i, s := range c.Inventory.Services {
			is.Equal(s.Name, want.services[i])
		}
		for _, r := range c.Rules.Routes {
			is.True(r.Class != model.Action || !r.Idempotent) // an action may run only once
		}
	}
}

// TestSettingsPage guards against a settings page that differs from the table.
func TestSettingsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/settings.md")
	is.NoErr(err)
	if string(page) != conf.Markdown() {
		t.Fatal("docs/settings.md is not current: go run ./cmd/hickoryrail settings > docs/settings.md")
	}
}
