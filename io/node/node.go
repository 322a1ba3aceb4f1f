// Package node assembles the components of one node and runs them as services of the
// kernel.
package node

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/kernel"
	"hickoryrail/core/lease"
	"hickoryrail/core/limit"
	"hickoryrail/core/member"
	"hickoryrail/core/retry"
	"hickoryrail/core/route"
	"hickoryrail/core/spread"
	"hickoryrail/io/admin"
	"hickoryrail/io/conf"
	"hickoryrail/io/keys"
	"hickoryrail/io/logs"
	"hickoryrail/io/mem"
	"hickoryrail/io/peer"
	"hickoryrail/io/plat"
	"hickoryrail/io/proxy"
	"hickoryrail/io/stats"
	"hickoryrail/io/uplink"
	"hickoryrail/io/wire"
)

// Names of the services in the kernel. The method register lists them in the order of
// their start.
const (
	serviceLog       kernel.Name = "decision log"
	serviceTransport kernel.Name = "transport"
	serviceStalls    kernel.Name = "stall detector"
	serviceFleet     kernel.Name = "fleet"
	serviceGateway   kernel.Name = "gateway"
	serviceReader    kernel.Name = "reader"
	serviceIngress   kernel.Name = "ingress"
	serviceTargets   kernel.Name = "target server"
	serviceRenewal   kernel.Name = "target renewal"
	serviceAdmin     kernel.Name = "admin server"
	serviceOperators kernel.Name = "operator server"
)

const (
	// logCapacity bounds the decisions that are buffered for the decision log.
	logCapacity = 8192
	// missedHeartbeats is the number of heartbeat periods without a new heartbeat of the
	// region's reader after which a node contends for the lease.
	missedHeartbeats = 3
	// startJitterMillis is the interval over which the first reads of nodes that start
	// at the same time are spread: 790 nodes make 1,317 reads/s, below the 2,000 reads/s
	// that the source accepts.
	startJitterMillis = 600 * clock.Millis(1)
)

// Node is one node. Create it with New.
type Node struct {
	settings conf.Settings
	kernel   *kernel.Kernel
	stopping atomic.Bool

	logger    *log.Logger
	decisions *logs.DecisionLog
	registry  *prometheus.Registry
	metrics   *metrics
	clock     clock.Clock
	// memory bounds the bodies that a hosted node holds.
	memory *mem.Budget
	// link is the link of a hosted node's server; nil if its rate is unknown.
	link *uplink.Link
	// tableRandom is the random generator of the member table, which is created once
	// the peer address is known.
	tableRandom *rand.Rand

	transport    transport
	stallMonitor *stallMonitor
	fleet        *fleet
	gateway      *proxy.Gateway
	reader       *reader
	ingress      *proxy.Ingress
	localTarget  *localTarget
	// caps enforces usage caps; nil without them.
	caps           *caps
	status         *status
	adminServer    *admin.StatusServer
	targetServer   *admin.TargetServer
	operatorServer *admin.OperatorServer
}

// transport carries calls and control messages between nodes.
type transport interface {
	proxy.Peers
	Open() error
	Run(ctx context.Context) error
	Drain(ctx context.Context) error
	Address() string
	SendControl(to ident.NodeID, address string, body []byte)
	// Renew makes the following control messages to a node use a new connection.
	Renew(to ident.NodeID)
	ControlTraffic() peer.Traffic
	Echo(ctx context.Context, id peer.ConnectionID) error
	CloseConnection(id peer.ConnectionID)
}

// New loads the node's keys and assembles its components. The log is written to output
// as JSON lines.
func New(s conf.Settings, output io.Writer) (*Node, error) {
	identity, err := keys.LoadIdentity(s.KeyDirectory, s.Node)
	if err != nil {
		return nil, err
	}
	credential, err := keys.LoadOperatorDigest(s.KeyDirectory)
	if err != nil {
		return nil, err
	}
	random, err := newRandom()
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, kernel: kernel.New(), clock: clock.NewSystem()}
	n.logger = logs.New(output, s.Log.Level)
	n.decisions = logs.NewDecisionLog(n.logger, s.Log.Decisions, logCapacity)
	n.registry, n.metrics = stats.NewRegistry(), newMetrics()
	if err := n.decisions.Register(n.registry); err != nil {
		return nil, eris.Wrap(err, "node: metrics")
	}
	n.wireDataPath(identity, random)
	if err := n.wireFleet(random); err != nil {
		return nil, err
	}
	if err := n.metrics.register(n.registry, n.fleet); err != nil {
		return nil, eris.Wrap(err, "node: metrics")
	}
	n.wireServers(identity, credential)
	return n, n.register()
}

