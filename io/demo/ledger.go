package demo

import (
	"fmt"
	"sync"

	"hickoryrail/core/result"
)

type (
	// Call is one call of a caller with what came back.
	Call struct {
		Action  string
		Verdict result.Verdict
		// Answered says that the target's answer came back.
		Answered bool
		// Crossed says that the answer was not the one to this call.
		Crossed bool
	}

	// Ledger compares what callers were told with what targets ran.
	Ledger struct {
		mu    sync.Mutex
		calls []Call
	}

	// Totals are the sums of a ledger.
	Totals struct {
		Calls, Answered, NotRun, MayHaveRun int
		// Crossed counts answers that belong to another call.
		Crossed int
		// Doubled counts actions that ran more than once.
		Doubled int
		// Lost counts answered actions that no target ran.
		Lost int
		// FalseRefusals counts actions that ran although they were refused as
		// not run.
		FalseRefusals int
	}
)

// Add records a call.
func (l *Ledger) Add(c Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

// Totals compares the calls with the targets' counts of runs by action.
func (l *Ledger) Totals(runs map[string]int) Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	var t Totals
	for _, c := range l.calls {
		t.add(c, runs[c.Action])
	}
	return t
}

// add counts one call that ran n times.
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

// Held reports whether the totals keep every promise on requests.
func (t Totals) Held() bool {
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
