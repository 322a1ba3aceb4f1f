package admit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

const (
	// paceSlots to paceGoal are the values of the users' service whose targets are slow
	// for some 600 ms, by a factor of 2.5, for 15 in 100 of the time.
	paceSlots = 18
	paceRun   = 320 * clock.Millis(1)
	paceGoal  = clock.Second
	slowPace  = 2.5
	slowFor   = 600 * clock.Millis(1)
	slowShare = 0.15
	// offeredLoad is the ratio of the offered work to the capacity.
	offeredLoad = 0.9
)

// pacedGate runs a gate at 0.9 of its target's capacity for 300 s. The target states what
// stated returns for its true pace. It returns the shares of the calls that were answered
// after their goals and that were refused, and the gate.
func pacedGate(stated func(pace float64, random *rand.Rand) float64) (late, refused float64, g *Gate) {
	const length = 300 * clock.Second
	arrivals, works, paces, lies := rand.New(rand.NewPCG(7, 1)), rand.New(rand.NewPCG(7, 2)), rand.New(rand.NewPCG(7, 3)), rand.New(rand.NewPCG(7, 4))
	g = &Gate{Order: ByGoal, Slots: paceSlots, Connections: 530, QueueLength: 64, RunMillis: 10, OccupiedMillis: clock.Minute}
	type run struct{ work, took clock.Millis }
	runs := make(map[ident.RequestID]*run)
	goals, work := make(map[ident.RequestID]clock.Millis), make(map[ident.RequestID]clock.Millis)
	refusals, misses := 0, 0
	apply := func(actions []Action) {
		for _, a := range append([]Action(nil), actions...) {
			if a.Kind == Refuse {
				refusals++
				continue
			}
			runs[a.ID] = &run{work: work[a.ID]}
		}
	}
	pace, until, next := 1.0, 10*clock.Second, clock.Millis(0)
	mean := 1 + slowShare*(slowPace-1)
	for now := clock.Millis(0); now < length; now++ {
		if now >= until {
			pace, until = 1, now+slowFor
			if paces.Float64() < slowShare {
				pace = slowPace
			}
		}
		var ended []ident.RequestID
		for id, r := range runs {
			r.work -= clock.Millis(1 / pace)
			r.took++
			if r.work <= 0 {
				ended = append(ended, id)
			}
		}
		slices.Sort(ended)
		for _, id := range ended {
			took := runs[id].took
			delete(runs, id)
			if now > goals[id] {
				misses++
			}
			if figure := stated(pace, lies); figure > 0 {
				g.SetPace(now, figure)
			}
			apply(g.Finish(now, id, took))
		}
		for next <= now {
			next += paceRun / paceSlots / offeredLoad * clock.Millis(mean*arrivals.ExpFloat64())
			id := ident.RequestID(fmt.Sprint(len(goals)))
			goals[id], work[id] = now+paceGoal, paceRun*clock.Millis(0.5+works.Float64())
			apply(g.Arrive(now, Call{ID: id, Rank: NewRank(model.Check), Goal: goals[id], Deadline: now + 4*clock.Second}))
		}
		if now >= g.Next() {
			apply(g.Tick(now))
		}
	}
	return float64(misses) / float64(len(goals)), float64(refusals) / float64(len(goals)), g
}

// noPace is the figure of a target that states nothing.
func noPace(float64, *rand.Rand) float64 { return 0 }

// TestPaceSavesWork guards against a gate that lets its target run calls which miss their
// goals, because its expectation is the average of usual and slow times.
func TestPaceSavesWork(t *testing.T) {
	late, refused, _ := pacedGate(noPace)
	pacedLate, pacedRefused, _ := pacedGate(func(pace float64, _ *rand.Rand) float64 { return pace })
	t.Logf("without a pace %.4f late, %.4f refused; with it %.4f late, %.4f refused", late, refused, pacedLate, pacedRefused)
	if pacedLate+pacedRefused > 0.8*(late+refused) {
		t.Errorf("without a pace %.4f are late and %.4f refused, with it %.4f and %.4f", late, refused, pacedLate, pacedRefused)
	}
}

// TestFalsePaceLosesWeight guards against a target that makes its gate refuse calls, or
// run them in vain, by stating a pace that has nothing to do with its run times, is always
// the same, or is the reverse of the truth.
func TestFalsePaceLosesWeight(t *testing.T) {
	late, refused, _ := pacedGate(noPace)
	for name, stated := range map[string]func(float64, *rand.Rand) float64{
		"random":      func(_ float64, lies *rand.Rand) float64 { return 0.2 + 4*lies.Float64() },
		"always high": func(float64, *rand.Rand) float64 { return 20 },
		"always low":  func(float64, *rand.Rand) float64 { return 0.1 },
		"reversed":    func(pace float64, _ *rand.Rand) float64 { return 1 / pace },
	} {
		falseLate, falseRefused, g := pacedGate(stated)
		t.Logf("%s: %.4f late, %.4f refused, weight %.2f", name, falseLate, falseRefused, g.pace.weight())
		if falseLate+falseRefused > late+refused+0.02 {
			t.Errorf("%s: %.4f are late and %.4f refused; without a pace %.4f and %.4f", name, falseLate, falseRefused, late, refused)
		}
	}
}

// TestPaceAges guards against an old figure that determines the expectation of a gate
// whose target has answered nothing since, and against the pace of an earlier target.
func TestPaceAges(t *testing.T) {
	is := is.New(t)
	g := &Gate{Order: ByGoal, Slots: 1, Connections: 1, QueueLength: 1, RunMillis: 10}
	is.Equal(g.Pace(), 1.0)
	g.SetPace(1000, 1)
	g.SetPace(1000, slowPace)
	is.True(math.Abs(g.Pace()-slowPace) < 1e-9)
	g.Tick(1000 + paceHalfMillis)
	is.True(math.Abs(g.Pace()-math.Sqrt(slowPace)) < 1e-9)
	g.Tick(20 * clock.Second)
	is.True(g.Pace() < 1.001)
	g.SetPace(30*clock.Second, slowPace)
	is.True(g.Pace() > 2)
	g.ResetPace()
	is.Equal(g.Pace(), 1.0)
}

// TestNoPaceAsBefore guards against a gate that expects other run times for a target that
// states no pace.
func TestNoPaceAsBefore(t *testing.T) {
	is := is.New(t)
	g := &Gate{Order: ByGoal, Slots: 2, Connections: 2, QueueLength: 1, RunMillis: 10}
	q := &goalQueue{gate: g}
	want := clock.Millis(0)
	for _, took := range []clock.Millis{300, 250, 720, 1, 0} {
		q.finished(Call{}, took)
		updateAverage(&want, took)
		is.Equal(q.expectedRun(0), want)
	}
}
