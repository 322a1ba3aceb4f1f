package node

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"runtime/debug"

	"github.com/rotisserie/eris"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/kernel"
	"hickoryrail/core/member"
	"hickoryrail/core/retry"
	"hickoryrail/core/route"
	"hickoryrail/core/spread"
	"hickoryrail/io/admin"
	"hickoryrail/io/conf"
	"hickoryrail/io/frame"
	"hickoryrail/io/logs"
	"hickoryrail/io/plat"
	"hickoryrail/io/proxy"
	"hickoryrail/io/stats"
)

const (
	serviceSource   kernel.Name = "release source"
	serviceEndpoint kernel.Name = "platform endpoint"
	serviceFinder   kernel.Name = "target finder"

	// hostedRenewalMillis is the time without a report after which a target is
	// gone. A report may arrive seconds late; a target that ends without a word
	// is noticed by the requests to it.
	hostedRenewalMillis = 8 * clock.Second
	// hostedDomainFactor is the DomainFactor of the picker: bytes between failure
	// domains are paid for.
	hostedDomainFactor = 3
	// hostedGCPercent is the growth of the heap between collections. Memory beside
	// a target is dear, and processor time is not.
	hostedGCPercent = 30
	// hostedKeptBytes bounds the kept answers: those of 3 s at 20 actions of 5 KB
	// a second, which is longer than a caller of an action waits for one.
	hostedKeptBytes = 512 << 10
	// hostedLogCapacity is the number of decisions that wait to be written.
	hostedLogCapacity = 512
	// hostedLogLines bounds the lines of the decision log in a second.
	hostedLogLines = 200
	// hostedStaleMillis is the time without calls after which a target is tried.
	// Near targets get nearly all calls, so that far ones show what they can do
	// only when they are tried.
	hostedStaleMillis = 10 * clock.Second
	// hostedSourceMillis is the time for the first read of the source, which every node
	// that starts makes anyway.
	hostedSourceMillis = 800 * clock.Millis(1)
	// hostedFetchMillis is the wait for a delta from a neighbour that may have
	// stopped; several fit into the time in which a release must be in force.
	hostedFetchMillis = 500 * clock.Millis(1)
	// gateMillis is how long the gate of a node that stops goes on admitting
	// calls of nodes that have not heard of the stop.
	gateMillis = 500 * clock.Millis(1)
	// hostedLingerMillis is how long a stopping ingress waits for callers to use
	// their connections once more. They have been told by the readiness check.
	hostedLingerMillis = 100 * clock.Millis(1)
)

type (
	// Hosted is what an adapter provides for a node on a platform with protocols
	// of its own.
	Hosted struct {
		Settings conf.Settings
		// Retries bounds the repeated arrivals at targets over all nodes.
		Retries   retry.WindowBudget
		Dialect   proxy.Dialect
		Source    plat.Source
		Directory plat.Directory
		// Prober asks the target beside the node who it is.
		Prober Prober
		// Endpoint returns the server at which the platform and the target call
		// the node.
		Endpoint func(c Control) Endpoint
	}

	// Prober finds the target that listens at an address.
	Prober interface {
		// Probe returns the target that answers a health check as healthy, with
		// its slots and its requests in flight.
		Probe(ctx context.Context, address, path string) (admin.Report, error)
	}

	// Control is what an endpoint tells and asks the node.
	Control interface {
		// Report takes a statement of the target beside the node. After an error
		// nothing has changed, and the target has no acknowledgement.
		Report(r admin.Report) error
		// Ready reports whether the node may get callers.
		Ready() bool
	}

	// Endpoint is a server of an adapter.
	Endpoint interface {
		Open() error
		Run(ctx context.Context) error
		Drain(ctx context.Context) error
	}

	// control joins the parts of a node that an endpoint needs.
	control struct {
		*targets
		node *Node
	}
)

// Ready reports whether the node may get callers.
func (c control) Ready() bool { return c.node.Ready() }

// NewHosted wires a node with the parts that an adapter provides. The log goes to
// output as JSON lines.
func NewHosted(h Hosted, output io.Writer) (*Node, error) {
	random, err := newRandom()
	if err != nil {
		return nil, err
	}
	s := h.Settings
	n := &Node{settings: s, kernel: kernel.New(), clock: clock.NewSystem()}
	n.logger = logs.New(output, s.Log.Level)
	n.decisions = logs.NewDecisionLog(n.logger, s.Log.Decisions, hostedLogCapacity)
	n.decisions.PerSecond = hostedLogLines
	n.registry, n.metrics = stats.NewRegistry(), newMetrics()
	if err := n.decisions.Register(n.registry); err != nil {
		return nil, eris.Wrap(err, "node: metrics")
	}
	n.wireHostedPath(&h, random)
	n.wireHostedFleet(random)
	if err := n.metrics.register(n.registry, n.fleet); err != nil {
		return nil, eris.Wrap(err, "node: metrics")
	}
	n.admin = &admin.Admin{Listen: s.AdminAddress, Metrics: n.registry, Source: n.status}
	w := &watcher{
		clock: n.clock, source: h.Source, directory: h.Directory, fleet: n.fleet, log: n.decisions, metrics: n.metrics,
		startMillis: s.Spread.StartSourceMillis, random: fork(random), self: n.seed, wanted: make(chan struct{}, 1),
	}
	n.fleet.needSource = w.want
	f := &finder{targets: n.targets, fleet: n.fleet, prober: h.Prober, service: s.Service, address: s.TargetEndpoint, logger: n.logger}
	return n, n.registerHosted(w, f, h.Endpoint(control{targets: n.targets, node: n}))
}

