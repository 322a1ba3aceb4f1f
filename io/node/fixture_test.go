package node

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/order"
	"hickoryrail/core/spread"
	"hickoryrail/core/view"
	"hickoryrail/io/admin"
	"hickoryrail/io/conf"
	"hickoryrail/io/keys"
	"hickoryrail/io/logs"
	"hickoryrail/io/peer"
	"hickoryrail/io/stub"
	"hickoryrail/io/target"
	"hickoryrail/io/wire"
)

const (
	// patience bounds waits that end much earlier unless there is a fault.
	patience = 30 * time.Second
	loopback = "127.0.0.1:0"
)

type (
	// rig is a fleet in one process with the platform stand-in.
	rig struct {
		t         *testing.T
		platform  *stub.Server
		directory string
		seed      *slot
		// headWrites counts the writes of Head; headFaults makes them conflict
		// and lose answers.
		headWrites atomic.Int64
		headFaults atomic.Bool
	}

	// slot is a node under test with what it put in force, in order. Its fields
	// up to advertise are set before start.
	slot struct {
		*Node
		name    ident.NodeID
		service ident.ServiceName
		// drop, if set, discards control messages before the node sees them.
		drop      func(from ident.NodeID, m wire.Control) bool
		advertise string
		target    *target.Server
		// frozen stops reads from the source.
		frozen atomic.Bool

		mu      sync.Mutex
		inForce []model.Release
		reasons map[string]int
	}

	// reply is what a caller got. Status is 0 without a whole answer.
	reply struct {
		status                int
		verdict, reason, body string
	}
)

// newRig starts the platform and creates keys for five nodes.
func newRig(t *testing.T) *rig {
	t.Parallel()
	r := &rig{t: t, platform: &stub.Server{Listen: loopback}, directory: t.TempDir()}
	r.platform.Before = r.disturbHead
	_, err := keys.CreateFleet(r.directory, []ident.NodeID{"node-1", "node-2", "node-3", "node-4", "node-5"})
	r.noError(err)
	r.noError(r.platform.Open())
	r.background(r.platform.Run)
	return r
}

// disturbHead lets writers of Head meet. Of six writes it loses the answer of one
// and another one without effect.
func (r *rig) disturbHead(method, name string) {
	if !r.headFaults.Load() {
		return
	}
	if method == "PutObject" {
		time.Sleep(50 * time.Millisecond) // between the reading and the write of Head
	}
	if method != "WriteRow" || name != order.HeadKey {
		return
	}
	switch r.headWrites.Add(1) % 6 {
	case 0:
		r.platform.LoseAnswers(1)
	case 3:
		r.platform.LoseRequests(1)
	}
}

// noError ends the test on an error.
func (r *rig) noError(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

// background runs f until the test ends.
func (r *rig) background(f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	var g conc.WaitGroup
	g.Go(func() { _ = f(ctx) })
	r.t.Cleanup(func() { cancel(); g.Wait() })
}

// await waits for a condition.
func (r *rig) await(what string, done func() bool) {
	r.t.Helper()
	for end := time.Now().Add(patience); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("not reached: %s", what)
		}
	}
}

// start starts a node with short periods; the first one is the seed of the others.
func (r *rig) start(s *slot) *slot {
	r.t.Helper()
	seeds := ""
	if r.seed != nil {
		seeds = fmt.Sprintf("%q", fmt.Sprintf("%s@%s", r.seed.name, r.seed.PeerAddress()))
	}
	text := fmt.Sprintf("Node = %q\nFailureDomain = \"a\"\nRegion = \"r\"\nPlatformURL = %q\nKeyDirectory = %q\nSeeds = [%s]\n",
		s.name, "http://"+r.platform.Address(), r.directory, seeds)
	for _, name := range []string{"Caller", "Target", "Admin", "Operator", "Peer"} {
		text += fmt.Sprintf("%sAddress = %q\n", name, loopback)
	}
	if s.service != "" {
		text += fmt.Sprintf("Service = %q\nTarget = \"target-%s\"\n", s.service, s.name)
	}
	if s.advertise != "" {
		text += fmt.Sprintf("AdvertiseAddress = %q\n", s.advertise)
	}
	settings, err := conf.Parse(text + `
[Spread]
RoundMillis = 10
StartSourceMillis = 200
PollMillis = 50
[Stall]
ProbeMillis = 100
GiveUpMillis = 200
[Member]
ProbeMillis = 200
SuspectMillis = 1000
[Lease]
TTLMillis = 600
`)
	r.noError(err)
	s.Node, err = New(settings, io.Discard)
	r.noError(err)
	s.observe()
	r.noError(s.Start(context.Background()))
	r.t.Cleanup(func() { r.stop(s) })
	if r.seed == nil {
		r.seed = s
	}
	return s
}

// stop stops a node gracefully. A second stop does nothing.
func (r *rig) stop(s *slot) {
	if s.stopping.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := s.Stop(ctx); err != nil {
		r.t.Errorf("stop of %s: %v", s.name, err)
	}
}

