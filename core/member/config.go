package member

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

type (
	// Seed is a node that others contact to join the overlay.
	Seed struct {
		Node    ident.NodeID
		Address string
	}

	// Config holds the settings of a table.
	Config struct {
		// Seeds may include the node itself.
		Seeds []Seed
		// ProbeMillis is the interval between probes of one neighbour.
		ProbeMillis clock.Millis
		// TimeoutMillis is the wait for a direct answer to a probe, and
		// IndirectMillis the further wait for an indirect one.
		TimeoutMillis  clock.Millis
		IndirectMillis clock.Millis
		// SuspectMaxMillis is the time from Suspect to Dead with one observer,
		// and SuspectMinMillis with the largest possible number of observers.
		// The minimum leaves a suspected node time to receive the suspicion and
		// refute it.
		SuspectMinMillis clock.Millis
		SuspectMaxMillis clock.Millis
		// DeadMillis is the time that a dead record is kept, so that late
		// messages do not resurrect it.
		DeadMillis clock.Millis
		// RetryMillis is the interval between attempts to contact a dead member
		// and a seed.
		RetryMillis clock.Millis
		// JoinMillis is the interval between attempts of a node without members
		// to contact a seed.
		JoinMillis clock.Millis
		// SyncMillis is the minimum interval between the syncs that a node starts.
		SyncMillis clock.Millis
		// PauseMillis is the shortest gap between two ticks that a node treats as a
		// pause of its process. It is well above the interval of ticks.
		PauseMillis clock.Millis
		// PiggybackBytes bounds the updates in a message, so that a probe fits
		// into one packet.
		PiggybackBytes int
		// SyncBytes bounds the updates of a SyncReply.
		SyncBytes int
		// SyncReplies bounds the syncs that a node answers per second.
		SyncReplies int
		// MaxMembers bounds the table.
		MaxMembers int
	}
)

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		ProbeMillis:      1 * clock.Second,
		TimeoutMillis:    500,
		IndirectMillis:   1 * clock.Second,
		SuspectMinMillis: 3 * clock.Second,
		SuspectMaxMillis: 6 * clock.Second,
		DeadMillis:       10 * clock.Minute,
		RetryMillis:      5 * clock.Second,
		JoinMillis:       1 * clock.Second,
		SyncMillis:       5 * clock.Second,
		PauseMillis:      700,
		PiggybackBytes:   900,
		SyncBytes:        128 << 10,
		SyncReplies:      8,
		MaxMembers:       4096,
	}
}
