package member

import (
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// TestUnansweredProbeIsSentAgain guards against a node that goes on using connections which
// turned silent without a reset, so that it hears of no release until its neighbours take
// it for dead: half a second after an unanswered probe, the probe is sent again on a new
// connection, and its answer counts.
func TestUnansweredProbeIsSentAgain(t *testing.T) {
	is := is.New(t)
	net := newNetwork(1, 4)
	net.run(10 * clock.Second)
	host := net.hosts[net.nodes[0]]
	table, began := host.table, net.now+host.skew
	type sent struct {
		at       clock.Millis
		sequence uint64
	}
	first, again := make(map[ident.NodeID]sent), make(map[ident.NodeID]sent)
	for now := began; now < began+2*clock.Second; now += 100 { // no message arrives
		for _, a := range table.Tick(now) {
			if a.Message.Kind != Probe {
				continue
			}
			if !a.Fresh {
				first[a.To] = sent{now, a.Message.Sequence}
				continue
			}
			if _, ok := again[a.To]; ok {
				continue
			}
			again[a.To] = sent{now, a.Message.Sequence}
			is.Equal(again[a.To].sequence, first[a.To].sequence)
			is.True(again[a.To].at-first[a.To].at <= table.config.TimeoutMillis+100)
			table.Receive(now, a.To, Message{Kind: ProbeAck, Sequence: a.Message.Sequence})
			is.True(table.probes[a.To] == nil)
		}
	}
	is.Equal(len(again), 3) // each of the neighbours
}