// wireHostedPath creates the gateway, the ingress and the TCP transport.
func (n *Node) wireHostedPath(h *Hosted, random *rand.Rand) {
	n.wirePath(random)
	n.ingress.Policy = &retry.Policy{WindowBudget: &h.Retries, RetryFailures: true, Rand: fork(random)}
	n.ingress.Picker.Limits = route.Limits{
		DomainFactor: hostedDomainFactor, LocalPair: true, StaleMillis: hostedStaleMillis,
	}
	n.ingress.FailFast = &route.FailFastPolicy{}
	n.ingress.LingerMillis = hostedLingerMillis
	n.ingress.Dialect, n.ingress.Service = h.Dialect, h.Settings.Service
	n.gateway.KeptBytes = hostedKeptBytes
	n.gateway.Dialect, n.gateway.Order = h.Dialect, admit.ByGoal
	n.transport = &frame.Transport{
		Self: h.Settings.Node, Listen: h.Settings.PeerAddress, Registry: n.registry, BodyBytes: n.gateway.Limits.CallBytes(),
		OnControl: func(from ident.NodeID, body []byte) { n.fleet.receive(from, body) },
		OnCall:    n.onCall,
		OnEvent:   n.stalls.event,
	}
	n.ingress.Peers, n.stalls.transport = n.transport, n.transport
}

// wireHostedFleet creates membership and distribution without a reader, and the state
// of the target.
func (n *Node) wireHostedFleet(random *rand.Rand) {
	config := spread.DefaultConfig()
	config.SourceTimeoutMillis, config.FetchTimeoutMillis = hostedSourceMillis, hostedFetchMillis
	n.fleet = &fleet{
		clock: n.clock, transport: n.transport, ingress: n.ingress, gateway: n.gateway,
		log: n.decisions, service: n.settings.Service, metrics: n.metrics,
		releases: spread.New(config, fork(random)),
		// The watcher hands over whole releases; none is read by its name.
		readRelease: func(ident.Version, ident.Digest) {},
	}
	n.fleet.releases.OnRefuse = n.fleet.refused
	n.targets = &targets{renewal: hostedRenewalMillis, clock: n.clock, gateway: n.gateway, fleet: n.fleet, log: n.decisions}
	n.status = &status{fleet: n.fleet, stopping: n.stopping.Load}
	n.tableRandom = fork(random)
}

// seed returns the node's own entry for the directory.
func (n *Node) seed() member.Seed {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	self := n.fleet.table.Self()
	return member.Seed{Node: self.Node, Address: self.PeerAddress}
}

// registerHosted gives the parts to the kernel in the order of their start.
func (n *Node) registerHosted(w *watcher, f *finder, e Endpoint) error {
	return n.registerAll([]service{
		{serviceLog, &unit{run: n.decisions.Run}},
		{serviceTransport, &unit{open: plainOpen(n.transport.Open), run: n.transport.Run, drain: n.transport.Drain}},
		{serviceStalls, &unit{run: n.stalls.run}},
		{serviceGateway, &unit{open: plainOpen(n.gateway.Open), run: n.gateway.Run}},
		{serviceIngress, &unit{open: plainOpen(n.ingress.Open), run: n.ingress.Run}},
		{serviceFleet, &unit{open: n.openFleet, run: n.fleet.run, drain: n.fleet.leave}},
		{serviceSource, &unit{run: w.run}},
		{serviceLapse, &unit{run: n.targets.run, drain: n.drainCalls}},
		{serviceFinder, &unit{run: f.run}},
		{serviceAdmin, &unit{open: plainOpen(n.admin.Open), run: n.admin.Run, drain: n.admin.Drain}},
		{serviceEndpoint, &unit{open: plainOpen(e.Open), run: e.Run, drain: e.Drain}},
	})
}

// RunHosted runs a node until ctx ends. It then says that it is not ready and
// serves on until callers have noticed, and stops gracefully.
func RunHosted(ctx context.Context, h Hosted, output io.Writer) error {
	debug.SetGCPercent(hostedGCPercent)
	n, err := NewHosted(h, output)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	n.stopping.Store(true)
	n.logger.WithField("Node", string(n.settings.Node)).Info("node is asked to stop")
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.Settings.Stop.GraceMillis.Duration())
	defer cancel()
	n.lameDuck(grace, h.Settings.Stop.LameDuckMillis)
	if err := n.Stop(grace); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil // the time for a graceful stop is over
}

// lameDuck goes on serving callers and the other nodes for a while; near its end, it
// tells the other nodes to send their calls elsewhere. The target beside the node is
// out of service from then until the next start, so the time is kept short.
func (n *Node) lameDuck(ctx context.Context, d clock.Millis) {
	sleep(ctx, max(d-gateMillis, 0).Duration())
	n.targets.announceStop()
	sleep(ctx, min(d, gateMillis).Duration())
}
