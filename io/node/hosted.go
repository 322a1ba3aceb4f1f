package node

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"

	"github.com/rotisserie/eris"

	"hickoryrail/core/admit"
	"hickoryrail/core/canary"
	"hickoryrail/core/clock"
	"hickoryrail/core/fresh"
	"hickoryrail/core/grant"
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
	"hickoryrail/io/mem"
	"hickoryrail/io/plat"
	"hickoryrail/io/proxy"
	"hickoryrail/io/stats"
	"hickoryrail/io/uplink"
)

const (
	serviceSource     kernel.Name = "release source"
	serviceEndpoint   kernel.Name = "platform endpoint"
	serviceFinder     kernel.Name = "target finder"
	serviceCaps       kernel.Name = "usage caps"
	serviceRollouts   kernel.Name = "rollouts"
	serviceDepartures kernel.Name = "departures"

	// hostedRenewalTimeoutMillis is the time without a report after which a target is
	// removed. A report may arrive seconds late; a target that ends without a leave
	// report is detected by failed requests to it.
	hostedRenewalTimeoutMillis = 8 * clock.Second
	// hostedDomainFactor is the DomainFactor of the picker. It is high because the
	// platform bills traffic between failure domains.
	hostedDomainFactor = 3
	// hostedKeptBytes bounds the responses that the gateway keeps. It holds those of 3 s
	// at 20 actions/s of 5 KB, which is longer than a caller of an action waits for a
	// response.
	hostedKeptBytes = 512 << 10
	// hostedLogCapacity bounds the decisions that are buffered for the decision log.
	hostedLogCapacity = 512
	// hostedLogLines bounds the lines of the decision log per second.
	hostedLogLines = 200
	// hostedStaleMillis is the time without calls after which a target gets a call
	// whatever its score. Near targets get nearly all calls, so the measurements of far
	// ones would otherwise be out of date.
	hostedStaleMillis = 10 * clock.Second
	// hostedSourceTimeoutMillis is how long a starting node waits for its own first read of
	// the source, which it makes in any case, before it fetches the release from
	// neighbours.
	hostedSourceTimeoutMillis = 800 * clock.Millis(1)
	// hostedFetchTimeoutMillis is the timeout of a fetch from a neighbour, which may have
	// stopped. Several fetches fit into the time in which a release must be in force.
	hostedFetchTimeoutMillis = 500 * clock.Millis(1)
	// hostedLagMillis is the LagMillis of a hosted node: half of the time in which a
	// release must be in force.
	hostedLagMillis = 1 * clock.Second
	// hostedLingerMillis is how long a stopping ingress waits for callers to use their
	// open connections once more. It is short because the readiness check has failed since
	// the start of the lame-duck period, so that callers already use other nodes.
	hostedLingerMillis = 100 * clock.Millis(1)
)

// Reasons of the log lines about the link.
const (
	reasonLinkSlow      = "link is slower than its setting"
	reasonLinkRecovered = "link is as fast as its setting"
)

type (
	// Hosted configures a node that runs on another platform through an adapter. The
	// adapter provides the parts that depend on the platform's protocols.
	Hosted struct {
		Settings conf.Settings
		// KillMillis is the time after the request to stop at which the platform kills the
		// process; 0 if it does not.
		KillMillis clock.Millis
		// Retries bounds the repeated arrivals at targets over all nodes.
		Retries retry.WindowBudget
		// Revocation, UsageCaps and Rollouts are the settings of parts that are off if
		// theirs have the zero value.
		Revocation fresh.Config
		UsageCaps  grant.Config
		Rollouts   canary.Config
		// proofClock is the clock of the proof that the configuration is the newest, for
		// tests; nil means the machine's.
		proofClock clock.Clock
		Dialect    proxy.Dialect
		Source     plat.Source
		Directory  plat.Directory
		// Statuses holds the status rows of rollouts; required if Rollouts is set.
		Statuses plat.Statuses
		// Departures holds the departures of targets; nil keeps none beyond a restart.
		Departures plat.Departures
		// Prober identifies the local target when the node starts; nil disables probing.
		Prober Prober
		// Endpoint returns the server on which the node receives calls of the platform
		// and of the local target.
		Endpoint func(c Control) Endpoint
	}

	// Prober identifies the target that listens at an address.
	Prober interface {
		// Probe sends a health check for path to address. It returns a report of the
		// target, with its slots and requests in flight, if the target is healthy.
		Probe(ctx context.Context, address, path string) (admin.Report, error)
	}

	// Control is the interface of a node for its endpoint.
	Control interface {
		// Report handles a report of the local target. After an error the endpoint must not
		// acknowledge the report. The state is unchanged then, except that a target that
		// departs is out of service before its departure is kept on the platform.
		Report(r admin.Report) error
		// Ready reports whether the node may serve callers.
		Ready() bool
	}

	// Endpoint is the server of an adapter.
	Endpoint interface {
		Open() error
		Run(ctx context.Context) error
		Drain(ctx context.Context) error
	}

	// control implements Control.
	control struct {
		*localTarget
		node *Node
	}
)

