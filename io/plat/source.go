package plat

import (
	"context"

	"hickoryrail/core/canary"
	"hickoryrail/core/clock"
	"hickoryrail/core/feed"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/report"
)

type (
	// Source provides the operators' newest release. Errors are *result.Error. An answer
	// that comes with an error holds the era of the source, if it is known. One that comes
	// with ErrReleaseRefused holds the position, because the source has answered.
	Source interface {
		// Newest returns the newest release. Version 0 means that there is none yet.
		Newest(ctx context.Context) (feed.Answer, error)
		// Next waits up to hold for a release that was written after a revision. It
		// returns version 0 if none was, and ErrRevisionUnknown if the source does not
		// have the changes after the revision.
		Next(ctx context.Context, after ident.Revision, hold clock.Millis) (feed.Answer, error)
	}

	// Statuses reads and writes the status rows of rollouts. Errors are *result.Error.
	Statuses interface {
		// ReadStatus returns the row of a service.
		ReadStatus(ctx context.Context, service ident.ServiceName) (canary.Status, error)
		// WriteStatus writes the row of a service if its revision is that of s. If the
		// condition fails, it returns ErrConflict.
		WriteStatus(ctx context.Context, service ident.ServiceName, s canary.Status) error
	}

	// Departures keeps, for each node, the last departure of a target beside it. Errors are
	// *result.Error.
	Departures interface {
		// ReadDeparture returns the departure of a node's row and the revision of the row;
		// revision 0 means that there is no row.
		ReadDeparture(ctx context.Context, node ident.NodeID) (report.Departure, ident.Revision, error)
		// WriteDeparture writes the row of a node if its revision is ifRevision. If the
		// condition fails, it returns ErrConflict.
		WriteDeparture(ctx context.Context, node ident.NodeID, d report.Departure, ifRevision ident.Revision) error
	}

	// Directory is the list of nodes by which they discover each other. Errors are
	// *result.Error.
	Directory interface {
		// Register adds or replaces a node's entry and returns the era of the directory in
		// which it did, or 0 if that is not known.
		Register(ctx context.Context, s member.Seed) (ident.Era, error)
		// Nodes returns all entries, possibly with those of nodes that no longer
		// exist.
		Nodes(ctx context.Context) ([]member.Seed, error)
	}
)
