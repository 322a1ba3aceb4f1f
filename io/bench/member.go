package bench

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/io/wire"
)

const (
	// memberSeed fixes the updates and the table's random choices.
	memberSeed = 2024
	// MemberSeconds is the virtual time of one row for published figures.
	MemberSeconds = 120
	// memberTick is the interval between ticks of a table.
	memberTick clock.Millis = 100
	// messageOverhead estimates the bytes that the transport adds to a control
	// message: IPv4 and UDP headers (28), a short QUIC header with its
	// authentication tag (about 24) and a stream frame (4). Acknowledgements and
	// flow control take about ackBytes more. ControlTraffic measured a sum of 123 to
	// 128 bytes per message.
	messageOverhead = 56
	ackBytes        = 70
)

// memberDriver runs one member.Table and simulates its neighbours.
type memberDriver struct {
	table   *member.Table
	records []member.Record
	random  *rand.Rand
	// pending are the copies of updates that neighbours still have to deliver.
	pending []member.Record
	// digest is the digest of the table's last message.
	digest uint64
	// sent and received are bytes; messages counts both directions.
	sent, received, messages int
	// busy is the time spent in the table and in the codec of its messages.
	busy time.Duration
}

// MemberCost measures the bytes, messages, processor time and memory of one table
// against the size of the fleet and the rate of updates in it. Each update
// reaches the table once from each neighbour, which is the worst case. Published
// figures use MemberSeconds of virtual time with 100, 200, 400 and 800 members.
func MemberCost(seconds int, sizes ...int) (*Table, error) {
	t := NewTable(fmt.Sprintf("membership cost of one node, %d s of virtual time, seed %d", seconds, memberSeed),
		"members", "updates/s in the fleet", "messages/s", "bytes/s sent", "bytes/s received",
		"CPU share %", "heap bytes per member")
	for _, n := range sizes {
		for _, churn := range []float64{0, 0.5, 2} {
			before := heapBytes()
			d, err := newMemberDriver(n)
			if err != nil {
				return nil, err
			}
			// The driver's own records are not part of the table's memory.
			tableBytes := float64(heapBytes()-before) - float64(n*recordBytes)
			if err := d.run(seconds, churn); err != nil {
				return nil, err
			}
			perSecond := func(sum int) float64 { return float64(sum) / float64(seconds) }
			t.Add(n, churn, perSecond(d.messages), perSecond(d.sent), perSecond(d.received), 100*d.busy.Seconds()/float64(seconds), tableBytes/float64(n))
			runtime.KeepAlive(d)
		}
	}
	return t, nil
}

// recordBytes is the size of a record in the driver, strings included.
const recordBytes = 280

// heapBytes returns the live bytes on the heap after a collection.
func heapBytes() int64 {
	// The second collection empties the codec's pools.
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// memberRecord returns the record of node i with strings of typical length.
func memberRecord(i int) member.Record {
	name := fmt.Sprintf("wdh-north-roster-%03d", i)
	return member.Record{
		Node: ident.NodeID(name), Incarnation: 1_790_000_000_000, PeerAddress: fmt.Sprintf("10.20.%d.%d:7000", i/250, i%250),
		FailureDomain: "wdh-north", Region: "windhoek", Service: "roster", Target: ident.TargetID("t-" + name),
		TargetState: member.Ready, GateIncarnation: 1_790_000_000_000, Held: 1300,
	}
}

// newMemberDriver returns a driver whose table holds n members.
func newMemberDriver(n int) (*memberDriver, error) {
	d := &memberDriver{random: rand.New(rand.NewPCG(memberSeed, uint64(n)))}
	d.table = member.New(memberRecord(0), member.DefaultConfig(), rand.New(rand.NewPCG(memberSeed, 1)))
	all := member.Message{Kind: member.SyncReply, Final: true}
	for i := range n {
		d.records = append(d.records, memberRecord(i))
		all.Updates = append(all.Updates, member.Update{Record: d.records[i]})
	}
	body, err := wire.EncodeControl(wire.Control{Member: &all})
	if err != nil {
		return nil, err
	}
	return d, d.deliver(0, d.records[1].Node, body)
}

// deliver passes an encoded message to the table and handles the resulting actions.
func (d *memberDriver) deliver(now clock.Millis, from ident.NodeID, body []byte) error {
	start := time.Now()
	c, err := wire.DecodeControl(body)
	if err != nil {
		return err
	}
	actions := d.table.Receive(now, from, *c.Member)
	d.busy += time.Since(start)
	return d.handleActions(now, actions)
}

// handleActions encodes the messages that the table sends and acknowledges its probes.
func (d *memberDriver) handleActions(now clock.Millis, actions []member.Action) error {
	for _, a := range actions {
		start := time.Now()
		body, err := wire.EncodeControl(wire.Control{Member: &a.Message})
		d.busy += time.Since(start)
		if err != nil {
			return err
		}
		d.messages++
		d.sent += len(body) + messageOverhead
		d.received += ackBytes
		d.digest = a.Message.Digest
		if a.Message.Kind == member.Probe {
			if err := d.send(now, a.To, member.Message{Kind: member.ProbeAck, Sequence: a.Message.Sequence}); err != nil {
				return err
			}
		}
	}
	return nil
}

// send delivers a message of a neighbour, with pending updates.
func (d *memberDriver) send(now clock.Millis, from ident.NodeID, m member.Message) error {
	self := d.table.Self()
	m.Receiver = member.RecordSummary{Incarnation: self.Incarnation, Revision: self.Revision, Held: self.Held}
	m.Digest, m.Held = d.digest, self.Held
	// A neighbour adds at most 6 records to a message, as the table itself does.
	k := min(6, len(d.pending))
	for _, r := range d.pending[:k] {
		m.Updates = append(m.Updates, member.Update{Record: r})
	}
	d.pending = d.pending[k:]
	body, err := wire.EncodeControl(wire.Control{Member: &m})
	if err != nil {
		return err
	}
	d.messages++
	d.received += len(body) + messageOverhead
	d.sent += ackBytes
	return d.deliver(now, from, body)
}

// run advances the virtual time with churn updates per second in the fleet.
func (d *memberDriver) run(seconds int, churn float64) error {
	d.busy, d.sent, d.received, d.messages = 0, 0, 0, 0
	copies := len(d.table.Neighbours())
	dueUpdates := 0.0
	for now := memberTick; now <= clock.Millis(seconds)*clock.Second; now += memberTick {
		for dueUpdates += churn * float64(memberTick/clock.Second); dueUpdates >= 1; dueUpdates-- {
			r := &d.records[1+d.random.IntN(len(d.records)-1)]
			r.Revision++
			for range copies {
				d.pending = append(d.pending, *r)
			}
		}
		start := time.Now()
		actions := d.table.Tick(now)
		d.busy += time.Since(start)
		if err := d.handleActions(now, actions); err != nil {
			return err
		}
		// Four neighbours probe the table, each once a second.
		if step := int(now/memberTick) % 10; step%2 == 0 && step < 8 {
			neighbours := d.table.Neighbours()
			from := neighbours[len(neighbours)-1-step/2].Node
			if err := d.send(now, from, member.Message{Kind: member.Probe, Sequence: uint64(now)}); err != nil {
				return err
			}
		}
	}
	return nil
}
