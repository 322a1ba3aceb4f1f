package spread

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

type (
	// Neighbour is a node to which releases are announced.
	Neighbour struct {
		Node    ident.NodeID
		Address string
	}

	// Config holds the settings of a node.
	Config struct {
		// RoundMillis is the minimum interval between announcements of releases, which
		// batches changes. The first change after a round without changes is announced
		// at once. A low value shortens convergence; a high one saves control traffic.
		RoundMillis clock.Millis
		// HeartbeatMillis is the minimum interval between announcements of heartbeats.
		HeartbeatMillis clock.Millis
		// RepairMillis is the mean interval between periodic announcements, each to the
		// next neighbour in turn. They make up for lost messages.
		RepairMillis clock.Millis
		// FetchTimeoutMillis is the time to wait for a body before the fetch is repeated
		// with another neighbour.
		FetchTimeoutMillis clock.Millis
		// BusyBackoffMillis is the mean time for which no body is fetched from a
		// neighbour that answered Busy.
		BusyBackoffMillis clock.Millis
		// SilentBackoffMillis is the mean time for which no body is fetched from a
		// neighbour that sent none in time or sent an invalid one.
		SilentBackoffMillis clock.Millis
		// MaxSnapshots bounds the snapshot transfers that a node serves at a time.
		MaxSnapshots int
		// SnapshotTimeoutMillis is the time after which a snapshot transfer counts as
		// finished although the receiver did not confirm it.
		SnapshotTimeoutMillis clock.Millis
		// MaxRecent bounds the earlier releases that are kept as bases of deltas.
		MaxRecent int
		// MaxChanges bounds the changes of a delta; beyond it a snapshot is sent.
		MaxChanges int
		// NeedSourceDelayMillis is the time that a node waits for its peers to provide a
		// release before it reads the source; the node adds jitter.
		NeedSourceDelayMillis clock.Millis
		// LagMillis is the time for which a node may know of a newer release than its own
		// without getting one from its neighbours, before it reads the source; the node adds
		// jitter. 0 is for nodes that do not read the source themselves.
		LagMillis clock.Millis
		// SourceTimeoutMillis is the time that a node without a release waits for its own
		// read of the source before it fetches from neighbours. 0 is for nodes that do not
		// read the source themselves.
		SourceTimeoutMillis clock.Millis
		// MaxRegions bounds the regions whose heartbeats are kept.
		MaxRegions int
	}
)

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		RoundMillis:           100,
		HeartbeatMillis:       1 * clock.Second,
		RepairMillis:          5 * clock.Second,
		FetchTimeoutMillis:    1500,
		BusyBackoffMillis:     300,
		SilentBackoffMillis:   5 * clock.Second,
		MaxSnapshots:          16,
		SnapshotTimeoutMillis: 2 * clock.Second,
		MaxRecent:             16,
		MaxChanges:            1000,
		NeedSourceDelayMillis: 10 * clock.Second,
		MaxRegions:            16,
	}
}