// newRandom returns a generator with a cryptographically random seed.
func newRandom() (*rand.Rand, error) {
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, eris.Wrap(err, "node: random seed")
	}
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:]))), nil
}

// splitRandom returns a generator seeded from r. Each state machine has its own, because
// generators are not safe for concurrent use.
func splitRandom(r *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
}

// wireDataPath creates the gateway, the ingress and the QUIC transport.
func (n *Node) wireDataPath(identity keys.Identity, random *rand.Rand) {
	n.wireProxy(random)
	peerLimits := peer.DefaultLimits()
	peerLimits.BodyBytes = n.gateway.Limits.CallBytes()
	n.transport = &peer.Transport{
		Self: n.settings.Node, Listen: n.settings.PeerAddress, Identity: identity, Registry: n.registry, Limits: peerLimits,
		OnControl: func(from ident.NodeID, body []byte) { n.fleet.receive(from, body) },
		OnCall:    n.onCall,
		OnEvent:   n.stallMonitor.handleEvent,
	}
	n.stallMonitor.transport, n.ingress.Peers = n.transport, n.transport
}

// wireProxy creates the gateway, the stall monitor and the ingress, without the
// transport.
func (n *Node) wireProxy(random *rand.Rand) {
	s := n.settings
	limits := proxy.Limits{BodyBytes: s.Limits.BodyBytes, HeaderBytes: s.Limits.HeaderBytes}
	incarnation := ident.Incarnation(n.clock.Now())
	n.gateway = &proxy.Gateway{
		Self: s.Node, Incarnation: incarnation, Clock: n.clock, Limits: limits,
		QueueLength: s.Limits.QueueLength, Log: n.decisions, Registry: n.registry,
	}
	n.stallMonitor = newStallMonitor(n.clock, s.Stall.ProbeMillis, s.Stall.GiveUpMillis, n.decisions)
	n.ingress = &proxy.Ingress{
		Self: s.Node, Listen: s.CallerAddress, Clock: n.clock, Gateway: n.gateway,
		Picker: &route.Picker{Self: s.Node, FailureDomain: s.FailureDomain, Region: s.Region, Rand: splitRandom(random), Limits: route.Limits{Balance: s.Balance}},
		Policy: &retry.Policy{Budget: &retry.Budget{}, Rand: splitRandom(random)},
		Limits: limits, Log: n.decisions, Registry: n.registry,
	}
	if rate := s.Limits.CallerRequestsPerSecond; rate > 0 {
		n.ingress.Limiter = &limit.Limiter[netip.Addr]{PerSecond: float64(rate)}
	}
}

// onCall returns the response to a call of another node.
func (n *Node) onCall(ctx context.Context, from ident.NodeID, body []byte) []byte {
	if wire.IsVersionQuery(body) {
		return n.status.heldReply()
	}
	return n.gateway.OnCall(ctx, from, body)
}

