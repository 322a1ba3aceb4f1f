package plat

import (
	"context"

	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
)

type (
	// Source holds the operators' newest release. Errors are *result.Error.
	Source interface {
		// Newest reads the newest release, and the revision up to which the
		// source was read. A release of version 0 means that there is none yet.
		Newest(ctx context.Context) (model.Release, ident.Revision, error)
		// Next waits for a release that was written after a revision. It returns
		// version 0 if there was none for a while, and ErrForgotten if the source
		// no longer knows what came after the revision.
		Next(ctx context.Context, after ident.Revision) (model.Release, ident.Revision, error)
	}

	// Directory lists the nodes, so that they find each other. Errors are
	// *result.Error.
	Directory interface {
		// Enter adds or replaces a node's own entry.
		Enter(ctx context.Context, s member.Seed) error
		// Nodes returns all entries; some may be of nodes that are gone.
		Nodes(ctx context.Context) ([]member.Seed, error)
	}
)
