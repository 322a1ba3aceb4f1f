package feed

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

// TestMain sets a fixed seed for the property tests unless a flag sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// newFollower returns a follower that has to read the newest release.
func newFollower() *Follower {
	f := &Follower{Rand: rand.New(rand.NewPCG(1, 2))}
	f.RequireRead()
	return f
}

// answer returns an answer with a release; version 0 means none.
func answer(era ident.Era, revision ident.Revision, v ident.Version) Answer {
	return Answer{Release: model.Release{Version: v}, Position: Position{Era: era, Revision: revision}}
}

// TestFailedCallIsConfirmed guards against a wait after a revision of an earlier era, and
// against a read of the whole release by each node after a short outage without a restore.
func TestFailedCallIsConfirmed(t *testing.T) {
	is := is.New(t)
	f := newFollower()
	is.Equal(f.Step(Watcher), Step{Kind: Read})
	f.ReadDone(answer(1, 9, 5))
	is.Equal(f.Step(Watcher), Step{Kind: Wait, After: 9, HoldMillis: holdMillis})
	is.True(f.Failed(0).Lost)
	is.Equal(f.Step(Watcher), Step{Kind: Wait, After: 9}) // the answer shows the era
	is.True(!f.Failed(0).Lost)
	out := f.WaitDone(10, answer(1, 9, 0))
	is.True(out.Regained && !out.Restored)
	is.Equal(f.Step(Watcher), Step{Kind: Wait, After: 9, HoldMillis: holdMillis})
	f.Failed(0)
	out = f.WaitDone(20, answer(2, 9, 0))
	is.True(out.Regained && out.Restored)
	is.Equal(f.Step(Watcher), Step{Kind: Read})
	f.ReadDone(answer(2, 9, 6))
	is.Equal(f.Step(Watcher), Step{Kind: Wait, After: 9, HoldMillis: holdMillis})
	f.Failed(3) // a refusal that shows the era
	is.Equal(f.Step(Watcher), Step{Kind: Read})
	is.Equal(f.Step(Reader), Step{Kind: Idle})
	f.ReadDone(answer(3, 2, 6))
	f.RevisionUnknown(3)
	is.Equal(f.Step(Watcher), Step{Kind: Read})
}

// TestLeaderNoticesRestore guards against a release that is read late because no call
// failed while the store was restored, so that nothing but the next answer shows it.
func TestLeaderNoticesRestore(t *testing.T) {
	is := is.New(t)
	f := newFollower()
	f.ReadDone(answer(1, 9, 5))
	is.Equal(f.Step(Leader), Step{Kind: Wait, After: 9, HoldMillis: leaderIntervalMillis - coalesceMillis})
	f.WaitDone(9, answer(1, 9, 0))
	is.Equal(f.Step(Leader), Step{Kind: Wait, After: 9, HoldMillis: leaderIntervalMillis})
	is.True(f.WaitDone(10, answer(2, 12, 0)).Restored)
	is.Equal(f.Step(Leader), Step{Kind: Read})
	f.ReadDone(answer(2, 12, 6))
	f.Failed(0)
	is.Equal(f.Step(Leader), Step{Kind: Wait, After: 12}) // no hold before it is confirmed
}

// TestStoreWithoutEra guards against a wait after a revision that may have been given out
// again by a store that does not show its era.
func TestStoreWithoutEra(t *testing.T) {
	is := is.New(t)
	f := newFollower()
	f.ReadDone(answer(0, 9, 5))
	is.Equal(f.Step(Watcher), Step{Kind: Wait, After: 9, HoldMillis: holdMillis})
	f.Failed(0)
	is.Equal(f.Step(Watcher), Step{Kind: Read})
}

// TestOlderCopyIsRead guards against a node that waits after the revision of the lost
// state when it has read the older copy.
func TestOlderCopyIsRead(t *testing.T) {
	is := is.New(t)
	f := newFollower()
	f.ReadDone(answer(1, 9, 5))
	f.Failed(0)
	f.WaitDone(10, answer(2, 4, 0))
	is.True(f.ReadDone(answer(2, 4, 3)).DelayMillis == 0) // an older release is no change
	is.Equal(f.Step(Watcher), Step{Kind: Wait, After: 4, HoldMillis: holdMillis})
	f.WaitDone(20, answer(2, 6, 5))
	is.Equal(f.Step(Watcher), Step{Kind: Wait, After: 6, HoldMillis: holdMillis})
}

