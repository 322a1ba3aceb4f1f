package report

import (
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// TestLateStatements guards against a late statement that revives a target which
// drains or has left, or that displaces its successor.
func TestLateStatements(t *testing.T) {
	is := is.New(t)
	at := func(id ident.TargetID, born clock.Millis, sequence uint64) Statement {
		return Statement{Target: id, Born: born, Sequence: sequence}
	}
	var l Ledger
	is.Equal(l.Take(at("a", 10, 1)), Started)
	is.Equal(l.Take(at("a", 10, 3)), Renewed)
	is.Equal(l.Take(at("a", 10, 2)), Stale)
	drain := at("a", 10, 4)
	drain.Draining = true
	is.Equal(l.Take(drain), Drained)
	is.Equal(l.Take(at("a", 10, 5)), Drained)
	leave := Statement{Target: "a", Born: 10, Leaving: true}
	is.Equal(l.Take(leave), Gone)
	is.Equal(l.Take(leave), Stale)
	is.Equal(l.Take(at("a", 10, 6)), Stale)
	is.Equal(l.Take(at("b", 20, 1)), Started)
	is.Equal(l.Take(at("a", 10, 7)), Stale)
	is.Equal(l.Take(leave), Stale)
}

// TestSameNameAgain guards against taking the statements of a restarted target for
// late ones because its counts start anew.
func TestSameNameAgain(t *testing.T) {
	is := is.New(t)
	var l Ledger
	is.Equal(l.Take(Statement{Target: "a", Born: 10, Sequence: 40}), Started)
	is.Equal(l.Take(Statement{Target: "a", Born: 30, Sequence: 1}), Started)
	is.Equal(l.Take(Statement{Target: "a", Born: 10, Sequence: 41}), Stale)
	is.Equal(l.Take(Statement{Target: "a", Born: 10, Leaving: true}), Stale)
	is.Equal(l.Take(Statement{Target: "a", Born: 30, Sequence: 2}), Renewed)
}

// TestLapse guards against a target that stays out after a long silence, and
// against one that left and returns by its own late statement.
func TestLapse(t *testing.T) {
	is := is.New(t)
	var l Ledger
	is.Equal(l.Take(Statement{Target: "a", Born: 10, Sequence: 5}), Started)
	l.Lapse()
	is.Equal(l.Take(Statement{Target: "a", Born: 10, Sequence: 6}), Started)
	is.Equal(l.Take(Statement{Target: "a", Born: 10, Leaving: true}), Gone)
	l.Lapse()
	is.Equal(l.Take(Statement{Target: "a", Born: 10, Sequence: 7}), Stale)
}
