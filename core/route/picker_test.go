package route

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/core/view"
)

func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}

// record returns the record of target i of a service over four failure domains.
func record(service string, i int, gate ident.Incarnation) member.Record {
	id := fmt.Sprintf("%s-%02d", service, i)
	return member.Record{
		Node: ident.NodeID("node-" + id), State: member.Alive, PeerAddress: "127.0.0.1:1",
		FailureDomain: ident.FailureDomain(fmt.Sprintf("fd-%d", i%4)), Region: ident.Region(fmt.Sprintf("region-%d", i%4/2)),
		Service: ident.ServiceName(service), Target: ident.TargetID(id), TargetState: member.Ready, GateIncarnation: gate,
	}
}

// viewOf returns a view of one service with the given records.
func viewOf(records ...member.Record) *view.View {
	return view.Build(model.Release{Version: 1, Configuration: model.Configuration{
		Inventory: model.Inventory{Services: []model.Service{{Name: "orders", Slots: 6, Connections: 130}}},
	}}, records)
}

// viewOfSize returns a view of n targets of the service orders.
func viewOfSize(n int) *view.View {
	records := make([]member.Record, n)
	for i := range records {
		records[i] = record("orders", i, 1)
	}
	return viewOf(records...)
}

func newPicker(seed uint64) *Picker {
	return &Picker{
		Self: "node-0", FailureDomain: "fd-0", Region: "region-0",
		Rand: rand.New(rand.NewPCG(seed, 1)),
	}
}

// TestSubsetHasEveryDomain guards against a subset that lacks a failure domain or
// exceeds its bound.
func TestSubsetHasEveryDomain(t *testing.T) {
	is := is.New(t)
	p := newPicker(1)
	p.SetView(0, viewOfSize(200))
	seen := map[ident.FailureDomain]int{}
	for _, e := range p.services["orders"].candidates {
		seen[e.target.FailureDomain]++
	}
	is.Equal(len(p.services["orders"].candidates), MaxSubset)
	is.Equal(len(seen), 4)
	is.Equal(seen["fd-0"], MaxSubset/2)
}

// TestRefusalIsLoadNotFailure guards against ejecting targets that are merely
// full.
func TestRefusalIsLoadNotFailure(t *testing.T) {
	is := is.New(t)
	p := newPicker(1)
	p.SetView(0, viewOfSize(4))
	for range 100 {
		c, ok := p.Pick(1, "orders", nil)
		is.True(ok)
		p.Done(1, c.Target.ID, Outcome{Delay: 1, Verdict: result.NotRun})
	}
	is.Equal(len(p.Events(nil)), 0)
}

// TestEjectionDoubles guards against ejections of a failing target that don't get
// longer.
func TestEjectionDoubles(t *testing.T) {
	is := is.New(t)
	p := newPicker(1)
	p.SetView(0, viewOfSize(4))
	now := clock.Millis(0)
	for range 100_000 {
		now += 2
		c, ok := p.Pick(now, "orders", nil)
		is.True(ok)
		p.Done(now, c.Target.ID, Outcome{Delay: 1, Verdict: result.Ran, Failed: c.Target.ID == "orders-01"})
	}
	var last clock.Millis
	for _, e := range p.Events(nil) {
		is.Equal(e.Target, ident.TargetID("orders-01"))
		if e.Ejected {
			is.True(e.Until-e.At > last || last > p.Limits.EjectMaxMillis-1)
			last = e.Until - e.At
		}
	}
	is.True(last >= 4*clock.Second)
}

// TestHangingTargetLosesCalls guards against sending calls to a target that answers
// none of them, until the first one reaches its deadline. The other targets answer
// after 40 ms and have calls in flight as well.
func TestHangingTargetLosesCalls(t *testing.T) {
	is := is.New(t)
	p := newPicker(1)
	p.SetView(0, viewOfSize(4))
	hangingCalls := 0
	var open []ident.TargetID
	for now := clock.Millis(0); now < 500; now += 2 {
		if len(open) == 20 {
			p.Done(now, open[0], Outcome{Delay: 40, Verdict: result.Ran})
			open = open[1:]
		}
		if c, _ := p.Pick(now, "orders", nil); c.Target.ID == "orders-00" {
			hangingCalls++
		} else {
			open = append(open, c.Target.ID)
		}
	}
	is.True(hangingCalls > 0)
	// An even share is 62 calls; the number of calls in flight alone leaves more than 16.
	is.True(hangingCalls <= 14)
}

// TestLocalPair guards against needless traffic between failure domains: among equal
// targets nearly all calls stay in this node's domain, and a slow target there loses
// them.
func TestLocalPair(t *testing.T) {
	is := is.New(t)
	near := func(slow clock.Millis) int {
		p := newPicker(1)
		p.Limits = Limits{DomainFactor: 3, LocalPair: true, StaleMillis: 5 * clock.Second}
		p.SetView(0, viewOfSize(8)) // two of eight targets are in this node's failure domain
		n := 0
		for now := clock.Millis(0); now < 20_000; now += 10 {
			c, ok := p.Pick(now, "orders", nil)
			is.True(ok)
			delay := clock.Millis(10)
			if c.Target.FailureDomain == p.FailureDomain {
				n++
				delay = slow
			}
			p.Done(now+1, c.Target.ID, Outcome{Delay: delay, Verdict: result.Ran})
		}
		return n
	}
	is.True(near(10) > 1900)  // of 2000
	is.True(near(100) < 1000) // a distant target is tried after StaleMillis
}
