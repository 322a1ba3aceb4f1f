package wire

import (
	"bytes"
	"math"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/fresh"
	"hickoryrail/core/grant"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
	"hickoryrail/core/spread"
)

// samples returns control messages with every field in use.
func samples(t testing.TB) []Control {
	c := model.Configuration{Inventory: model.Inventory{
		FailureDomains: []model.FailureDomain{{Name: "a", Region: "r"}},
		Services:       []model.Service{{Name: "orders", Slots: 1, Connections: 10}},
	}}
	one, err := model.NewRelease(1, "e", c)
	if err != nil {
		t.Fatal(err)
	}
	c.Rules.Routes = []model.Route{{Name: "r", PathPrefix: "/", Service: "orders", TimeoutMillis: 1000, MaxAttempts: 1}}
	two, err := model.NewRelease(2, "f", c)
	if err != nil {
		t.Fatal(err)
	}
	delta := model.MakeDelta(one, two)
	body := model.EncodeRelease(two)
	sum := ident.Sum(body)
	record := member.Record{
		Node: "n1", Incarnation: 1_700_000_000_000, State: member.Suspect, PeerAddress: "10.0.0.1:7000",
		FailureDomain: "a", Region: "r", Service: "orders", Target: "t1", TargetState: member.Ready,
		Revision: 3, GateIncarnation: 1_700_000_000_001, Held: 7,
	}
	return []Control{
		{Member: &member.Message{
			Kind: member.Probe, Sequence: 5, Digest: 1 << 63, Held: 7,
			Receiver: member.RecordSummary{Incarnation: 4, Revision: 2, State: member.Dead, Held: 6},
			Updates:  []member.Update{{Record: record, Observer: "n2"}},
		}},
		{Member: &member.Message{Kind: member.IndirectProbe, Target: "n3", Address: "10.0.0.3:7000"}},
		{Member: &member.Message{Kind: member.Sync, Sequence: 1 << 60, Buckets: make([]byte, 512)}},
		{Spread: &spread.Message{
			Kind: spread.DeltaBody, Version: 2, Digest: two.Digest, Delta: &delta,
			Heartbeats: []spread.Heartbeat{{Region: "r", Epoch: 1, Count: 9}},
		}},
		{Spread: &spread.Message{Kind: spread.SnapshotBody, Version: 2, Digest: two.Digest, Body: body, Sum: sum[:]}},
		{Grant: &grant.Message{Kind: grant.Request, Run: 1 << 63, Sequence: 4, Version: 2, Asks: []grant.Ask{{
			Team: "north", RequestsPerSecond: 860, BurstRequests: 860, Held: 3, Waiting: 2, Arrived: 9, Used: -1, Safe: 4, Demand: 8.5,
		}}}},
		{Grant: &grant.Message{Kind: grant.Reply, Run: 1 << 63, Sequence: 4, Grants: []grant.Grant{{
			Team: "north", Tokens: 7, HoldMillis: 100, SpreadMillis: 400, Warming: true, Declined: true,
		}}}},
		{Fresh: &fresh.Message{
			Version: 7, At: 1.5, Clock: 9, SentAt: 3.25, EchoClock: 8, EchoSentAt: -2, EchoReceivedAt: 4, Ask: true,
		}},
	}
}

// TestControlRoundTrip guards against fields that are lost between encoding and
// decoding, and against accepting a message with trailing or missing bytes.
func TestControlRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, c := range samples(t) {
		body, err := EncodeControl(c)
		is.NoErr(err)
		got, err := DecodeControl(body)
		is.NoErr(err)
		is.True(reflect.DeepEqual(got, c))
		_, err = DecodeControl(append(body, 0))
		is.True(err != nil) // trailing bytes
		_, err = DecodeControl(body[:len(body)-1])
		is.True(err != nil) // truncated
	}
}

