package node

import (
	"context"
	"errors"
	"io"

	"hickoryrail/core/ident"
	"hickoryrail/core/kernel"
	"hickoryrail/io/conf"
)

// register registers the services with the kernel in the order of their start. They stop
// in reverse order: the servers, the requests in flight, the lease, the membership, and
// at last the transport and the log.
func (n *Node) register() error {
	return n.registerAll([]service{
		{serviceLog, &unit{run: n.decisions.Run}},
		{serviceTransport, &unit{open: adaptOpen(n.transport.Open), run: n.transport.Run, drain: n.transport.Drain}},
		{serviceStalls, &unit{run: n.stallMonitor.run}},
		{serviceGateway, &unit{open: adaptOpen(n.gateway.Open), run: n.gateway.Run}},
		{serviceIngress, &unit{open: adaptOpen(n.ingress.Open), run: n.ingress.Run}},
		{serviceFleet, &unit{open: n.openFleet, run: n.fleet.run, drain: n.fleet.leave}},
		{serviceReader, &unit{run: n.reader.run}},
		{serviceRenewal, &unit{run: n.localTarget.run, drain: n.drainRequests}},
		{serviceTargets, &unit{open: adaptOpen(n.targetServer.Open), run: n.targetServer.Run, drain: n.targetServer.Drain}},
		{serviceAdmin, &unit{open: adaptOpen(n.adminServer.Open), run: n.adminServer.Run, drain: n.adminServer.Drain}},
		{serviceOperators, &unit{open: adaptOpen(n.operatorServer.Open), run: n.operatorServer.Run, drain: n.operatorServer.Drain}},
	})
}

// service is a unit with its name in the kernel.
type service struct {
	name kernel.Name
	unit *unit
}

// registerAll registers services in the order of their start.
func (n *Node) registerAll(services []service) error {
	for _, s := range services {
		if err := n.kernel.Register(s.name, s.unit); err != nil {
			return err
		}
	}
	return nil
}

// adaptOpen adapts an Open method that does not need the kernel.
func adaptOpen(open func() error) func(*kernel.Kernel) error {
	return func(*kernel.Kernel) error { return open() }
}

// drainRequests lets the requests in flight finish: first those that run at the local
// target, whose calls the ingress still serves, then those of local callers.
func (n *Node) drainRequests(ctx context.Context) error {
	n.ingress.BeginDrain()
	gateErr := n.gateway.Drain(ctx)
	return errors.Join(gateErr, n.ingress.Drain(ctx))
}

// Start starts the node and returns once every server listens.
func (n *Node) Start(ctx context.Context) error {
	if err := n.kernel.Start(ctx); err != nil {
		return err
	}
	n.logger.WithField("Node", string(n.settings.Node)).
		WithField("CallerAddress", n.CallerAddress()).
		WithField("PeerAddress", n.PeerAddress()).
		Info("node started")
	return nil
}

// Stop stops the node gracefully, at most until ctx ends: new requests are refused with
// the verdict NotRun, requests in flight finish, and the fleet is notified.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	n.localTarget.stop()
	err := n.kernel.Stop(ctx)
	n.logger.WithField("Node", string(n.settings.Node)).Info("node stopped")
	return err
}

// Run runs a node with these settings until ctx ends, and then stops it gracefully.
func Run(ctx context.Context, s conf.Settings, output io.Writer) error {
	n, err := New(s, output)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Stop.GraceMillis.Duration())
	defer cancel()
	return n.Stop(grace)
}

// ID returns the node's name.
func (n *Node) ID() ident.NodeID { return n.settings.Node }

// CallerAddress returns host:port for callers, known after Start.
func (n *Node) CallerAddress() string { return n.ingress.Address() }

// TargetAddress returns host:port for the target, known after Start.
func (n *Node) TargetAddress() string { return n.targetServer.Address() }

// AdminAddress returns host:port for metrics and health, known after Start.
func (n *Node) AdminAddress() string { return n.adminServer.Address() }

// OperatorAddress returns host:port for operators, known after Start.
func (n *Node) OperatorAddress() string { return n.operatorServer.Address() }

// PeerAddress returns host:port for other nodes, known after Start.
func (n *Node) PeerAddress() string { return n.transport.Address() }

// Version returns the version of the release in force, or 0 if there is none.
func (n *Node) Version() ident.Version {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.fleet.inForce.Version
}

// Ready reports whether the node may serve callers.
func (n *Node) Ready() bool {
	return len(n.status.Status().Reasons) == 0
}

// ControlBytes returns the bytes of control traffic that the node sent and received.
func (n *Node) ControlBytes() (sent, received ident.Bytes) {
	t := n.transport.ControlTraffic()
	return t.Sent, t.Received
}

// RoutableTargets returns the number of routable targets of all services.
func (n *Node) RoutableTargets() int {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	count := 0
	for _, r := range n.fleet.table.Records() {
		if r.Routable() {
			count++
		}
	}
	return count
}