// Ready reports whether the node may serve callers.
func (c control) Ready() bool { return c.node.Ready() }

// NewHosted assembles a node with the parts that an adapter provides. The log is written
// to output as JSON lines.
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
	n.memory = mem.NewBudget(s.Limits.MemoryBytes, s.Limits.BodyBytes)
	if err := n.memory.Register(n.registry); err != nil {
		return nil, eris.Wrap(err, "node: metrics")
	}
	n.link = uplink.New(s.Limits.LinkBitsPerSecond, n.clock)
	if err := n.link.Register(n.registry); err != nil {
		return nil, eris.Wrap(err, "node: metrics")
	}
	n.wireHostedDataPath(&h, random)
	n.wireHostedFleet(random)
	n.localTarget.probed = h.Prober != nil && s.TargetEndpoint != ""
	n.localTarget.departures = newDepartures(h.Departures, s.Node, n.logger, n.localTarget.restoreDeparture)
	if err := n.wireCaps(h.UsageCaps, random); err != nil {
		return nil, eris.Wrap(err, "node: metrics")
	}
	if err := n.wireFreshness(&h, random); err != nil {
		return nil, eris.Wrap(err, "node: metrics")
	}
	if err := n.wireRollouts(&h, random); err != nil {
		return nil, err
	}
	if err := n.metrics.register(n.registry, n.fleet); err != nil {
		return nil, eris.Wrap(err, "node: metrics")
	}
	n.adminServer = &admin.StatusServer{Listen: s.AdminAddress, Metrics: n.registry, Source: n.status}
	w := &watcher{
		clock: n.clock, source: h.Source, directory: h.Directory, fleet: n.fleet, region: s.Region, log: n.decisions, logger: n.logger, metrics: n.metrics,
		departures: n.localTarget.departures, startSourceMillis: s.Spread.StartSourceMillis, random: splitRandom(random), self: n.directoryEntry, readRequest: make(chan struct{}, 1),
	}
	n.fleet.needSource, w.freshness = w.requestRead, n.fleet.freshness
	f := &finder{localTarget: n.localTarget, fleet: n.fleet, prober: h.Prober, service: s.Service, address: s.TargetEndpoint, logger: n.logger}
	return n, n.registerHosted(w, f, h.Endpoint(control{localTarget: n.localTarget, node: n}))
}

// wireHostedDataPath creates the gateway, the ingress and the TCP transport.
func (n *Node) wireHostedDataPath(h *Hosted, random *rand.Rand) {
	n.wireProxy(random)
	n.ingress.Policy = &retry.Policy{WindowBudget: &h.Retries, RetryFailures: true, Rand: splitRandom(random)}
	n.ingress.Picker.Limits = route.Limits{
		DomainFactor: hostedDomainFactor, LocalPair: true, StaleMillis: hostedStaleMillis, Balance: h.Settings.Balance,
	}
	n.ingress.FailFast = &route.FailFastPolicy{}
	n.ingress.Returns = &retry.Returns{Rand: splitRandom(random)}
	n.ingress.LingerMillis = hostedLingerMillis
	n.ingress.Dialect, n.ingress.Service = h.Dialect, h.Settings.Service
	n.ingress.Memory, n.ingress.Link = n.memory, n.link
	n.gateway.KeptBytes = hostedKeptBytes
	n.gateway.Dialect, n.gateway.Order = h.Dialect, admit.ByGoal
	if n.link != nil {
		n.gateway.Sender = n.link
		n.link.OnCorrected = n.linkCorrected
	}
	n.transport = &frame.Transport{
		Self: h.Settings.Node, Listen: h.Settings.PeerAddress, Registry: n.registry, BodyBytes: n.gateway.Limits.CallBytes(),
		Memory: n.memory, Link: n.link,
		OnControl: func(from ident.NodeID, body []byte) { n.fleet.receive(from, body) },
		OnCall:    n.onCall,
		OnEvent:   n.stallMonitor.handleEvent,
	}
	n.ingress.Peers, n.stallMonitor.transport = n.transport, n.transport
}

// linkCorrected logs that the link is slower than its setting, or no longer.
func (n *Node) linkCorrected(slower bool) {
	reason := reasonLinkRecovered
	if slower {
		reason = reasonLinkSlow
	}
	n.decisions.Record(logs.Decision{At: n.clock.Now(), Kind: logs.Member, Node: n.settings.Node, Reason: reason})
}

