// Package trial models a fleet during a rollout in virtual time, for tests and
// measurements of core/canary.
package trial

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"hickoryrail/core/canary"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
)

const (
	// Service is the only service of the model.
	Service ident.ServiceName = "lookups"
	// Old is the version that its targets have at first.
	Old ident.SoftwareVersion = "v1"
	// New is the version that is rolled out.
	New ident.SoftwareVersion = "v2"

	// tickMillis is the period of the nodes' timers, and latencyMillis the least latency
	// of a message. Messages take up to three times as long.
	tickMillis    = 100 * clock.Millis(1)
	latencyMillis = 1 * clock.Millis(1)
	// spreadMillis is the time in which a change of a member record reaches all nodes.
	spreadMillis = 300 * clock.Millis(1)
	// degree is the number of overlay neighbours of a node.
	degree = 8
	// watcherCount is the number of nodes that wait for changes of the store.
	watcherCount = 12
	// routeCount is the number of routes of the service.
	routeCount = 3
	// coldMillis is the time after the start of a target in which it is twice as slow.
	coldMillis = 3 * clock.Second
	// noise is the share by which the work of a request varies either way.
	noise = 0.15
)

type (
	// Options are the settings of a model.
	Options struct {
		Seed uint64
		// Nodes is the number of nodes. The first OldTargets of them have a target of the old
		// version, and the next NewTargets one of the new version, which starts with the
		// order.
		Nodes, OldTargets, NewTargets int
		// PerSecond is the rate of requests.
		PerSecond float64
		// WorkMillis is the time that a request takes at a target of the old version.
		WorkMillis clock.Millis
		// Config holds the settings of rollouts.
		Config canary.Config
		// NewFails is the probability of a failure of the new version, and NewFactor the
		// factor of its run time; nil and 0 mean as good as the old one. calls is the
		// number of requests that the target runs.
		NewFails  func(route, calls int, since clock.Millis) float64
		NewFactor float64
		// Trouble is the probability of a failure of both versions and the factor of their
		// run times at a time.
		Trouble func(since clock.Millis) (fails, factor float64)
	}

	// Fleet is a modelled fleet. Store, Nodes and Targets may be changed between events.
	Fleet struct {
		Options
		Now     clock.Millis
		Store   Store
		Nodes   []*Host
		Targets []*Target
		// Cut reports whether messages from one node to another are lost.
		Cut func(from, to ident.NodeID) bool
		// Ordered is the time of the order that was placed last.
		Ordered clock.Millis
		Result  Result

		rand    *rand.Rand
		events  eventQueue
		counter uint64
		byID    map[ident.NodeID]*Host
		// records are the member records as all nodes see them, and byVersion the routable
		// targets among them without and with a label.
		records   []member.Record
		byVersion [2][]*Target
	}

	// Host is a node with the target beside it.
	Host struct {
		ID   ident.NodeID
		Node *canary.Node
		// Down is set while the process does not run, and PausedUntil the end of a pause.
		Down        bool
		PausedUntil clock.Millis
		// Target is nil for a node without one.
		Target *Target
		// Refused is set while the store refuses the node.
		Refused bool
		// neighbours are the node's overlay neighbours by index.
		neighbours []int
		// label is the label in the node's record.
		label ident.SoftwareVersion
		seed  uint64
	}

	// Target is a target of the service.
	Target struct {
		ID       ident.TargetID
		Software ident.SoftwareVersion
		// StartedAt is the time of its start; before it, the target does not exist.
		StartedAt clock.Millis
		// Stopped is set once the target does not run.
		Stopped bool
		// Broken makes all requests to the target fail.
		Broken bool
		calls  int
		host   *Host
	}

	// Result is the outcome of a run.
	Result struct {
		// Old and New count the requests that reached the targets of each version between
		// the order and its deadline, and NewBad the bad answers of the new version.
		Old, New, NewBad int
		// FiftiethBadAt is the time of the 50th bad answer, and LastNewAt that of the last
		// request to the new version.
		FiftiethBadAt, LastNewAt clock.Millis
		// EndAt is the time of the outcome, and EndNew and EndBad the requests to the new
		// version and its bad answers until then.
		EndAt          clock.Millis
		EndNew, EndBad int
		// Refused counts requests without a target.
		Refused int
		// Messages counts the messages between nodes, and MaxMessages those that the node
		// with the most has sent.
		Messages, MaxMessages int
		sent                  map[ident.NodeID]int
		// Notes are the reasons of all decisions.
		Notes []canary.Decision
	}

	// event is a function that is due at a time.
	event struct {
		at    clock.Millis
		order uint64
		run   func()
	}

	eventQueue []event
)

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// NewFleet returns a fleet without an order.
func NewFleet(o Options) *Fleet {
	f := &Fleet{
		Options: o, Now: 1000 * clock.Second, rand: rand.New(rand.NewPCG(o.Seed, 7)), byID: make(map[ident.NodeID]*Host),
		Result: Result{sent: make(map[ident.NodeID]int)},
	}
	f.Store = Store{fleet: f, era: 1, version: 10}
	for i := range o.Nodes {
		h := &Host{ID: ident.NodeID(fmt.Sprintf("n%03d", i)), seed: f.rand.Uint64()}
		f.boot(h)
		for d := range degree / 2 {
			step := 1 + d*d*d*o.Nodes/64
			h.neighbours = append(h.neighbours, (i+step)%o.Nodes, (i-step%o.Nodes+o.Nodes)%o.Nodes)
		}
		slices.Sort(h.neighbours)
		h.neighbours = slices.DeleteFunc(slices.Compact(h.neighbours), func(n int) bool { return n == i })
		switch {
		case i < o.OldTargets:
			f.addTarget(h, Old, 0)
		case i < o.OldTargets+o.NewTargets:
			f.addTarget(h, New, clock.Forever)
		}
		f.Nodes = append(f.Nodes, h)
		f.byID[h.ID] = h
	}
	f.updateRecords()
	for _, h := range f.Nodes {
		f.After(tickMillis*clock.Millis(f.rand.Float64()), func() { f.tick(h) })
	}
	f.scheduleRequest()
	return f
}

