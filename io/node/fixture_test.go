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
	// waitTimeout bounds waits, which end much earlier unless there is a fault.
	waitTimeout = 30 * time.Second
	loopback    = "127.0.0.1:0"
)

type (
	// testFleet is a fleet in one process with a stub of the platform.
	testFleet struct {
		t            *testing.T
		platform     *stub.Server
		keyDirectory string
		// seed is the first node that was started, the seed of the others.
		seed *testNode
		// headWrites counts the writes of Head while headFaults is set, which makes them
		// conflict and lose requests and answers.
		headWrites atomic.Int64
		headFaults atomic.Bool
	}

	// testNode is a node under test. It records the releases that the node put in force,
	// in order. The fields name, service, dropControl and advertise are set before
	// startNode.
	testNode struct {
		*Node
		name    ident.NodeID
		service ident.ServiceName
		// dropControl, if set, reports whether a control message is discarded before the
		// node receives it.
		dropControl func(from ident.NodeID, m wire.Control) bool
		advertise   string
		target      *target.Server
		// readsBlocked discards requests of the distribution to read the source.
		readsBlocked atomic.Bool

		// mu guards inForce and reasons.
		mu      sync.Mutex
		inForce []model.Release
		// reasons counts the logged decisions by reason.
		reasons map[string]int
	}

	// reply is the reply to a caller; status is 0 without a complete answer.
	reply struct {
		status                int
		verdict, reason, body string
	}
)

// newTestFleet starts the platform stub and creates keys for five nodes.
func newTestFleet(t *testing.T) *testFleet {
	t.Parallel()
	f := &testFleet{t: t, platform: &stub.Server{Listen: loopback}, keyDirectory: t.TempDir()}
	f.platform.Before = f.injectHeadFaults
	_, err := keys.CreateFleet(f.keyDirectory, []ident.NodeID{"node-1", "node-2", "node-3", "node-4", "node-5"})
	f.noError(err)
	f.noError(f.platform.Open())
	f.background(f.platform.Run)
	return f
}

// injectHeadFaults makes concurrent writes of Head conflict. Of every six writes it loses
// the answer of one, and the request of another.
func (f *testFleet) injectHeadFaults(method, name string) {
	if !f.headFaults.Load() {
		return
	}
	if method == "PutObject" {
		time.Sleep(50 * time.Millisecond) // between the read and the write of Head
	}
	if method != "WriteRow" || name != order.HeadKey {
		return
	}
	switch f.headWrites.Add(1) % 6 {
	case 0:
		f.platform.LoseAnswers(1)
	case 3:
		f.platform.LoseRequests(1)
	}
}

// noError ends the test on an error.
func (f *testFleet) noError(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// background calls run with a context that ends with the test, and waits for its return.
func (f *testFleet) background(run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	var g conc.WaitGroup
	g.Go(func() { _ = run(ctx) })
	f.t.Cleanup(func() { cancel(); g.Wait() })
}

// await waits until done returns true, and fails the test after waitTimeout.
func (f *testFleet) await(what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("not reached: %s", what)
		}
	}
}

// startNode starts a node with short periods. The first node is the seed of the others.
func (f *testFleet) startNode(s *testNode) *testNode {
	f.t.Helper()
	seeds := ""
	if f.seed != nil {
		seeds = fmt.Sprintf("%q", fmt.Sprintf("%s@%s", f.seed.name, f.seed.PeerAddress()))
	}
	text := fmt.Sprintf("Node = %q\nFailureDomain = \"a\"\nRegion = \"r\"\nPlatformURL = %q\nKeyDirectory = %q\nSeeds = [%s]\n",
		s.name, "http://"+f.platform.Address(), f.keyDirectory, seeds)
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
	f.noError(err)
	s.Node, err = New(settings, io.Discard)
	f.noError(err)
	s.instrument()
	f.noError(s.Start(context.Background()))
	f.t.Cleanup(func() { f.stopNode(s) })
	if f.seed == nil {
		f.seed = s
	}
	return s
}

// stopNode stops a node gracefully. A second call has no effect.
func (f *testFleet) stopNode(s *testNode) {
	if s.stopping.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := s.Stop(ctx); err != nil {
		f.t.Errorf("stop of %s: %v", s.name, err)
	}
}

// startTarget starts the local target of a node.
func (f *testFleet) startTarget(s *testNode, delay time.Duration) {
	f.t.Helper()
	s.target = &target.Server{
		ID: s.settings.Target, Service: s.service, Listen: loopback, NodeAddress: s.TargetAddress(),
		DelayMillis: clock.FromDuration(delay),
	}
	f.noError(s.target.Open())
	f.background(s.target.Run)
}

