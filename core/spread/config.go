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
		// RoundMillis is the least interval between announcements, so that
		// changes coalesce. The first change after a quiet round goes out at
		// once. A low value favours convergence time, a high one control bytes.
		RoundMillis clock.Millis
		// PulseMillis is the least interval between announcements of pulses.
		PulseMillis clock.Millis
		// RepairMillis is the interval of announcements to one neighbour in turn,
		// which repair what was lost.
		RepairMillis clock.Millis
		// FetchMillis is the wait for a body before another neighbour is asked.
		FetchMillis clock.Millis
		// BusyMillis is the mean wait after a neighbour was busy, and after every
		// neighbour failed.
		BusyMillis clock.Millis
		// SilentMillis is the time for which a neighbour that sent no body is
		// asked last.
		SilentMillis clock.Millis
		// MaxSnapshots bounds the snapshots that are being served.
		MaxSnapshots int
		// SnapshotMillis is the time after which a snapshot counts as served if
		// the receiver did not confirm it.
		SnapshotMillis clock.Millis
		// Recent bounds the releases that are kept as bases of deltas.
		Recent int
		// MaxChanges bounds a delta; a larger one becomes a snapshot.
		MaxChanges int
		// NeedSourceMillis is the wait for peers before the source is asked for.
		NeedSourceMillis clock.Millis
		// SourceMillis is the time that a node without a release leaves to its own
		// source before it asks neighbours. 0 is for nodes that do not read the source
		// themselves.
		SourceMillis clock.Millis
		// MaxRegions bounds the regions whose pulses are kept.
		MaxRegions int
	}
)

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		RoundMillis:      100,
		PulseMillis:      1 * clock.Second,
		RepairMillis:     5 * clock.Second,
		FetchMillis:      1500,
		BusyMillis:       300,
		SilentMillis:     5 * clock.Second,
		MaxSnapshots:     16,
		SnapshotMillis:   2 * clock.Second,
		Recent:           16,
		MaxChanges:       1000,
		NeedSourceMillis: 10 * clock.Second,
		MaxRegions:       16,
	}
}
