package plat

import (
	"context"

	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
)

type (
	// Source provides the operators' newest release. Errors are *result.Error.
	Source interface {
		// Newest returns the newest release and the revision up to which the source
		// was read. Version 0 means that there is no release yet.
		Newest(ctx context.Context) (model.Release, ident.Revision, error)
		// Next waits for a release that was written after a revision. It returns
		// version 0 if none was written for some time, and ErrRevisionTooOld if the
		// history of the source no longer reaches back to the revision.
		Next(ctx context.Context, after ident.Revision) (model.Release, ident.Revision, error)
	}

	// Directory is the list of nodes by which they discover each other. Errors are
	// *result.Error.
	Directory interface {
		// Register adds or replaces a node's own entry.
		Register(ctx context.Context, s member.Seed) error
		// Nodes returns all entries, possibly with those of nodes that no longer
		// exist.
		Nodes(ctx context.Context) ([]member.Seed, error)
	}
)
