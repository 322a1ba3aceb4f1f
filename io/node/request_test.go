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

// TestPlannedStopsCutNothing guards against a request that a planned stop of a
// target or a node cuts, and against one that starts at a target that has drained
// (I7, I8).
func TestPlannedStopsCutNothing(t *testing.T) {
	const slots = 4
	r := newRig(t)
	var nodes []*slot
	var targets []*target.Server
	var silent atomic.Bool
	for _, name := range []ident.NodeID{"node-1", "node-2", "node-3", "node-4"} {
		// The others do not hear of the drain, so that only the gate can refuse.
		s := r.start(&slot{name: name, service: "orders", drop: func(from ident.NodeID, _ wire.Control) bool {
			return silent.Load() && (name == "node-4" || from == "node-4")
		}})
		r.announce(s, 20*time.Millisecond)
		nodes, targets = append(nodes, s), append(targets, s.target)
	}
	r.publish(nodes[0], 0, configuration(slots, "orders"))
	r.everywhere(1, 4, nodes...)
	work := newLoad(16, "/orders", nodes...)
	work.more(r, 200)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	silent.Store(true)
	answer, err := http.Post("http://"+nodes[3].TargetAddress()+"/drain", "application/json", strings.NewReader(`{"Target": "target-node-4"}`))
	r.noError(err)
	r.noError(answer.Body.Close())
	drained := len(targets[3].Runs())
	work.more(r, 200)
	// The requests that the gate had let in may still have been on their way.
	if n := len(targets[3].Runs()); n > drained+slots || drained == 0 {
		t.Errorf("drained target ran %d requests, %d of them later", n, n-drained)
	}
	r.noError(targets[3].Drain(ctx))
	drained = len(targets[3].Runs())
	r.stop(nodes[1])
	stopped := len(targets[1].Runs())
	work.more(r, 200)
	work.end(t, false, targets...)
	if n := len(targets[3].Runs()); n != drained {
		t.Errorf("target ran %d requests after it left", n-drained)
	}
	if n := len(targets[1].Runs()); n != stopped || stopped == 0 {
		t.Errorf("target of the stopped node ran %d requests, %d of them later", n, n-stopped)
	}
}

// TestFrozenConnectionBetweenNodes guards against calls that hang or run twice, or
// that get a wrong verdict, when a connection goes silent, and against new calls
// that fail once fresh connections work (I5, I6).
func TestFrozenConnectionBetweenNodes(t *testing.T) {
	r := newRig(t)
	f := newForwarder(r)
	ingress := r.start(&slot{name: "node-1"})
	far := r.start(&slot{name: "node-2", service: "orders", advertise: f.socket.LocalAddr().String()})
	f.to(r, far.PeerAddress())
	r.announce(far, 30*time.Millisecond)
	short := configuration(4, "orders")
	short.Rules.Routes[0].TimeoutMillis = 1500
	r.publish(ingress, 0, short)
	r.everywhere(1, 1, ingress, far)
	work := newLoad(12, "/orders", ingress)
	for _, blocked := range []bool{false, true, false} {
		work.more(r, 50)
		closed := ingress.decided(reasonSilent)
		f.freeze(blocked)
		r.await("silent connection closed", func() bool { return ingress.decided(reasonSilent) > closed })
		r.await("calls without an answer", func() bool { return !blocked || work.failed.Load() > 0 })
		f.unblock()
	}
	work.more(r, 50) // over a fresh connection
	work.end(t, true, far.target)
}

// TestStrangeMessagesChangeNothing guards against a malformed or unasked control
// message, a peer of another authority and an announcement of another node's
// target that change what is in force.
func TestStrangeMessagesChangeNothing(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a := r.start(&slot{name: "node-1", service: "orders"})
	b := r.start(&slot{name: "node-2", service: "orders"})
	r.announce(a, 0)
	r.publish(a, 0, configuration(4, "orders"))
	r.everywhere(1, 1, a, b)

	// A member of the fleet that is faulty.
	forged, err := model.NewRelease(9, "forged", configuration(1, "orders"))
	is.NoErr(err)
	forged.Configuration = configuration(1, "catalogue") // no longer of this digest
	body := codec.Compress(model.EncodeRelease(forged))
	sum := ident.Sum(body)
	snapshot, err := wire.EncodeControl(wire.Control{Spread: &spread.Message{
		Kind: spread.SnapshotBody, Version: 9, Digest: forged.Digest, Body: body, Sum: sum[:],
	}})
	is.NoErr(err)
	faulty := r.transport(r.directory, "node-5")
	faulty.SendControl(a.name, a.PeerAddress(), snapshot)
	messages := [][]byte{{}, []byte("not CBOR"), snapshot[:len(snapshot)/2], append(bytes.Clone(snapshot), 0), {0x82, 0xf6, 0xf6}}
	for _, m := range messages {
		faulty.SendControl(a.name, a.PeerAddress(), m)
	}
	r.await("malformed messages counted", func() bool {
		return a.counter("hickoryrail_control_malformed_total") == float64(len(messages))
	})
	is.Equal(a.counter("hickoryrail_releases_refused_total"), 1.0)

	// A peer with the name of a member and the certificate of another authority.
	elsewhere := t.TempDir()
	_, err = keys.CreateFleet(elsewhere, []ident.NodeID{"node-1", "node-2"})
	is.NoErr(err)
	stranger := r.transport(elsewhere, "node-2") // trusts the fleet, which must not trust it
	stranger.SendControl(a.name, a.PeerAddress(), messages[1])
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err = stranger.Call(ctx, a.name, a.PeerAddress(), wire.HeldQuery())
	is.Equal(result.Of(err), result.NotRun)

	// An announcement at the wrong node, in each way.
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

	// A later release brings news to both nodes, after all of the above.
	r.publish(b, 1, configuration(5, "orders"))
	r.everywhere(2, 1, a, b)
	is.Equal(a.counter("hickoryrail_control_malformed_total"), float64(len(messages))) // none of the stranger's
	for _, s := range []*slot{a, b} {
		is.Equal(len(s.releases()), 2)
		targets := s.view().Targets("orders")
		is.Equal(len(targets), 1)
		is.Equal(targets[0].Node, a.name)
		got := call(http.DefaultClient, s.CallerAddress(), "/orders", "after-"+string(s.name))
		is.Equal(got.verdict, "Ran")
	}
}

// transport runs a transport that is not part of a node.
func (r *rig) transport(directory string, self ident.NodeID) *peer.Transport {
	identity, err := keys.LoadIdentity(directory, self)
	r.noError(err)
	identity.Authority, err = keys.LoadAuthority(r.directory)
	r.noError(err)
	p := &peer.Transport{Self: self, Listen: loopback, Identity: identity}
	r.noError(p.Open())
	r.background(p.Run)
	return p
}
