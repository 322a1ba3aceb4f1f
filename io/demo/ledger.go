package demo

import (
	"fmt"
	"sync"

	"hickoryrail/core/result"
)

type (
	// Call is one call of a caller with its outcome.
	Call struct {
		// Action identifies the action; empty for a check.
		Action  string
		Verdict result.Verdict
		// Answered reports whether the caller got the target's answer.
		Answered bool
		// Crossed reports whether the answer belongs to another call.
		Crossed bool
	}

	// Ledger records calls and compares their outcomes with the actions that the targets
	// ran. It is safe for concurrent use.
	Ledger struct {
		mu    sync.Mutex
		calls []Call
	}

	// Totals counts the calls of a ledger.
	Totals struct {
		Calls, Answered, NotRun, MayHaveRun int
		// Crossed counts answers that belong to another call.
		Crossed int
		// Doubled counts actions that ran more than once.
		Doubled int
		// Lost counts answered actions that no target ran.
		Lost int
		// FalseRefusals counts actions that ran although their verdict was NotRun.
		FalseRefusals int
	}
)

// Add records a call.
func (l *Ledger) Add(c Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

// Totals compares the calls with runs, the number of runs of each action at the targets.
func (l *Ledger) Totals(runs map[string]int) Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	var t Totals
	for _, c := range l.calls {
		t.add(c, runs[c.Action])
	}
	return t
}

// add counts one call whose action ran n times.
func (t *Totals) add(c Call, n int) {
	t.Calls++
	switch {
	case c.Answered:
		t.Answered++
		t.Lost += boolToInt(n == 0 && c.Action != "")
	case c.Verdict == result.NotRun:
		t.NotRun++
		t.FalseRefusals += boolToInt(n > 0)
	default:
		t.MayHaveRun++
	}
	t.Crossed += boolToInt(c.Crossed)
	t.Doubled += boolToInt(n > 1)
}

// OK reports whether at least one call was answered and no guarantee for requests was
// violated.
func (t Totals) OK() bool {
	return t.Crossed == 0 && t.Doubled == 0 && t.Lost == 0 && t.FalseRefusals == 0 && t.Answered > 0
}

// String returns the totals on one line.
func (t Totals) String() string {
	return fmt.Sprintf("calls %d, answered %d, refused as not run %d, may have run %d, doubled %d, lost %d, crossed %d, ran after a refusal %d",
		t.Calls, t.Answered, t.NotRun, t.MayHaveRun, t.Doubled, t.Lost, t.Crossed, t.FalseRefusals)
}

// boolToInt returns 1 for true.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
