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
	// admitSlots is the number of slots of a Sitaki server.
	admitSlots = 6
	// admitRun is the mean run time in milliseconds; run times are exponential.
	admitRun = 6
	// admitOverload is the arrival rate as a multiple of what the slots can run.
	admitOverload = 3
	// AdmitMillis is the time of overload, and of half load after it, for figures
	// that are published.
	AdmitMillis = 20 * clock.Second
	// admitStep is the interval between ticks of the gate.
	admitStep = 5 * clock.Millis(1)
	// admitClasses is the number of classes.
	admitClasses = 3
)

type (
	// admission is what is compared: the gate, or a queue without deadlines.
	admission interface {
		Arrive(now clock.Millis, c admit.Call) []admit.Action
		Finish(now clock.Millis, id ident.RequestID, took clock.Millis) []admit.Action
		Tick(now clock.Millis) []admit.Action
	}

	// fifo starts calls in order of arrival and refuses none.
	fifo struct {
		running int
		queue   []ident.RequestID
	}

	// offered is one call of the offered load, the same for both.
	offered struct {
		admit.Call
		at, run clock.Millis
	}

	// admitTrial holds the state and the figures of one run.
	admitTrial struct {
		admission admission
		// length is the time of overload, and of half load after it.
		length clock.Millis
		calls  map[ident.RequestID]offered
		// ends holds the running calls in order of their end.
		ends    []ending
		classes [admitClasses]admitClass
		waiting map[ident.RequestID]bool
		// recovered is when, after the overload, no call waited for the first time.
		recovered clock.Millis
	}

	// ending is the end of a running call.
	ending struct {
		id ident.RequestID
		at clock.Millis
		// started is when the call got its slot.
		started clock.Millis
	}

	// admitClass holds the figures of one class during the overload.
	admitClass struct {
		offered, inTime, late, refused int
		delays                         *hdrhistogram.Histogram
	}
)

// Admission compares the gate with a plain FIFO under overload, in virtual time
// and on the same arrivals and run times; length is the time of overload, and of
// half load after it.
func Admission(length clock.Millis) *Table {
	t := NewTable(fmt.Sprintf("admission under %dx overload for %v, then half load, %d slots, mean run %d ms, virtual time, seed %d",
		admitOverload, length, admitSlots, admitRun, admitSeed),
		"admission", "class", "deadline ms", "offered", "answered in time", "in time %", "late", "refused", "p50 ms", "p99 ms", "recovery ms")
	load := offer(length)
	gate := &admit.Gate{
		Slots: admitSlots, Connections: 130, QueueLength: proxy.DefaultQueueLength, AgeingMillis: 100, ActionEvery: proxy.ActionEvery, RunMillis: admitRun,
		OccupiedMillis: clock.Minute,
	}
	t.addAdmission("fifo", &fifo{}, length, load)
	t.addAdmission("gate", gate, length, load)
	return t
}

// deadlines holds the time that each class allows.
func deadlines(class model.Class) clock.Millis {
	return [...]clock.Millis{50, 500, 2000}[class]
}

// offer returns the offered load: half checks, a quarter actions, a quarter
// browsing.
func offer(length clock.Millis) []offered {
	random := rand.New(rand.NewPCG(admitSeed, 0))
	var load []offered
	capacity := float64(admitSlots) / admitRun
	for now := clock.Millis(0); now < 2*length; {
		rate := capacity * admitOverload
		if now >= length {
			rate = capacity / 2
		}
		now += clock.Millis(random.ExpFloat64() / rate)
		class := [...]model.Class{model.Check, model.Check, model.Action, model.Browse}[random.IntN(4)]
		load = append(load, offered{
			Call: admit.Call{ID: ident.RequestID(strconv.Itoa(len(load))), Class: class, Deadline: now + deadlines(class)},
			at:   now, run: clock.Millis(random.ExpFloat64() * admitRun),
		})
	}
	return load
}

// addAdmission runs the load and adds a row for each class.
func (t *Table) addAdmission(name string, a admission, length clock.Millis, load []offered) {
	r := &admitTrial{
		admission: a, length: length, calls: make(map[ident.RequestID]offered), waiting: make(map[ident.RequestID]bool),
	}
	for i := range r.classes {
		r.classes[i].delays = hdrhistogram.New(1, 1_000_000_000, 3)
	}
	tick := admitStep
	for _, c := range load {
		for tick <= c.at {
			r.advance(tick)
			r.apply(tick, a.Tick(tick))
			tick += admitStep
		}
		r.advance(c.at)
		r.calls[c.ID] = c
		r.waiting[c.ID] = true
		if c.at < r.length {
			r.classes[c.Class].offered++
		}
		r.apply(c.at, a.Arrive(c.at, c.Call))
	}
	r.advance(clock.Forever)
	for i, c := range r.classes {
		recovery := "none"
		if r.recovered > 0 {
			recovery = fmt.Sprintf("%.0f", float64(r.recovered-length))
		}
		t.Add(name, model.Class(i), float64(deadlines(model.Class(i))), c.offered, c.inTime,
			100*float64(c.inTime)/float64(c.offered), c.late, c.refused,
			float64(c.delays.ValueAtPercentile(50))/1000, float64(c.delays.ValueAtPercentile(99))/1000, recovery)
	}
}

// advance ends the calls that end by now.
func (r *admitTrial) advance(now clock.Millis) {
	for len(r.ends) > 0 && r.ends[0].at <= now {
		e := r.ends[0]
		r.ends = r.ends[1:]
		c := r.calls[e.id]
		if c.at < r.length {
			class := &r.classes[c.Class]
			_ = class.delays.RecordValue(int64((e.at - c.at) * 1000))
			if e.at <= c.Deadline {
				class.inTime++
			} else {
				class.late++
			}
		}
		r.apply(e.at, r.admission.Finish(e.at, e.id, e.at-e.started))
	}
}

// apply starts and refuses calls.
func (r *admitTrial) apply(now clock.Millis, actions []admit.Action) {
	for _, a := range actions {
		c := r.calls[a.ID]
		delete(r.waiting, a.ID)
		if a.Kind == admit.Refuse {
			if c.at < r.length {
				r.classes[c.Class].refused++
			}
			continue
		}
		e := ending{id: a.ID, at: now + c.run, started: now}
		at, _ := slices.BinarySearchFunc(r.ends, e, func(x, y ending) int { return cmp.Compare(x.at, y.at) })
		r.ends = slices.Insert(r.ends, at, e)
	}
	if now >= r.length && r.recovered == 0 && len(r.waiting) == 0 {
		r.recovered = now
	}
}

// Arrive starts the call or appends it to the queue.
func (f *fifo) Arrive(_ clock.Millis, c admit.Call) []admit.Action {
	f.queue = append(f.queue, c.ID)
	return f.next()
}

// Finish starts the next call.
func (f *fifo) Finish(clock.Millis, ident.RequestID, clock.Millis) []admit.Action {
	f.running--
	return f.next()
}

// Tick does nothing.
func (*fifo) Tick(clock.Millis) []admit.Action {
	return nil
}

// next starts the first call if a slot is free.
func (f *fifo) next() []admit.Action {
	if f.running == admitSlots || len(f.queue) == 0 {
		return nil
	}
	id := f.queue[0]
	f.queue = f.queue[1:]
	f.running++
	return []admit.Action{{Kind: admit.Start, ID: id}}
}
