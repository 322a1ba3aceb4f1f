package bench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/io/proxy"
)

const (
	// admitSeed fixes arrivals and run times.
	admitSeed = 2029
	// admitSlots is the number of slots of a server in the Sitaki deployment.
	admitSlots = 6
	// admitRun is the mean run time in milliseconds; run times are exponential.
	admitRun = 6
	// admitOverload is the arrival rate during the overload, as a multiple of the
	// capacity of the slots.
	admitOverload = 3
	// AdmitMillis is the duration of the overload, and of the half load after it, for
	// published figures.
	AdmitMillis = 20 * clock.Second
	// admitStep is the interval between ticks of the gate.
	admitStep = 5 * clock.Millis(1)
	// admitClasses is the number of classes.
	admitClasses = 3
)

type (
	// admitter is implemented by the admission methods that are compared: the gate,
	// and a queue without deadlines.
	admitter interface {
		Arrive(now clock.Millis, c admit.Call) []admit.Action
		Finish(now clock.Millis, id ident.RequestID, took clock.Millis) []admit.Action
		Tick(now clock.Millis) []admit.Action
	}

	// fifo starts calls in order of arrival and never refuses one.
	fifo struct {
		running int
		queue   []ident.RequestID
	}

	// offeredCall is one call of the offered load, which is the same for all admitters.
	offeredCall struct {
		admit.Call
		// arrival is the instant of the arrival, and runTime the time that the call
		// occupies its slot.
		arrival, runTime clock.Millis
	}

	// admitSimulation is the state and the figures of one run.
	admitSimulation struct {
		admitter admitter
		// phase is the duration of the overload, and of the half load after it.
		phase clock.Millis
		calls map[ident.RequestID]offeredCall
		// completions holds the completions of the running calls, earliest first.
		completions []completion
		classes     [admitClasses]admitClass
		// waiting holds the calls that were neither started nor refused.
		waiting map[ident.RequestID]bool
		// recoveredAt is the first instant after the overload at which no call waited; 0
		// until then.
		recoveredAt clock.Millis
	}

	// completion is the scheduled end of a running call.
	completion struct {
		id ident.RequestID
		at clock.Millis
		// started is the instant at which the call got its slot.
		started clock.Millis
	}

	// admitClass holds the figures of one class. Only calls that arrived during the
	// overload count.
	admitClass struct {
		offered, inTime, late, refused int
		delays                         *hdrhistogram.Histogram
	}
)

// Admission compares the gate with a FIFO queue under overload, in virtual time and with
// the same arrivals and run times. phase is the duration of the overload, and of the
// half load after it.
func Admission(phase clock.Millis) *Table {
	t := NewTable(fmt.Sprintf("admission under %dx overload for %v, then half load, %d slots, mean run %d ms, virtual time, seed %d",
		admitOverload, phase, admitSlots, admitRun, admitSeed),
		"admission", "class", "deadline ms", "offered", "answered in time", "in time %", "late", "refused", "p50 ms", "p99 ms", "recovery ms")
	load := offeredLoad(phase)
	gate := &admit.Gate{
		Slots: admitSlots, Connections: 130, QueueLength: proxy.DefaultQueueLength, AgeingMillis: 100, ActionEvery: proxy.ActionEvery, RunMillis: admitRun,
		OccupiedMillis: clock.Minute,
	}
	t.addAdmission("fifo", &fifo{}, phase, load)
	t.addAdmission("gate", gate, phase, load)
	return t
}

// classTimeout returns the time from the arrival of a call of a class to its deadline.
func classTimeout(class model.Class) clock.Millis {
	return [...]clock.Millis{50, 500, 2000}[class]
}

// offeredLoad returns the calls of the offered load in order of arrival. Half of them
// are checks, a quarter actions and a quarter browsing.
func offeredLoad(phase clock.Millis) []offeredCall {
	random := rand.New(rand.NewPCG(admitSeed, 0))
	var load []offeredCall
	capacity := float64(admitSlots) / admitRun
	for now := clock.Millis(0); now < 2*phase; {
		rate := capacity * admitOverload
		if now >= phase {
			rate = capacity / 2
		}
		now += clock.Millis(random.ExpFloat64() / rate)
		class := [...]model.Class{model.Check, model.Check, model.Action, model.Browse}[random.IntN(4)]
		load = append(load, offeredCall{
			Call:    admit.Call{ID: ident.RequestID(strconv.Itoa(len(load))), Class: class, Deadline: now + classTimeout(class)},
			arrival: now, runTime: clock.Millis(random.ExpFloat64() * admitRun),
		})
	}
	return load
}

