package route

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/core/view"
)

const (
	// balanceSlots and balanceRun are the slots and the usual run time of the targets.
	balanceSlots = 18
	balanceRun   = 300 * clock.Millis(1)
	// usualCalls is the number of calls at a target.
	usualCalls = 12
)

// balanceView returns a view of one service with count targets in two failure domains,
// without slots, as on the users' platform.
func balanceView(count int) *view.View {
	var records []member.Record
	for i := range count {
		records = append(records, member.Record{
			Node: ident.NodeID(fmt.Sprint("n", i)), State: member.Alive, TargetState: member.Ready, GateIncarnation: 1, Service: "s",
			Target: balanceTarget(i), FailureDomain: ident.FailureDomain(fmt.Sprint("fd", i%2)), Region: "r",
		})
	}
	inventory := model.Inventory{Services: []model.Service{{Name: "s"}}}
	return view.Build(model.Release{Version: 1, Configuration: model.Configuration{Inventory: inventory}}, records)
}

// balanceTarget returns the id of target i. Those with even numbers are in the pickers'
// failure domain.
func balanceTarget(i int) ident.TargetID { return ident.TargetID(fmt.Sprintf("t%02d", i)) }

// newBalancePicker returns a picker as on the users' platform, with count targets.
func newBalancePicker(mode BalanceMode, count int) *Picker {
	p := &Picker{
		Self: "n0", FailureDomain: "fd0", Region: "r", Rand: rand.New(rand.NewPCG(11, 13)),
		Limits: Limits{DomainFactor: 3, LocalPair: true, StaleMillis: 10 * clock.Second, Balance: mode},
	}
	p.SetView(0, balanceView(count))
	return p
}

// answer ends a call to a target that answered after delay, with its load.
func answer(p *Picker, now clock.Millis, id ident.TargetID, delay clock.Millis, free int, pace float64) {
	p.Done(now, id, Outcome{
		Delay: delay, Verdict: result.Ran, Load: admit.Load{Free: free}, HasLoad: true, Stated: StatedLoad{Slots: balanceSlots, Pace: pace},
	})
}

// report makes a call to each target, whose answers state free slots and pace as usual.
func report(p *Picker, now clock.Millis, count int) {
	for i := range count {
		e := p.targets[balanceTarget(i)]
		e.startCall(now, ReasonOnly)
		answer(p, now, e.target.ID, balanceRun, balanceSlots-usualCalls, 1)
	}
}

// shareOf returns the share of n picks that a target gets. They are made in groups of 12
// calls in flight, which then end without a report.
func shareOf(p *Picker, now clock.Millis, id ident.TargetID, n int) float64 {
	const group = 12
	picked := 0
	for range n / group {
		var chosen [group]*endpoint
		for i := range chosen {
			c, _ := p.Pick(now, "s", nil)
			if c.Target.ID == id {
				picked++
			}
			chosen[i] = p.targets[c.Target.ID]
		}
		for _, e := range chosen {
			e.inFlight--
			e.balance.sent--
		}
	}
	return float64(picked) / float64(n/group*group)
}

// TestPicksWithoutPace guards against a picker that decides otherwise than before for
// targets that state no pace. The hash is that of the picks of the code before balancing
// by expected time.
func TestPicksWithoutPace(t *testing.T) {
	const picksBefore = 9892539043559888448
	for _, mode := range []BalanceMode{BalanceAuto, BalanceOff} {
		is := is.New(t)
		p := newBalancePicker(mode, 24)
		events := rand.New(rand.NewPCG(3, 4))
		h := fnv.New64a()
		var open []ident.TargetID
		for step := range 20_000 {
			now := clock.Millis(step) * 7
			if events.IntN(2) == 0 || len(open) == 0 {
				var exclude []ident.TargetID
				if events.IntN(5) == 0 && len(open) > 0 {
					exclude = open[:1]
				}
				c, _ := p.Pick(now, "s", exclude)
				_, _ = fmt.Fprintln(h, c.Target.ID, c.Reason)
				open = append(open, c.Target.ID)
				continue
			}
			i := events.IntN(len(open))
			o := Outcome{
				Delay: clock.Millis(events.IntN(500)), Verdict: result.Ran, HasLoad: true, Load: admit.Load{Free: events.IntN(balanceSlots), Queued: events.IntN(2)},
			}
			switch events.IntN(20) {
			case 0:
				o.Verdict = result.NotRun
			case 1:
				o.Verdict, o.Failed, o.HasLoad = result.MayHaveRun, true, false
			}
			p.Done(now, open[i], o)
			open = append(open[:i], open[i+1:]...)
			if step%997 == 0 {
				p.SetView(now, balanceView(20+step%5))
			}
		}
		is.Equal(h.Sum64(), uint64(picksBefore))
	}
}

// TestBalanceEvents guards against a change of the way of choosing that leaves no trace in
// the log, and against an event for every pick.
func TestBalanceEvents(t *testing.T) {
	is := is.New(t)
	p := newBalancePicker(BalanceAuto, 8)
	var reasons []string
	pick := func(now clock.Millis) {
		_, _ = p.Pick(now, "s", nil)
		for _, e := range p.Events(nil) {
			is.Equal(e.Service, ident.ServiceName("s"))
			is.Equal(e.Target, ident.TargetID(""))
			reasons = append(reasons, e.Reason)
		}
	}
	pick(1)
	report(p, 2, 8)
	pick(3)
	pick(4)
	pick(4 + paceKnownMillis)
	is.Equal(reasons, []string{reasonPace, reasonNoPace})
}
