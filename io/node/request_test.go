package node

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/codec"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/core/spread"
	"hickoryrail/io/admin"
	"hickoryrail/io/keys"
	"hickoryrail/io/peer"
	"hickoryrail/io/target"
	"hickoryrail/io/wire"
)

// TestPlannedStopsCutNothing guards against a request that is aborted by a planned stop of
// a target or a node, and against one that starts at a target that has drained (I7, I8).
func TestPlannedStopsCutNothing(t *testing.T) {
	const slots = 4
	f := newTestFleet(t)
	var nodes []*testNode
	var targets []*target.Server
	var node4Isolated atomic.Bool
	for _, name := range []ident.NodeID{"node-1", "node-2", "node-3", "node-4"} {
		// Other nodes do not receive the draining state of node-4, so that its gate has to
		// refuse their calls.
		s := f.startNode(&testNode{name: name, service: "orders", dropControl: func(from ident.NodeID, _ wire.Control) bool {
			return node4Isolated.Load() && (name == "node-4" || from == "node-4")
		}})
		f.startTarget(s, 20*time.Millisecond)
		nodes, targets = append(nodes, s), append(targets, s.target)
	}
	f.publish(nodes[0], 0, configuration(slots, "orders"))
	f.awaitVersion(1, 4, nodes...)
	traffic := startLoad(16, "/orders", nodes...)
	traffic.awaitAnswers(f, 200)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	node4Isolated.Store(true)
	answer, err := http.Post("http://"+nodes[3].TargetAddress()+"/drain", "application/json", strings.NewReader(`{"Target": "target-node-4"}`))
	f.noError(err)
	f.noError(answer.Body.Close())
	drained := len(targets[3].Runs())
	traffic.awaitAnswers(f, 200)
	// Requests that the gate had admitted may not have reached the target yet.
	if n := len(targets[3].Runs()); n > drained+slots || drained == 0 {
		t.Errorf("drained target ran %d requests, %d of them later", n, n-drained)
	}
	f.noError(targets[3].Drain(ctx))
	drained = len(targets[3].Runs())
	f.stopNode(nodes[1])
	stopped := len(targets[1].Runs())
	traffic.awaitAnswers(f, 200)
	traffic.stopAndCheck(t, false, targets...)
	if n := len(targets[3].Runs()); n != drained {
		t.Errorf("target ran %d requests after it left", n-drained)
	}
	if n := len(targets[1].Runs()); n != stopped || stopped == 0 {
		t.Errorf("target of the stopped node ran %d requests, %d of them later", n, n-stopped)
	}
}

// TestFrozenConnectionBetweenNodes guards against calls that hang, run twice or get a
// wrong verdict when a connection stops delivering packets, and against new calls that
// fail although new connections work (I5, I6).
func TestFrozenConnectionBetweenNodes(t *testing.T) {
	f := newTestFleet(t)
	udp := newForwarder(f)
	ingress := f.startNode(&testNode{name: "node-1"})
	remote := f.startNode(&testNode{name: "node-2", service: "orders", advertise: udp.socket.LocalAddr().String()})
	udp.setServer(f, remote.PeerAddress())
	f.startTarget(remote, 30*time.Millisecond)
	short := configuration(4, "orders")
	short.Rules.Routes[0].TimeoutMillis = 1500
	f.publish(ingress, 0, short)
	f.awaitVersion(1, 1, ingress, remote)
	traffic := startLoad(12, "/orders", ingress)
	for _, blocked := range []bool{false, true, false} {
		traffic.awaitAnswers(f, 50)
		closed := ingress.reasonCount(reasonSilent)
		udp.freeze(blocked)
		f.await("silent connection closed", func() bool { return ingress.reasonCount(reasonSilent) > closed })
		f.await("calls without an answer", func() bool { return !blocked || traffic.failed.Load() > 0 })
		udp.unblock()
	}
	traffic.awaitAnswers(f, 50) // over a new connection
	traffic.stopAndCheck(t, true, remote.target)
}

