package proxy

import (
	"hickoryrail/core/canary"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/result"
	"hickoryrail/core/route"
	"hickoryrail/io/wire"
)

type (
	// Rollouts decides which version of a service each attempt goes to. It is safe for
	// concurrent use.
	Rollouts interface {
		// Choose returns the version for the next attempt at a service that has targets of
		// a new version. hasOld reports whether it has others.
		Choose(service ident.ServiceName, hasOld bool) route.Version
		// Refund takes back a choice of the new version that had no target.
		Refund(service ident.ServiceName)
		// Record counts the outcome of an attempt.
		Record(s canary.Sample)
	}

	// Replaced reports whether the target beside the node gets no new calls, because a
	// rollout sends all requests of its service to another version. It is safe for
	// concurrent use.
	Replaced interface {
		Replaced() bool
	}
)

// reasonReplaced is the reason of a refusal by the gate of a target whose version is being
// replaced.
const reasonReplaced = "target's version is replaced by another one"

// chooseTarget chooses the target of an attempt. During a rollout, it chooses among those
// of one version: work that the old version cannot take does not go to the new one beyond
// its share. The caller holds mu.
func (in *Ingress) chooseTarget(now clock.Millis, service ident.ServiceName, tried []ident.TargetID) (route.Choice, bool) {
	if in.Rollouts == nil {
		return in.Picker.Pick(now, service, tried)
	}
	hasOld, hasNew := in.Picker.Versions(service)
	if !hasNew {
		return in.Picker.Pick(now, service, tried)
	}
	v := in.Rollouts.Choose(service, hasOld)
	choice, ok := in.Picker.PickVersion(now, service, tried, v)
	if ok || v != route.NewVersion {
		return choice, ok
	}
	in.Rollouts.Refund(service)
	if !hasOld {
		return choice, ok
	}
	return in.Picker.PickVersion(now, service, tried, route.OldVersion)
}

// recordSample passes the outcome of an attempt to Rollouts. err is set if the node beside
// the target did not answer: that shows nothing about the target.
func (in *Ingress) recordSample(c *call, choice route.Choice, resp *wire.Response, err error, took clock.Millis) {
	if in.Rollouts == nil {
		return
	}
	s := canary.Sample{
		Service: c.route.Service, Route: c.route.Name, Target: choice.Target.ID, Version: route.OldVersion,
		Arrived: resp.Arrived || resp.Verdict != result.NotRun, Delay: took,
	}
	if choice.Target.Software != "" {
		s.Version = route.NewVersion
	}
	switch {
	case err != nil:
	case resp.Verdict == result.Ran:
		s.Answered, s.Failed = true, resp.Status >= minFailureStatus
	case resp.Verdict == result.MayHaveRun && resp.Reason != reasonGaveUp:
		s.Answered, s.Failed = true, true
	}
	in.Rollouts.Record(s)
}