// TestControlRefuses guards against passing invalid messages to the membership and
// distribution state machines.
func TestControlRefuses(t *testing.T) {
	is := is.New(t)
	long := ident.NodeID(strings.Repeat("x", maxStringBytes+1))
	for _, c := range []Control{
		{},
		{Member: &member.Message{}, Spread: &spread.Message{}},
		{Member: &member.Message{Kind: 77}},
		{Member: &member.Message{Kind: member.Sync, Buckets: make([]byte, 3)}},
		{Member: &member.Message{Updates: []member.Update{{Record: member.Record{State: member.Left + 1, Node: "a"}}}}},
		{Member: &member.Message{Updates: []member.Update{{Record: member.Record{Node: long}}}}},
		{Member: &member.Message{Updates: []member.Update{{Record: member.Record{Node: "a", Incarnation: 1<<64 - 1}}}}},
		{Spread: &spread.Message{Kind: 77}},
		{Grant: &grant.Message{Kind: 77}},
		{Grant: &grant.Message{Asks: make([]grant.Ask, grant.MaxEntries+1)}},
		{Grant: &grant.Message{Asks: []grant.Ask{{RequestsPerSecond: 1}}}},
		{Grant: &grant.Message{Asks: []grant.Ask{{Team: ident.TeamName(long), RequestsPerSecond: 1}}}},
		{Grant: &grant.Message{Asks: []grant.Ask{{Team: "a"}}}},
		{Grant: &grant.Message{Asks: []grant.Ask{{Team: "a", RequestsPerSecond: math.NaN()}}}},
		{Grant: &grant.Message{Asks: []grant.Ask{{Team: "a", RequestsPerSecond: 1, BurstRequests: -1}}}},
		{Grant: &grant.Message{Asks: []grant.Ask{{Team: "a", RequestsPerSecond: 1, Demand: math.Inf(1)}}}},
		{Grant: &grant.Message{Asks: []grant.Ask{{Team: "a", RequestsPerSecond: 1, Held: 1 << 31}}}},
		{Grant: &grant.Message{Asks: []grant.Ask{{Team: "a", RequestsPerSecond: 1, Used: -1 << 31}}}},
		{Grant: &grant.Message{Grants: []grant.Grant{{Team: "a"}}}},
		{Grant: &grant.Message{Kind: grant.Reply, Grants: []grant.Grant{{Team: "a", HoldMillis: -1}}}},
		{Grant: &grant.Message{Kind: grant.Reply, Grants: []grant.Grant{{Team: "a", Tokens: 1 << 31}}}},
		{Fresh: &fresh.Message{At: clock.Millis(math.NaN())}},
	} {
		_, err := EncodeControl(c)
		is.True(err != nil)
		body, err := Encode(c)
		is.NoErr(err)
		_, err = DecodeControl(body)
		is.True(err != nil)
	}
	_, err := EncodeControl(Control{Fresh: &fresh.Message{Version: 1}, Spread: &spread.Message{}})
	is.True(err != nil)
	_, err = DecodeControl(make([]byte, MaxControlBytes+1))
	is.True(err != nil)
}

// FuzzControl guards against input that makes the decoder or the state machines
// panic, and against an accepted message whose encoding is not stable.
func FuzzControl(f *testing.F) {
	for _, c := range samples(f) {
		body, err := EncodeControl(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := DecodeControl(body)
		if err != nil {
			return
		}
		again, err := EncodeControl(c)
		if err != nil {
			t.Fatal(err)
		}
		second, err := DecodeControl(again)
		if err != nil {
			t.Fatal(err)
		}
		if third, err := EncodeControl(second); err != nil || !bytes.Equal(again, third) {
			t.Fatalf("encoding is not stable: %v", err)
		}
		random := rand.New(rand.NewPCG(1, 1))
		now := clock.Second
		if c.Fresh != nil {
			n := fresh.New(fresh.Config{BoundMillis: clock.Second}, random)
			n.SetNeighbours(now, []fresh.Neighbour{{Node: "n8"}})
			n.Receive(now, "n8", *c.Fresh)
			n.Tick(now + clock.Minute)
			return
		}
		if c.Grant != nil || c.Canary != nil {
			return
		}
		if c.Member != nil {
			table := member.New(member.Record{Node: "n9", Incarnation: 1}, member.DefaultConfig(), random)
			table.Receive(now, "n8", *c.Member)
			table.Tick(now + clock.Minute)
			table.Records()
			return
		}
		if c.Grant != nil {
			agent := grant.NewAgent(now, grant.Config{WindowMillis: clock.Second}, "n9", 1, random)
			agent.SetMembers(now, []grant.Member{{Node: "n9"}}, 1)
			agent.Receive(now, grant.Member{Node: "n8"}, c.Grant)
			agent.Tick(now + clock.Minute)
		}
		if c.Spread == nil {
			return
		}
		node := spread.New(spread.DefaultConfig(), random)
		node.SetNeighbours(now, []spread.Neighbour{{Node: "n8"}})
		node.Receive(now, "n8", *c.Spread)
		node.Tick(now + clock.Minute)
	})
}
