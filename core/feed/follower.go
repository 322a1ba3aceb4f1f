package feed

import (
	"math/rand/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// Idle makes no call until the node has to read the release.
	Idle Kind = iota
	// Read reads the newest release.
	Read
	// Wait waits for a release that was written after a revision.
	Wait
)

const (
	// minBackoff and maxBackoff bound the delay after a failed call.
	minBackoff = 100 * clock.Millis(1)
	maxBackoff = 1 * clock.Second
	// coalesceMillis is the delay after a release before the next call, so that releases
	// in quick succession are read with one call. It is well below the time in which a
	// release must be in force.
	coalesceMillis = 700 * clock.Millis(1)
	// burstMillis is the time between two changes below which they count as a burst. In
	// a burst only the newest release is read, because waiting for changes returns every
	// intermediate release.
	burstMillis = 2 * clock.Second
	// holdMillis is how long the store holds a call that waits for changes.
	holdMillis = 20 * clock.Second
	// leaderIntervalMillis bounds the time between two answers to a leader. A restore of
	// the store that no call noticed shows in the next answer, so this is below the time in
	// which a release must be in force.
	leaderIntervalMillis = 1500 * clock.Millis(1)
)

const (
	// Reader reads the newest release now and then; its neighbours send it the others.
	Reader Role = iota
	// Watcher waits for changes.
	Watcher
	// Leader waits for changes and notices within a short time if the store is restored,
	// on behalf of its failure domain.
	Leader
)

type (
	// Kind is the kind of a step.
	Kind uint8

	// Role is a node's part in following the store.
	Role uint8

	// Step is the next call to the store.
	Step struct {
		Kind Kind
		// After and HoldMillis are set for Wait: the revision, and how long the store may
		// hold the call. A hold of 0 asks for an answer at once.
		After      ident.Revision
		HoldMillis clock.Millis
	}

	// Outcome is what an answer or a failure changed.
	Outcome struct {
		// DelayMillis is the time to wait before the next step.
		DelayMillis clock.Millis
		// Lost reports the first failed call after an answer, and Regained the first
		// answer after failed calls.
		Lost, Regained bool
		// Restored reports that the store has lost writes since the answer before: it was
		// restored from an older copy.
		Restored bool
	}

	// Follower decides which calls a node makes to follow the newest release. Set Rand
	// before the first call. It is not safe for concurrent use.
	//
	// A wait is made only after a revision that is known to belong to the present era of
	// the store: one that a restored store has given out again would hide the releases
	// that were written up to it.
	Follower struct {
		Rand *rand.Rand

		// position is that of the last answer. A wait may be made after its revision only
		// if hasPosition is set.
		position    Position
		hasPosition bool
		// unconfirmed is set after a failed call, during which the store may have been
		// restored.
		unconfirmed bool
		// readDue is set if the newest release must be read whether or not the node waits
		// for changes.
		readDue bool
		// newest is the highest version that was read; it never decreases.
		newest ident.Version
		// delayMillis is the delay after the last answer.
		delayMillis clock.Millis
		// changedAt is the time of the last release that a wait returned; 0 if none did.
		changedAt clock.Millis
		// inBurst reports whether changes follow each other within burstMillis.
		inBurst bool
		// failing reports whether the last call failed, and backoff is the delay after it.
		failing bool
		backoff clock.Millis
	}
)

// Position returns the position of the last answer.
func (f *Follower) Position() Position {
	return f.position
}

// Newest returns the highest version that was read.
func (f *Follower) Newest() ident.Version {
	return f.newest
}

// RequireRead makes the next step a Read.
func (f *Follower) RequireRead() {
	f.readDue = true
}

// Step returns the next call of a node with a role.
func (f *Follower) Step(r Role) Step {
	switch {
	case f.readDue || f.inBurst:
		return Step{Kind: Read}
	case r == Reader:
		return Step{Kind: Idle}
	case !f.hasPosition || f.unconfirmed && f.position.Era == 0:
		return Step{Kind: Read}
	case f.unconfirmed:
		return Step{Kind: Wait, After: f.position.Revision}
	case r == Leader:
		return Step{Kind: Wait, After: f.position.Revision, HoldMillis: leaderIntervalMillis - f.delayMillis}
	}
	return Step{Kind: Wait, After: f.position.Revision, HoldMillis: holdMillis}
}

// ReadDone records the answer to a Read. It holds the state of the store as a whole, so
// waits may start after it.
func (f *Follower) ReadDone(a Answer) Outcome {
	out := f.answered(a.Position)
	f.hasPosition, f.unconfirmed, f.readDue = true, false, false
	if a.Release.Version > f.newest {
		out.DelayMillis = coalesceMillis
	} else {
		f.inBurst = false
	}
	f.newest = max(f.newest, a.Release.Version)
	f.delayMillis = out.DelayMillis
	return out
}

// WaitDone records the answer to a Wait. If the store was restored meanwhile, the answer
// may lack releases, and the newest one must be read.
func (f *Follower) WaitDone(now clock.Millis, a Answer) Outcome {
	before := f.position.Revision
	out := f.answered(a.Position)
	f.newest = max(f.newest, a.Release.Version)
	if out.Restored {
		return out
	}
	f.position.Revision = max(f.position.Revision, before)
	f.unconfirmed = false
	if a.Release.Version > 0 {
		f.inBurst, f.changedAt = f.changedAt > 0 && now-f.changedAt < burstMillis, now
		out.DelayMillis = coalesceMillis
	}
	f.delayMillis = out.DelayMillis
	return out
}

// RevisionUnknown records that the store does not have the changes after the revision of a
// Wait: it dropped them from its history, or lost them when it was restored.
func (f *Follower) RevisionUnknown(era ident.Era) Outcome {
	out := f.answered(Position{Era: era, Revision: f.position.Revision})
	f.hasPosition = false
	return out
}

// Failed records a failed call and returns an exponential backoff with jitter, so that
// nodes do not retry at the same time. era is that of the store's answer, or 0.
func (f *Follower) Failed(era ident.Era) Outcome {
	out := Outcome{Lost: !f.failing}
	if era != 0 && era != f.position.Era {
		f.hasPosition = false
	}
	f.failing, f.unconfirmed, f.readDue, f.inBurst = true, true, false, false
	f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
	out.DelayMillis = f.backoff * clock.Millis(0.5+f.Rand.Float64()/2)
	return out
}

// answered records the position of an answer. If the era has changed, the newest release
// must be read.
func (f *Follower) answered(p Position) Outcome {
	out := Outcome{Regained: f.failing, Restored: f.position.Era != 0 && p.Era != f.position.Era}
	f.failing, f.backoff = false, 0
	if out.Restored {
		f.hasPosition, f.readDue = false, true
	}
	f.position = p
	return out
}
