package logs

import (
	"hickoryrail/core/admit"
	"hickoryrail/core/result"
)

const (
	// All passes every decision.
	All Filter = iota
	// Problems passes decisions that something went wrong or changed.
	Problems
	// Off passes nothing.
	Off
)

// failureStatus is the least status of an answer that reports a failure.
const failureStatus = 500

// FilterNames lists the names of all filters, for messages.
const FilterNames = "all, problems, off"

// Filter says which decisions are logged.
type Filter uint8

// filterNames holds the text form of each filter.
var filterNames = [...]string{"all", "problems", "off"}

// ParseFilter returns the filter with that name.
func ParseFilter(text string) (Filter, bool) {
	for i, name := range filterNames {
		if name == text {
			return Filter(i), true
		}
	}
	return All, false
}

// String returns the filter's name.
func (f Filter) String() string {
	return filterNames[min(int(f), len(filterNames)-1)]
}

// Passes reports whether the filter lets d through.
func (f Filter) Passes(d *Decision) bool {
	return f == All || f == Problems && d.Problem()
}

// Problem reports whether d needs an operator's attention: a refusal, a repeated
// attempt, an ejection, or a change of a member, release or lease. A choice of a
// target or a start at a gate has no verdict yet, so MayHaveRun, the zero
// verdict, does not count for those kinds.
func (d *Decision) Problem() bool {
	switch {
	case d.Kind == Answer:
		return d.Verdict != result.Ran || d.Status >= failureStatus
	case d.Reason == admit.ReasonNoFreeSlot:
		return false // the call goes on looking at other targets
	}
	return d.Kind >= Retry || d.Verdict == result.NotRun
}
