package member

import (
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// noticeMillis is the time in which a node has to notice that another one is silent.
const noticeMillis = 2 * clock.Second

// reached returns how many live nodes, itself included, a node has contact with.
func (net *network) reached(n ident.NodeID) int {
	h := net.hosts[n]
	return h.table.Size() - h.table.Unreached(net.now+h.skew)
}

// TestCutOffNodeNotices guards against a node that is cut off and goes on counting on the
// others until they count as dead, which takes a large fleet minutes.
func TestCutOffNodeNotices(t *testing.T) {
	for _, size := range []int{3, 16, 61} {
		is := is.New(t)
		net := newNetwork(1, size)
		net.run(10 * clock.Second)
		away := net.nodes[size-1]
		for _, n := range net.nodes {
			is.Equal(net.reached(n), size)
		}
		net.blocked = func(from, to ident.NodeID) bool { return from == away || to == away }
		net.run(noticeMillis)
		for second := range 60 {
			is.Equal(net.reached(away), 1)
			for _, n := range net.nodes[:size-1] {
				is.True(net.reached(n) >= size-2 || second < 2) // then all know who is suspected
			}
			net.run(clock.Second)
		}
		net.blocked = nil
		net.run(20 * clock.Second)
		for _, n := range net.nodes {
			is.Equal(net.reached(n), size)
		}
	}
}

// TestCutOffNodesAreNoticed guards against nodes that count on others for seconds although a
// third of the fleet is cut off. Only suspicions, which take longer, are exact.
func TestCutOffNodesAreNoticed(t *testing.T) {
	is := is.New(t)
	const size, away = 61, 21
	net := newNetwork(3, size)
	net.run(10 * clock.Second)
	cut := make(map[ident.NodeID]bool)
	for _, n := range net.nodes[size-away:] {
		cut[n] = true
	}
	net.blocked = func(from, to ident.NodeID) bool { return cut[from] || cut[to] }
	net.run(noticeMillis)
	sum := 0
	for _, n := range net.nodes[:size-away] {
		sum += net.reached(n)
	}
	mean := float64(sum) / (size - away)
	is.True(mean > size-away-6 && mean < size-away+6)
	net.run(1500)
	for _, n := range net.nodes[:size-away] {
		is.True(net.reached(n) <= size-away+3)
	}
}

// TestSlowNetworkKeepsContact guards against nodes that count others as unreached because
// messages are late or lost.
func TestSlowNetworkKeepsContact(t *testing.T) {
	is := is.New(t)
	net := newNetwork(2, 16)
	net.run(10 * clock.Second)
	net.loss, net.maxExtraDelay = 0.05, 300
	for range 100 {
		net.run(200)
		for _, n := range net.nodes {
			is.True(4*net.reached(n) >= 3*len(net.nodes))
		}
	}
}