// TestInvalidMessagesChangeNothing guards against a malformed or unsolicited control
// message, a peer with a certificate of another authority, or an announcement of another
// node's target that changes the release or the targets in force.
func TestInvalidMessagesChangeNothing(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	a := f.startNode(&testNode{name: "node-1", service: "orders"})
	b := f.startNode(&testNode{name: "node-2", service: "orders"})
	f.startTarget(a, 0)
	f.publish(a, 0, configuration(4, "orders"))
	f.awaitVersion(1, 1, a, b)

	// A faulty member of the fleet sends a forged release and malformed messages.
	forged, err := model.NewRelease(9, "forged", configuration(1, "orders"))
	is.NoErr(err)
	forged.Configuration = configuration(1, "catalogue") // does not match the digest
	body := codec.Compress(model.EncodeRelease(forged))
	sum := ident.Sum(body)
	snapshot, err := wire.EncodeControl(wire.Control{Spread: &spread.Message{
		Kind: spread.SnapshotBody, Version: 9, Digest: forged.Digest, Body: body, Sum: sum[:],
	}})
	is.NoErr(err)
	faulty := f.startTransport(f.keyDirectory, "node-5")
	faulty.SendControl(a.name, a.PeerAddress(), snapshot)
	messages := [][]byte{{}, []byte("not CBOR"), snapshot[:len(snapshot)/2], append(bytes.Clone(snapshot), 0), {0x82, 0xf6, 0xf6}}
	for _, m := range messages {
		faulty.SendControl(a.name, a.PeerAddress(), m)
	}
	f.await("malformed messages counted", func() bool {
		return a.counter("hickoryrail_control_malformed_total") == float64(len(messages))
	})
	// Each message is handled in a goroutine of its own, so the first one may be the last.
	f.await("forged release refused", func() bool { return a.counter("hickoryrail_releases_refused_total") > 0 })
	is.Equal(a.counter("hickoryrail_releases_refused_total"), 1.0)

	// A peer with the name of a member and the certificate of another authority.
	foreignKeys := t.TempDir()
	_, err = keys.CreateFleet(foreignKeys, []ident.NodeID{"node-1", "node-2"})
	is.NoErr(err)
	foreign := f.startTransport(foreignKeys, "node-2") // trusts the fleet, but must not be trusted by it
	foreign.SendControl(a.name, a.PeerAddress(), messages[1])
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err = foreign.Call(ctx, a.name, a.PeerAddress(), wire.VersionQuery())
	is.Equal(result.Of(err), result.NotRun)

	// Announcements at the wrong node: of another node's target, and for another service.
	for _, c := range []admin.Announcement{
		{Target: "target-node-1", Service: "orders", Address: a.target.Address()},
		{Target: "target-node-2", Service: "catalogue", Address: a.target.Address()},
	} {
		body, err := json.Marshal(c)
		is.NoErr(err)
		answer, err := http.Post("http://"+b.TargetAddress()+"/announce", "application/json", bytes.NewReader(body))
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
		is.Equal(answer.StatusCode, http.StatusForbidden)
	}

	// A later release reaches both nodes after all of the above.
	f.publish(b, 1, configuration(5, "orders"))
	f.awaitVersion(2, 1, a, b)
	is.Equal(a.counter("hickoryrail_control_malformed_total"), float64(len(messages))) // none of the foreign peer
	for _, s := range []*testNode{a, b} {
		is.Equal(len(s.releases()), 2)
		targets := s.view().Targets("orders")
		is.Equal(len(targets), 1)
		is.Equal(targets[0].Node, a.name)
		got := call(http.DefaultClient, s.CallerAddress(), "/orders", "after-"+string(s.name))
		is.Equal(got.verdict, "Ran")
	}
}

// startTransport runs a transport that is not part of a node until the test ends.
func (f *testFleet) startTransport(directory string, self ident.NodeID) *peer.Transport {
	identity, err := keys.LoadIdentity(directory, self)
	f.noError(err)
	identity.Authority, err = keys.LoadAuthority(f.keyDirectory)
	f.noError(err)
	p := &peer.Transport{Self: self, Listen: loopback, Identity: identity}
	f.noError(p.Open())
	f.background(p.Run)
	return p
}
