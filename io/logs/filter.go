package logs

import (
	"hickoryrail/core/admit"
	"hickoryrail/core/result"
)

const (
	// All passes every decision.
	All Filter = iota
	// Problems passes only the decisions that need an operator's attention; see
	// Decision.Problem.
	Problems
	// Off passes nothing.
	Off
)

// failureStatus is the lowest HTTP status that reports a failure.
const failureStatus = 500

// FilterNames lists the names of all filters, for messages.
const FilterNames = "all, problems, off"

// Filter selects the decisions that are logged.
type Filter uint8

// filterNames contains the name of each filter.
var filterNames = [...]string{"all", "problems", "off"}

// ParseFilter returns the filter with the given name and whether there is one.
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

// Passes reports whether d is logged with this filter.
func (f Filter) Passes(d *Decision) bool {
	return f == All || f == Problems && d.Problem()
}

// Problem reports whether d needs an operator's attention: a refusal, a retry, an
// ejection, a failed answer, or a change of a member, release or lease. The choice of a
// target or the start of a request at a gate has no verdict yet, so MayHaveRun, the zero
// verdict, is not a problem for these kinds.
func (d *Decision) Problem() bool {
	switch {
	case d.Kind == Answer:
		return d.Verdict != result.Ran || d.Status >= failureStatus
	case d.Reason == admit.ReasonNoFreeSlot:
		return false // the call tries other targets
	}
	return d.Kind >= Retry || d.Verdict == result.NotRun
}