// boot gives a node an empty state.
func (f *Fleet) boot(h *Host) {
	h.seed++
	h.Node = &canary.Node{Self: h.ID, Config: f.Config, Rand: rand.New(rand.NewPCG(h.seed, 3))}
}

// addTarget adds a target beside a node.
func (f *Fleet) addTarget(h *Host, v ident.SoftwareVersion, startedAt clock.Millis) {
	h.Target = &Target{ID: "t" + ident.TargetID(h.ID), Software: v, StartedAt: startedAt, host: h}
	f.Targets = append(f.Targets, h.Target)
}

// After runs a function after a delay.
func (f *Fleet) After(delay clock.Millis, run func()) {
	f.counter++
	heap.Push(&f.events, event{f.Now + max(delay, 0), f.counter, run})
}

// Run runs the fleet for a time.
func (f *Fleet) Run(d clock.Millis) {
	end := f.Now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.Now = max(f.Now, e.at)
		e.run()
	}
	f.Now = end
}

// Order writes an order for the new version and starts its targets.
func (f *Fleet) Order(to ident.SoftwareVersion, d clock.Millis) {
	f.Ordered = f.Now
	f.Result.LastNewAt, f.Result.FiftiethBadAt = 0, 0
	f.Store.version++
	f.Store.order = &canary.Order{Service: Service, To: to, DurationMillis: d, Era: f.Store.era, Revision: f.Store.version}
	for _, t := range f.Targets {
		if t.Software == to && t.StartedAt == clock.Forever {
			t.StartedAt = f.Now + tickMillis
		}
	}
	f.tellWatchers()
	f.After(tickMillis, f.updateRecords)
}

// tellWatchers passes the change of the orders to the nodes that wait for it.
func (f *Fleet) tellWatchers() {
	for i := 0; i < watcherCount && i < len(f.Nodes); i++ {
		h := f.Nodes[i*len(f.Nodes)/min(watcherCount, len(f.Nodes))]
		orders := canary.Orders{Era: f.Store.era, Revision: f.Store.version}
		if f.Store.order != nil {
			orders.List = []canary.Order{*f.Store.order}
		} else {
			orders.Withdrawn = []ident.ServiceName{Service}
		}
		if h.Refused || f.Store.Down {
			continue
		}
		f.After(f.latency()+5, func() { f.event(h, func() []canary.Action { return h.Node.OrdersRead(f.Now, orders) }) })
	}
}

