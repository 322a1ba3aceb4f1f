package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/io/keys"
	"hickoryrail/io/peer"
	"hickoryrail/io/wire"
)

const (
	// TrafficNodes is the fleet size for published figures.
	TrafficNodes = 16
	// TrafficDuration is the duration of the measurement for published figures.
	TrafficDuration = 20 * time.Second
	// trafficTimeout bounds the wait until every table holds all members.
	trafficTimeout = time.Minute
)

// trafficNode is a member.Table with a peer.Transport.
type trafficNode struct {
	transport *peer.Transport
	clock     *clock.System
	mu        sync.Mutex
	table     *member.Table
	// sent counts messages, and bytes their encoded size.
	sent, bytes int
}

// ControlTraffic measures the bytes of the control connections of real transports on
// loopback, including QUIC's own packets and the UDP and IPv4 headers. The measurement of
// duration d follows a warm-up of the same duration, which begins when every table holds
// all members.
func ControlTraffic(nodes int, d time.Duration) (*Table, error) {
	t := NewTable(fmt.Sprintf("control traffic of real transports on loopback, %d nodes, %s", nodes, d),
		"nodes", "members known", "messages/s sent per node", "message bytes/s sent per node",
		"wire bytes/s sent per node", "wire bytes/s received per node", "overhead bytes per message")
	fleet, stop, err := startTrafficFleet(nodes)
	if err != nil {
		return nil, err
	}
	defer stop()
	for end := time.Now().Add(trafficTimeout); totals(fleet)[4] < float64(nodes*nodes); time.Sleep(memberTick.Duration()) {
		if time.Now().After(end) {
			return nil, errors.New("members did not discover each other in time")
		}
	}
	time.Sleep(d)
	before := totals(fleet)
	time.Sleep(d)
	after := totals(fleet)
	perNodeSecond := func(i int) float64 { return (after[i] - before[i]) / d.Seconds() / float64(nodes) }
	t.Add(nodes, after[4]/float64(nodes), perNodeSecond(0), perNodeSecond(1), perNodeSecond(2), perNodeSecond(3),
		(perNodeSecond(2)-perNodeSecond(1))/perNodeSecond(0))
	return t, nil
}

// totals returns the sums of messages, message bytes, bytes sent and received, and
// the sizes of the tables.
func totals(fleet []*trafficNode) [5]float64 {
	var out [5]float64
	for _, n := range fleet {
		traffic := n.transport.ControlTraffic()
		n.mu.Lock()
		for i, v := range [...]int{n.sent, n.bytes, int(traffic.Sent), int(traffic.Received), n.table.Size()} {
			out[i] += float64(v)
		}
		n.mu.Unlock()
	}
	return out
}

// startTrafficFleet starts a fleet. The returned function stops it.
func startTrafficFleet(nodes int) ([]*trafficNode, func(), error) {
	directory, err := os.MkdirTemp("", "hickoryrail-bench")
	if err != nil {
		return nil, nil, err
	}
	var names []ident.NodeID
	for i := range nodes {
		names = append(names, memberRecord(i).Node)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	stop := func() {
		cancel()
		group.Wait()
		_ = os.RemoveAll(directory)
	}
	if _, err := keys.CreateFleet(directory, names); err != nil {
		stop()
		return nil, nil, err
	}
	var fleet []*trafficNode
	for i := range nodes {
		n, err := newTrafficNode(directory, i, fleet)
		if err != nil {
			stop()
			return nil, nil, err
		}
		fleet = append(fleet, n)
		group.Go(func() { _ = n.transport.Run(ctx) })
		group.Go(func() { n.run(ctx) })
	}
	return fleet, stop, nil
}

// newTrafficNode returns node i with an open transport. The first node of the fleet is
// the seed of the others.
func newTrafficNode(directory string, i int, fleet []*trafficNode) (*trafficNode, error) {
	self := memberRecord(i)
	identity, err := keys.LoadIdentity(directory, self.Node)
	if err != nil {
		return nil, err
	}
	n := &trafficNode{clock: clock.NewSystem()}
	n.transport = &peer.Transport{
		Self: self.Node, Listen: "127.0.0.1:0", Identity: identity, Registry: prometheus.NewRegistry(), OnControl: n.receive,
	}
	if err := n.transport.Open(); err != nil {
		return nil, err
	}
	self.PeerAddress = n.transport.Address()
	config := member.DefaultConfig()
	if len(fleet) > 0 {
		fleet[0].mu.Lock()
		seed := fleet[0].table.Self()
		fleet[0].mu.Unlock()
		config.Seeds = []member.Seed{{Node: seed.Node, Address: seed.PeerAddress}}
	}
	n.table = member.New(self, config, rand.New(rand.NewPCG(memberSeed, uint64(i))))
	return n, nil
}

// run ticks the table until ctx ends.
func (n *trafficNode) run(ctx context.Context) {
	ticker := time.NewTicker(memberTick.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.mu.Lock()
			n.send(n.table.Tick(n.clock.Now()))
			n.mu.Unlock()
		}
	}
}

// receive passes a message to the table.
func (n *trafficNode) receive(from ident.NodeID, body []byte) {
	c, err := wire.DecodeControl(body)
	if err != nil || c.Member == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.send(n.table.Receive(n.clock.Now(), from, *c.Member))
}

// send sends the table's messages.
func (n *trafficNode) send(actions []member.Action) {
	for _, a := range actions {
		body, err := wire.EncodeControl(wire.Control{Member: &a.Message})
		if err != nil {
			panic(err) // every message of a table can be encoded
		}
		n.sent++
		n.bytes += len(body)
		n.transport.SendControl(a.To, a.Address, body)
	}
}
