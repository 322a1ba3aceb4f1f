// Package plat provides access to the platform's table service and object store.
package plat

import (
	"context"
	"errors"

	"hickoryrail/core/ident"
)

type (
	// Row is one row of the table service.
	Row struct {
		Key string
		// Value is JSON; it is empty if the row is absent.
		Value []byte
		// Revision increases with each write of the row; 0 means that the row is absent.
		Revision ident.Revision
	}

	// Store is the platform's table service and object store. Errors are
	// *result.Error: NotRun if the call certainly had no effect, MayHaveRun if
	// its response was lost.
	Store interface {
		// ReadRow makes a strongly consistent read. For an absent row it returns
		// Revision 0 and no error.
		ReadRow(ctx context.Context, key string) (Row, error)
		// ListRows returns the rows whose keys start with prefix, in order of key.
		ListRows(ctx context.Context, prefix string) ([]Row, error)
		// WriteRow writes the row if its revision is ifRevision, where 0 means
		// that it must be absent, and returns the new row. A nil value deletes
		// the row. If the condition fails, it returns ErrConflict.
		WriteRow(ctx context.Context, key string, value []byte, ifRevision ident.Revision) (Row, error)
		// PutObject stores an object and replaces an existing one of the same name.
		PutObject(ctx context.Context, name string, body []byte) error
		// GetObject returns an object, or ErrNotFound if it does not exist.
		GetObject(ctx context.Context, name string) ([]byte, error)
	}
)

var (
	// ErrConflict reports a write whose condition failed; it had no effect.
	ErrConflict = errors.New("row has another revision")
	// ErrRevisionUnknown reports a revision that is older than the platform's history, or
	// that the platform lost when it was restored from an older copy.
	ErrRevisionUnknown = errors.New("history does not have the changes after the revision")
	// ErrReleaseRefused reports a release that the platform holds and that cannot be used.
	ErrReleaseRefused = errors.New("release is invalid")
	// ErrNotFound reports an object that does not exist.
	ErrNotFound = errors.New("object does not exist")
)