// announce starts the target beside a node.
func (r *rig) announce(s *slot, delay time.Duration) {
	r.t.Helper()
	s.target = &target.Server{
		ID: s.settings.Target, Service: s.service, Listen: loopback, Node: s.TargetAddress(),
		DelayMillis: clock.FromDuration(delay),
	}
	r.noError(s.target.Open())
	r.background(s.target.Run)
}

// observe records what the node puts in force and lets it drop messages.
func (s *slot) observe() {
	s.reasons = make(map[string]int)
	s.fleet.log, s.reader.log, s.stalls.log = s, s, s
	read := s.fleet.readRelease
	s.fleet.readRelease = func(v ident.Version, d ident.Digest) {
		if !s.frozen.Load() {
			read(v, d)
		}
	}
	receive := s.transport.(*peer.Transport).OnControl
	s.transport.(*peer.Transport).OnControl = func(from ident.NodeID, body []byte) {
		if m, err := wire.DecodeControl(body); err == nil && s.drop != nil && s.drop(from, m) {
			return
		}
		receive(from, body)
	}
}

// Record takes a decision; the fleet's mu is held for one on a release.
func (s *slot) Record(d logs.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reasons[d.Reason]++
	if d.Reason == reasonInForce {
		s.inForce = append(s.inForce, s.fleet.inForce)
	}
}

// decided returns how often the node decided something for a reason.
func (s *slot) decided(reason string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reasons[reason]
}

// releases returns what the node put in force, in order.
func (s *slot) releases() []model.Release {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]model.Release{}, s.inForce...)
}

// counter returns the value of a counter without labels.
func (s *slot) counter(name string) float64 {
	families, _ := s.registry.Gather()
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

// view returns the view that a new request would use.
func (s *slot) view() *view.View { return s.ingress.View() }

// isBody reports whether a message can bring news of a release above v.
func isBody(m wire.Control, v ident.Version) bool {
	return m.Spread != nil && m.Spread.Kind != spread.Fetch && m.Spread.Version > v
}

// configuration has one route and one service of each name.
func configuration(slots int, names ...ident.ServiceName) model.Configuration {
	c := model.Configuration{Inventory: model.Inventory{FailureDomains: []model.FailureDomain{{Name: "a", Region: "r"}}}}
	for _, name := range names {
		c.Inventory.Services = append(c.Inventory.Services, model.Service{Name: name, Slots: ident.Slots(slots), Connections: 100})
		c.Rules.Routes = append(c.Rules.Routes, model.Route{
			Name: ident.RouteName(name), PathPrefix: "/" + string(name), Service: name, Class: model.Action,
			TimeoutMillis: 5000, MaxAttempts: 3, HedgeAfterMillis: -1,
		})
	}
	return c
}

// operator returns a client of a node's operator API.
func (r *rig) operator(s *slot) *admin.Client {
	token, err := keys.LoadOperatorToken(r.directory)
	r.noError(err)
	authority, err := keys.LoadAuthority(r.directory)
	r.noError(err)
	return &admin.Client{URL: "https://" + s.OperatorAddress(), Token: token, Authority: authority}
}

// publish submits a configuration at a node and returns its version.
func (r *rig) publish(s *slot, base ident.Version, c model.Configuration) ident.Version {
	r.t.Helper()
	edit := admin.Edit{EditID: ident.EditID(fmt.Sprintf("edit-%d", base+1)), Base: base, Operator: "o", Configuration: c}
	out, err := r.operator(s).Submit(context.Background(), edit)
	r.noError(err)
	if out.State != admin.Accepted {
		r.t.Fatalf("edit: %+v", out)
	}
	return out.Version
}

// plant writes a head and its object past every check, as a faulty writer would.
func (r *rig) plant(release model.Release, body []byte) {
	r.t.Helper()
	ctx := context.Background()
	row, err := r.platform.ReadRow(ctx, order.HeadKey)
	r.noError(err)
	head, err := order.DecodeHead(row.Value)
	r.noError(err)
	head = head.Next(release)
	r.noError(r.platform.PutObject(ctx, head.Object, body))
	_, err = r.platform.WriteRow(ctx, order.HeadKey, order.EncodeHead(head), row.Revision)
	r.noError(err)
}

// everywhere waits until a version is in force on the nodes, they are ready and
// they route to a number of targets.
func (r *rig) everywhere(v ident.Version, targets int, nodes ...*slot) {
	r.t.Helper()
	for _, s := range nodes {
		r.await(fmt.Sprintf("version %d and %d targets on %s", v, targets, s.name), func() bool {
			return s.Version() >= v && s.Ready() && s.Routable() >= targets
		})
	}
}

// load is callers that send actions until the test ends them.
type load struct {
	stop     atomic.Bool
	group    conc.WaitGroup
	mu       sync.Mutex
	replies  map[string]reply
	answered atomic.Int64
	// failed counts the other replies.
	failed atomic.Int64
}