// wireFleet creates membership, distribution and the reader.
func (n *Node) wireFleet(random *rand.Rand) error {
	s := n.settings
	store := &plat.Meter{Store: &plat.Client{URL: s.PlatformURL}, Clock: n.clock, Registry: n.registry}
	if err := store.Open(); err != nil {
		return eris.Wrap(err, "node: metrics")
	}
	n.ingress.Store = store
	distribution := spread.DefaultConfig()
	distribution.RoundMillis = s.Spread.RoundMillis
	n.fleet = &fleet{
		clock: n.clock, transport: n.transport, ingress: n.ingress, gateway: n.gateway,
		log: n.decisions, service: s.Service, metrics: n.metrics,
		releases: spread.New(distribution, splitRandom(random)),
	}
	n.fleet.releases.OnRefuse = n.fleet.releaseRefused
	timing := lease.DefaultTiming()
	timing.TTLMillis = s.Lease.TTLMillis
	timing.RenewMillis = s.Lease.TTLMillis / 4
	timing.MarginMillis = s.Lease.TTLMillis / 6
	period := max(distribution.HeartbeatMillis, distribution.RoundMillis)
	timing.HeartbeatTimeoutMillis = max(timing.HeartbeatTimeoutMillis, missedHeartbeats*period)
	n.reader = &reader{
		clock: n.clock, region: s.Region, store: store, fleet: n.fleet, log: n.decisions, metrics: n.metrics,
		submitter:  &plat.Submitter{Store: store, Clock: n.clock, Seed: random.Uint64()},
		pollMillis: s.Spread.PollMillis, startSourceMillis: s.Spread.StartSourceMillis,
		startDelayMillis: startJitterMillis * clock.Millis(random.Float64()),
		readRequest:      make(chan struct{}, 1), scheduledDue: make(chan struct{}, 1),
	}
	n.reader.keeper = &plat.LeaseKeeper{
		Store: store, Clock: n.clock, Region: s.Region,
		Lease:      &lease.Lease{Self: s.Node, Timing: timing, Rand: splitRandom(random)},
		OnAcquired: n.reader.leaseAcquired, OnLost: n.reader.leaseLost,
	}
	n.fleet.readRelease = func(ident.Version, ident.Digest) { n.reader.requestRead() }
	n.fleet.needSource = n.reader.requestRead
	n.localTarget = &localTarget{renewalTimeout: renewalTimeoutMillis, clock: n.clock, gateway: n.gateway, fleet: n.fleet, log: n.decisions}
	n.gateway.OnLeaving = n.localTarget.leaves
	n.status = &status{fleet: n.fleet, lease: n.reader.leaseStatus, stopping: n.stopping.Load}
	n.tableRandom = splitRandom(random)
	return nil
}

// wireServers creates the HTTP servers besides the ingress.
func (n *Node) wireServers(identity keys.Identity, credential ident.Digest) {
	s := n.settings
	n.adminServer = &admin.StatusServer{Listen: s.AdminAddress, Metrics: n.registry, Source: n.status}
	n.targetServer = &admin.TargetServer{Listen: s.TargetAddress, Target: s.Target, Service: s.Service, Control: n.localTarget}
	n.operatorServer = &admin.OperatorServer{
		Listen: s.OperatorAddress, Certificate: identity.Certificate, Credential: credential, Source: n.status,
		Registry: n.registry,
		Control:  &editControl{clock: n.clock, store: n.reader.store, submitter: n.reader.submitter, onAccepted: n.reader.headAccepted},
	}
}

// openFleet creates the member table, which needs the bound peer address.
func (n *Node) openFleet(*kernel.Kernel) error {
	s := n.settings
	address, err := advertisedAddress(s.AdvertiseAddress, n.transport.Address())
	if err != nil {
		return err
	}
	config := member.DefaultConfig()
	config.ProbeMillis = s.Member.ProbeMillis
	config.SuspectMaxMillis = s.Member.SuspectMillis
	config.SuspectMinMillis = min(config.SuspectMinMillis, s.Member.SuspectMillis)
	for _, seed := range s.Seeds {
		config.Seeds = append(config.Seeds, member.Seed{Node: seed.Node, Address: seed.Address})
	}
	self := member.Record{
		Node: s.Node, Incarnation: n.gateway.Incarnation, PeerAddress: address,
		FailureDomain: s.FailureDomain, Region: s.Region, Service: s.Service, Target: s.Target,
		GateIncarnation: n.gateway.Incarnation,
	}
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.fleet.table = member.New(self, config, n.tableRandom)
	n.fleet.table.OnChange = n.fleet.memberChanged
	return nil
}

// advertisedAddress returns the address that peers use. It is the bound address if none
// is configured; a configured port of 0 is replaced by the bound port.
func advertisedAddress(configured, bound string) (string, error) {
	b, err := netip.ParseAddrPort(bound)
	if err != nil {
		return "", eris.Wrap(err, "node: peer address")
	}
	if configured == "" {
		return bound, nil
	}
	c, err := netip.ParseAddrPort(configured)
	if err != nil {
		return "", eris.Wrap(err, "node: advertised address")
	}
	if c.Port() == 0 {
		return netip.AddrPortFrom(c.Addr(), b.Port()).String(), nil
	}
	return configured, nil
}