// addAdmission runs the load on an admitter and adds a row for each class.
func (t *Table) addAdmission(name string, a admitter, phase clock.Millis, load []offeredCall) {
	r := &admitSimulation{
		admitter: a, phase: phase, calls: make(map[ident.RequestID]offeredCall), waiting: make(map[ident.RequestID]bool),
	}
	for i := range r.classes {
		r.classes[i].delays = hdrhistogram.New(1, 1_000_000_000, 3)
	}
	tick := admitStep
	for _, c := range load {
		for tick <= c.arrival {
			r.advance(tick)
			r.apply(tick, a.Tick(tick))
			tick += admitStep
		}
		r.advance(c.arrival)
		r.calls[c.ID] = c
		r.waiting[c.ID] = true
		if c.arrival < r.phase {
			r.classes[c.Class].offered++
		}
		r.apply(c.arrival, a.Arrive(c.arrival, c.Call))
	}
	r.advance(clock.Forever)
	for i, c := range r.classes {
		recovery := "none"
		if r.recoveredAt > 0 {
			recovery = fmt.Sprintf("%.0f", float64(r.recoveredAt-phase))
		}
		t.Add(name, model.Class(i), float64(classTimeout(model.Class(i))), c.offered, c.inTime,
			100*float64(c.inTime)/float64(c.offered), c.late, c.refused,
			float64(c.delays.ValueAtPercentile(50))/1000, float64(c.delays.ValueAtPercentile(99))/1000, recovery)
	}
}

// advance processes the completions up to now.
func (r *admitSimulation) advance(now clock.Millis) {
	for len(r.completions) > 0 && r.completions[0].at <= now {
		e := r.completions[0]
		r.completions = r.completions[1:]
		c := r.calls[e.id]
		if c.arrival < r.phase {
			class := &r.classes[c.Class]
			_ = class.delays.RecordValue(int64((e.at - c.arrival) * 1000))
			if e.at <= c.Deadline {
				class.inTime++
			} else {
				class.late++
			}
		}
		r.apply(e.at, r.admitter.Finish(e.at, e.id, e.at-e.started))
	}
}

// apply carries out the actions of the admitter.
func (r *admitSimulation) apply(now clock.Millis, actions []admit.Action) {
	for _, a := range actions {
		c := r.calls[a.ID]
		delete(r.waiting, a.ID)
		if a.Kind == admit.Refuse {
			if c.arrival < r.phase {
				r.classes[c.Class].refused++
			}
			continue
		}
		e := completion{id: a.ID, at: now + c.runTime, started: now}
		at, _ := slices.BinarySearchFunc(r.completions, e, func(x, y completion) int { return cmp.Compare(x.at, y.at) })
		r.completions = slices.Insert(r.completions, at, e)
	}
	if now >= r.phase && r.recoveredAt == 0 && len(r.waiting) == 0 {
		r.recoveredAt = now
	}
}

// Arrive starts the call or appends it to the queue.
func (f *fifo) Arrive(_ clock.Millis, c admit.Call) []admit.Action {
	f.queue = append(f.queue, c.ID)
	return f.startNext()
}

// Finish starts the next call.
func (f *fifo) Finish(clock.Millis, ident.RequestID, clock.Millis) []admit.Action {
	f.running--
	return f.startNext()
}

// Tick returns no actions.
func (*fifo) Tick(clock.Millis) []admit.Action {
	return nil
}

// startNext starts the first queued call if a slot is free.
func (f *fifo) startNext() []admit.Action {
	if f.running == admitSlots || len(f.queue) == 0 {
		return nil
	}
	id := f.queue[0]
	f.queue = f.queue[1:]
	f.running++
	return []admit.Action{{Kind: admit.Start, ID: id}}
}
