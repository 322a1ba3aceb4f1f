package trial

import (
	"math"
	"slices"

	"hickoryrail/core/canary"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/route"
)

const (
	// slowFactor is the factor of the usual run time from which on an answer counts as bad.
	slowFactor = 3
	// maxTries is the number of attempts of a request that gates refuse.
	maxTries = 3
)

// routeNames holds the names of the routes.
var routeNames = [routeCount]ident.RouteName{"a", "b", "c"}

// scheduleRequest plans the next request. Arrivals are a Poisson process.
func (f *Fleet) scheduleRequest() {
	if f.PerSecond <= 0 {
		return
	}
	f.After(clock.Millis(-math.Log(1-f.rand.Float64())/f.PerSecond)*clock.Second, func() {
		f.request()
		f.scheduleRequest()
	})
}

// request sends a request of a random node to a target.
func (f *Fleet) request() {
	f.try(f.Nodes[f.rand.IntN(len(f.Nodes))], maxTries)
}

// try makes an attempt, and further ones while gates refuse it.
func (f *Fleet) try(h *Host, left int) {
	if !f.runs(h) {
		return
	}
	t, v := f.choose(h)
	switch {
	case t == nil || left == 0:
		f.Result.Refused++
	case f.accepts(t):
		f.start(h, t, v)
	default:
		if v == route.NewVersion {
			h.Node.Refund(Service)
		}
		f.After(2*f.latency(), func() { f.try(h, left-1) })
	}
}

// accepts reports whether the gate of a target takes a new call.
func (f *Fleet) accepts(t *Target) bool {
	return !t.Stopped && f.runs(t.host) && !t.host.Node.Refuses(f.Now, Service, t.Software)
}

// choose returns a target as a node chooses it: by version, and then at random.
func (f *Fleet) choose(h *Host) (*Target, route.Version) {
	v := route.AnyVersion
	if len(f.byVersion[1]) > 0 {
		v = h.Node.Choose(f.Now, Service, len(f.byVersion[0]) > 0, true)
	}
	list := f.byVersion[0]
	switch v {
	case route.NewVersion:
		list = f.byVersion[1]
	case route.AnyVersion:
		list = slices.Concat(list, f.byVersion[1])
	}
	if len(list) == 0 {
		return nil, v
	}
	if v == route.AnyVersion {
		v = route.OldVersion
	}
	return list[f.rand.IntN(len(list))], v
}

// start runs a request at a target.
func (f *Fleet) start(h *Host, t *Target, v route.Version) {
	name := f.rand.IntN(routeCount)
	isNew := t.Software == New
	since := f.Now - f.Ordered
	t.calls++
	fails, factor := 0.0, 1.0
	if f.Trouble != nil {
		fails, factor = f.Trouble(since)
	}
	if isNew && f.NewFails != nil {
		p := f.NewFails(name, t.calls, since)
		fails = 1 - (1-fails)*(1-p)
	}
	if isNew && f.NewFactor > 0 {
		factor *= f.NewFactor
	}
	slow := factor >= slowFactor
	if f.Now-t.StartedAt < coldMillis {
		factor *= 2
	}
	took := f.WorkMillis * clock.Millis(float64(1+name)*factor*(1+noise*(2*f.rand.Float64()-1)))
	failed := f.rand.Float64() < fails || t.Broken
	if failed {
		took /= 4
	}
	f.count(isNew)
	f.After(took+f.latency(), func() {
		t.calls--
		if isNew && (failed || slow) {
			f.Result.NewBad++
			if f.Result.NewBad == 50 {
				f.Result.FiftiethBadAt = f.Now
			}
		}
		f.event(h, func() []canary.Action {
			return h.Node.Record(f.Now, canary.Sample{
				Service: Service, Route: routeNames[name], Target: t.ID, Version: v,
				Arrived: true, Answered: true, Failed: failed, Delay: took,
			})
		})
	})
}

// count counts a request in the result.
func (f *Fleet) count(isNew bool) {
	if f.Store.order == nil || f.Now-f.Ordered > f.Store.order.DurationMillis {
		if isNew {
			f.Result.LastNewAt = f.Now
		}
		return
	}
	if isNew {
		f.Result.New++
		f.Result.LastNewAt = f.Now
	} else {
		f.Result.Old++
	}
}