// TestBurst guards against waits during a burst of changes, whose answers hold every
// release of the burst, and against a burst that never ends.
func TestBurst(t *testing.T) {
	is := is.New(t)
	f := newFollower()
	f.ReadDone(answer(1, 1, 1))
	is.Equal(f.WaitDone(10_000, answer(1, 2, 2)).DelayMillis, coalesceMillis)
	is.Equal(f.Step(Watcher).Kind, Wait)
	f.WaitDone(10_000+burstMillis-1, answer(1, 3, 3))
	is.Equal(f.Step(Watcher).Kind, Read)
	is.Equal(f.ReadDone(answer(1, 4, 4)).DelayMillis, coalesceMillis)
	is.Equal(f.Step(Watcher).Kind, Read)
	f.ReadDone(answer(1, 4, 4))
	is.Equal(f.Step(Watcher), Step{Kind: Wait, After: 4, HoldMillis: holdMillis})
}

// fakeStore is a store with one release that can be restored from an older copy.
type fakeStore struct {
	Position
	up bool
	// version is that of the release, and written the revision at which it was written.
	version ident.Version
	written ident.Revision
}

// write counts a transaction of another writer.
func (s *fakeStore) write() { s.Revision++ }

// publish writes a newer release.
func (s *fakeStore) publish() {
	s.write()
	s.version, s.written = s.version+1, s.Revision
}

// restore goes back by up to lost transactions. The operators then write their release
// again.
func (s *fakeStore) restore(lost int) {
	s.Era++
	s.Revision -= min(s.Revision-1, ident.Revision(lost))
	if s.written > s.Revision {
		s.write()
		s.written = s.Revision
	}
}

// play makes the follower's next call at a time. It returns true if the store holds the
// call, which then has no answer yet.
func (s *fakeStore) play(f *Follower, now clock.Millis) bool {
	step := f.Step(Watcher)
	switch {
	case !s.up:
		f.Failed(0)
	case step.Kind == Read:
		f.ReadDone(Answer{Release: model.Release{Version: s.version}, Position: s.Position})
	case step.After > s.Revision:
		f.RevisionUnknown(s.Era)
	case s.written > step.After:
		f.WaitDone(now, Answer{Release: model.Release{Version: s.version}, Position: s.Position})
	case step.HoldMillis == 0:
		f.WaitDone(now, Answer{Position: s.Position})
	default:
		return true
	}
	return false
}

// TestFollowsRestoredStore guards against a release that is not read because the store,
// restored from an older copy, gives out revisions again.
func TestFollowsRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStore{Position: Position{Era: 1, Revision: 1}, up: true, version: 1, written: 1}
		f := newFollower()
		now := clock.Millis(1000)
		held := s.play(f, now)
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			now += clock.Millis(rapid.IntRange(1, 3000).Draw(t, "gap"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				s.publish()
			case 1:
				s.write()
			case 2:
				// A call fails during an outage, with or without a restore.
				s.up = false
				if held {
					f.Failed(0)
				}
				held = s.play(f, now)
				if rapid.Bool().Draw(t, "restored") {
					s.restore(rapid.IntRange(0, 9).Draw(t, "lost"))
				}
				s.up = true
				for range rapid.IntRange(0, 9).Draw(t, "writes before the next call") {
					if rapid.Bool().Draw(t, "of the operators") {
						s.publish()
					} else {
						s.write()
					}
				}
			case 3:
				if held && s.written <= f.position.Revision && s.Era == f.position.Era {
					f.WaitDone(now, Answer{Position: s.Position}) // the hold is over
					held = false
				}
			case 4:
			}
			if held && s.written > f.position.Revision {
				held = false // the store answers the held call
				f.WaitDone(now, Answer{Release: model.Release{Version: s.version}, Position: s.Position})
			}
			for i := 0; !held; i++ {
				if i > 8 {
					t.Fatalf("no wait after %d calls", i)
				}
				held = s.play(f, now)
			}
			if f.newest != s.version {
				t.Fatalf("the newest release is %d, and the node waits with %d after revision %d of era %d",
					s.version, f.newest, f.position.Revision, f.position.Era)
			}
		}
	})
}
