package member

import (
	"testing"

	"github.com/matryer/is"
)

// TestUnlisted guards against a live node that stays out of the directory, and against
// entries of nodes that have ended.
func TestUnlisted(t *testing.T) {
	is := is.New(t)
	records := []Record{
		{Node: "listed", PeerAddress: "a", FailureDomain: "d"},
		{Node: "missing", PeerAddress: "b", FailureDomain: "d"},
		{Node: "moved", PeerAddress: "c", FailureDomain: "d", State: Suspect},
		{Node: "dead", PeerAddress: "e", FailureDomain: "d", State: Dead},
		{Node: "left", PeerAddress: "f", FailureDomain: "d", State: Left},
		{Node: "elsewhere", PeerAddress: "g", FailureDomain: "e"},
	}
	listed := []Seed{{Node: "listed", Address: "a"}, {Node: "moved", Address: "old"}, {Node: "stranger", Address: "x"}}
	is.Equal(Unlisted(records, listed, "d"), []Seed{{Node: "missing", Address: "b"}, {Node: "moved", Address: "c"}})
	is.Equal(len(Unlisted(records, nil, "other")), 0)
}