// wireHostedFleet creates membership, distribution, and the state of the local target.
// A hosted node has no reader.
func (n *Node) wireHostedFleet(random *rand.Rand) {
	config := spread.DefaultConfig()
	config.SourceTimeoutMillis, config.FetchTimeoutMillis = hostedSourceTimeoutMillis, hostedFetchTimeoutMillis
	config.LagMillis = hostedLagMillis
	n.fleet = &fleet{
		clock: n.clock, transport: n.transport, ingress: n.ingress, gateway: n.gateway, link: n.link,
		log: n.decisions, service: n.settings.Service, metrics: n.metrics,
		releases: spread.New(config, splitRandom(random)),
		// The watcher passes on whole releases; none is requested by version and digest.
		readRelease: func(ident.Version, ident.Digest) {},
	}
	n.fleet.releases.OnRefuse = n.fleet.releaseRefused
	n.localTarget = &localTarget{renewalTimeout: hostedRenewalTimeoutMillis, clock: n.clock, gateway: n.gateway, fleet: n.fleet, log: n.decisions}
	n.gateway.OnLeaving = n.localTarget.leaves
	n.status = &status{fleet: n.fleet, stopping: n.stopping.Load}
	n.tableRandom = splitRandom(random)
}

// wireFreshness creates the proof that the configuration is the newest, if revocation is
// strict.
func (n *Node) wireFreshness(h *Hosted, random *rand.Rand) error {
	if !h.Revocation.Enabled() {
		return nil
	}
	f := newFreshness(h.Revocation, h.proofClock, n.clock, n.decisions, splitRandom(random))
	f.send = n.fleet.send
	n.fleet.freshness, n.ingress.Freshness = f, f
	return f.register(n.registry)
}

// directoryEntry returns the entry of this node in the directory.
func (n *Node) directoryEntry() member.Seed {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	self := n.fleet.table.Self()
	return member.Seed{Node: self.Node, Address: self.PeerAddress}
}

// wireRollouts creates the part that handles rollouts, if it is switched on.
func (n *Node) wireRollouts(h *Hosted, random *rand.Rand) error {
	if !h.Rollouts.Enabled() {
		return nil
	}
	r := &rollouts{
		clock: n.clock, fleet: n.fleet, gateway: n.gateway, statuses: h.Statuses, logger: n.logger, service: h.Settings.Service,
		known: make(chan struct{}),
		node:  canary.Node{Self: h.Settings.Node, Config: h.Rollouts, Rand: splitRandom(random)},
	}
	n.fleet.rollouts, n.ingress.Rollouts, n.gateway.Replaced = r, r, r
	return registerRollouts(n.registry, r)
}

// rolloutServices returns the service of the rollouts' timers, if rollouts are handled.
func (n *Node) rolloutServices() []service {
	if n.fleet.rollouts == nil {
		return nil
	}
	return []service{{serviceRollouts, &unit{run: n.fleet.rollouts.run}}}
}

// departureServices returns the service that keeps departures, if they are kept.
func (n *Node) departureServices() []service {
	if n.localTarget.departures == nil {
		return nil
	}
	return []service{{serviceDepartures, &unit{run: n.localTarget.departures.run}}}
}

// registerHosted registers the services with the kernel in the order of their start.
func (n *Node) registerHosted(w *watcher, f *finder, e Endpoint) error {
	return n.registerAll(slices.Concat([]service{
		{serviceLog, &unit{run: n.decisions.Run}},
		{serviceTransport, &unit{open: adaptOpen(n.transport.Open), run: n.transport.Run, drain: n.transport.Drain}},
		{serviceStalls, &unit{run: n.stallMonitor.run}},
		{serviceGateway, &unit{open: adaptOpen(n.gateway.Open), run: n.gateway.Run}},
		{serviceIngress, &unit{open: adaptOpen(n.ingress.Open), run: n.ingress.Run}},
		{serviceFleet, &unit{open: n.openFleet, run: n.fleet.run, drain: n.fleet.leave}},
		{serviceCaps, &unit{run: n.runCaps}},
	}, n.rolloutServices(), n.departureServices(), []service{
		{serviceSource, &unit{run: w.run}},
		{serviceRenewal, &unit{run: n.localTarget.run, drain: n.drainRequests}},
		{serviceFinder, &unit{run: f.run}},
		{serviceAdmin, &unit{open: adaptOpen(n.adminServer.Open), run: n.adminServer.Run, drain: n.adminServer.Drain}},
		{serviceEndpoint, &unit{open: adaptOpen(e.Open), run: e.Run, drain: e.Drain}},
	}))
}