// Restart restarts the process of a node, which then reads the orders from the store.
func (f *Fleet) Restart(h *Host) {
	h.Down = false
	f.boot(h)
	f.tick(h)
	f.ReadOrders(h)
}

// ReadOrders makes a node read all orders from the store.
func (f *Fleet) ReadOrders(h *Host) {
	if f.Store.Down || h.Refused {
		return
	}
	orders := canary.Orders{Whole: true, Era: f.Store.era, Revision: f.Store.version}
	if f.Store.order != nil {
		orders.List = []canary.Order{*f.Store.order}
	}
	f.After(f.latency()+5, func() { f.event(h, func() []canary.Action { return h.Node.OrdersRead(f.Now, orders) }) })
}

// runs reports whether a node runs now.
func (f *Fleet) runs(h *Host) bool {
	return !h.Down && f.Now >= h.PausedUntil
}

// event passes an event to a node that runs, after a pause if there is one.
func (f *Fleet) event(h *Host, do func() []canary.Action) {
	switch {
	case h.Down:
	case f.Now < h.PausedUntil:
		f.After(h.PausedUntil-f.Now, func() { f.event(h, do) })
	default:
		f.perform(h, do())
	}
}

// tick runs the timers of a node.
func (f *Fleet) tick(h *Host) {
	if h.Down {
		return
	}
	f.After(max(tickMillis, h.PausedUntil-f.Now), func() { f.tick(h) })
	if !f.runs(h) || !h.Node.Active() {
		return
	}
	s := canary.Surroundings{Address: string(h.ID), Records: f.records}
	for _, i := range h.neighbours {
		s.Neighbours = append(s.Neighbours, f.records[i])
	}
	if h.Target != nil {
		s.Calls = h.Target.calls
	}
	f.perform(h, h.Node.Tick(f.Now, s))
}

// perform performs the actions of a node.
func (f *Fleet) perform(h *Host, actions []canary.Action) {
	for _, a := range actions {
		switch a.Kind {
		case canary.Send:
			f.send(h, a)
		case canary.ReadStatus:
			f.Store.read(h, a.Service)
		case canary.WriteStatus:
			f.Store.write(h, a.Service, a.Status)
		case canary.Note:
			f.Result.Notes = append(f.Result.Notes, a.Note)
		}
	}
	if h.Target == nil {
		return
	}
	label, ok := h.Node.Label(Service)
	if !ok || label != h.Target.Software {
		label = ""
	}
	if label != h.label {
		h.label = label
		f.After(spreadMillis, f.updateRecords)
	}
}

// send delivers a message.
func (f *Fleet) send(h *Host, a canary.Action) {
	f.Result.Messages++
	f.Result.sent[h.ID]++
	f.Result.MaxMessages = max(f.Result.MaxMessages, f.Result.sent[h.ID])
	to := f.byID[a.To]
	if to == nil || f.Cut != nil && f.Cut(h.ID, a.To) || !a.Message.Valid() {
		return
	}
	f.After(f.latency(), func() {
		f.event(to, func() []canary.Action { return to.Node.Receive(f.Now, h.ID, a.Message) })
	})
}

// latency returns the latency of a message.
func (f *Fleet) latency() clock.Millis {
	return latencyMillis * clock.Millis(1+2*f.rand.Float64())
}

// updateRecords makes the present state of the nodes known to all nodes.
func (f *Fleet) updateRecords() {
	f.records, f.byVersion = make([]member.Record, len(f.Nodes)), [2][]*Target{}
	for i, h := range f.Nodes {
		r := member.Record{Node: h.ID, PeerAddress: string(h.ID), Service: Service, Software: h.label}
		if h.Down {
			r.State = member.Dead
		}
		if t := h.Target; t != nil && !t.Stopped && f.Now >= t.StartedAt {
			r.Target, r.TargetState = t.ID, member.Ready
		}
		f.records[i] = r
		if r.Routable() {
			group := min(len(r.Software), 1)
			f.byVersion[group] = append(f.byVersion[group], h.Target)
		}
	}
}

// Changed makes the state of nodes and targets known after the time that a change takes.
func (f *Fleet) Changed() {
	f.After(spreadMillis, f.updateRecords)
}
