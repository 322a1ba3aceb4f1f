package node

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/feed"
	"hickoryrail/core/fresh"
	"hickoryrail/core/ident"
	"hickoryrail/io/logs"
	"hickoryrail/io/wire"
)

// TestPromptCallsAreBounded guards against a node that reads the store without a pause:
// before the first release there is nothing to prove, and while the newest release is one
// that was refused no answer renews the proof.
func TestPromptCallsAreBounded(t *testing.T) {
	is := is.New(t)
	manual := clock.NewManual(1e6)
	f := newFreshness(fresh.Config{BoundMillis: 5 * clock.Second}, manual, manual, logs.Discard{}, rand.New(rand.NewPCG(1, 2)))
	f.send = func(ident.NodeID, string, wire.Control) {}
	leader := feed.Step{Kind: feed.Wait, After: 1, HoldMillis: 1500}
	prompts := func() int {
		n := 0
		for range 100 { // 10 s
			manual.Advance(100)
			f.tick(61)
			if f.adapt(leader).Kind == feed.Read {
				n++
			}
		}
		return n
	}
	is.Equal(prompts(), 0) // no release yet
	is.True(!f.substitutes())
	f.setHeld(1)
	n := prompts()
	is.True(n > 0 && n <= 20) // a release without a proof
}