// instrument makes the node record its decisions in s, and applies readsBlocked and
// dropControl.
func (s *testNode) instrument() {
	s.reasons = make(map[string]int)
	s.fleet.log, s.reader.log, s.stallMonitor.log = s, s, s
	read := s.fleet.readRelease
	s.fleet.readRelease = func(v ident.Version, d ident.Digest) {
		if !s.readsBlocked.Load() {
			read(v, d)
		}
	}
	receive := s.transport.(*peer.Transport).OnControl
	s.transport.(*peer.Transport).OnControl = func(from ident.NodeID, body []byte) {
		if m, err := wire.DecodeControl(body); err == nil && s.dropControl != nil && s.dropControl(from, m) {
			return
		}
		receive(from, body)
	}
}

// Record implements logs.Sink. The caller holds the fleet's mu for a release decision.
func (s *testNode) Record(d logs.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reasons[d.Reason]++
	if d.Reason == reasonInForce {
		s.inForce = append(s.inForce, s.fleet.inForce)
	}
}

// reasonCount returns the number of logged decisions with a reason.
func (s *testNode) reasonCount(reason string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reasons[reason]
}

// releases returns the releases that the node put in force, in order.
func (s *testNode) releases() []model.Release {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]model.Release{}, s.inForce...)
}

// counter returns the value of a counter without labels.
func (s *testNode) counter(name string) float64 {
	families, _ := s.registry.Gather()
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

// view returns the current view of the ingress, which a new request would use.
func (s *testNode) view() *view.View { return s.ingress.View() }

// carriesRelease reports whether a message can announce or carry a release above v.
func carriesRelease(m wire.Control, v ident.Version) bool {
	return m.Spread != nil && m.Spread.Kind != spread.Fetch && m.Spread.Version > v
}

// configuration returns a configuration with a service and a route for each name.
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

// operatorClient returns a client of a node's operator API.
func (f *testFleet) operatorClient(s *testNode) *admin.Client {
	token, err := keys.LoadOperatorToken(f.keyDirectory)
	f.noError(err)
	authority, err := keys.LoadAuthority(f.keyDirectory)
	f.noError(err)
	return &admin.Client{URL: "https://" + s.OperatorAddress(), Token: token, Authority: authority}
}

// publish submits a configuration to a node and returns the accepted version.
func (f *testFleet) publish(s *testNode, base ident.Version, c model.Configuration) ident.Version {
	f.t.Helper()
	edit := admin.Edit{EditID: ident.EditID(fmt.Sprintf("edit-%d", base+1)), Base: base, Operator: "o", Configuration: c}
	out, err := f.operatorClient(s).Submit(context.Background(), edit)
	f.noError(err)
	if out.State != admin.Accepted {
		f.t.Fatalf("edit: %+v", out)
	}
	return out.Version
}

// writeUnchecked writes a head and its object to the platform without validation, as a
// faulty writer would.
func (f *testFleet) writeUnchecked(release model.Release, body []byte) {
	f.t.Helper()
	ctx := context.Background()
	row, err := f.platform.ReadRow(ctx, order.HeadKey)
	f.noError(err)
	head, err := order.DecodeHead(row.Value)
	f.noError(err)
	head = head.Next(release)
	f.noError(f.platform.PutObject(ctx, head.Object, body))
	_, err = f.platform.WriteRow(ctx, order.HeadKey, order.EncodeHead(head), row.Revision)
	f.noError(err)
}

// awaitVersion waits until the nodes are ready, have put version v or a later one in force
// and route to at least the given number of targets.
func (f *testFleet) awaitVersion(v ident.Version, targets int, nodes ...*testNode) {
	f.t.Helper()
	for _, s := range nodes {
		f.await(fmt.Sprintf("version %d and %d targets on %s", v, targets, s.name), func() bool {
			return s.Version() >= v && s.Ready() && s.RoutableTargets() >= targets
		})
	}
}

// load is a set of callers that send actions until stopAndCheck is called.
type load struct {
	stop  atomic.Bool
	group conc.WaitGroup
	// mu guards replies.
	mu sync.Mutex
	// replies holds the reply to each action.
	replies map[string]reply
	// answered counts the replies with the verdict Ran, and failed the other ones.
	answered atomic.Int64
	failed   atomic.Int64
}
