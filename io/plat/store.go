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
		// Value is JSON; empty if the row is absent.
		Value []byte
		// Revision grows with each write of the row; 0 means that the row is absent.
		Revision ident.Revision
	}

	// Store is the platform's table service and object store. Errors are
	// *result.Error: NotRun if the call certainly had no effect, MayHaveRun if
	// its answer was lost.
	Store interface {
		// ReadRow is a strong read. An absent row has Revision 0 and no error.
		ReadRow(ctx context.Context, key string) (Row, error)
		// ListRows returns the rows whose keys start with prefix, in order of key.
		ListRows(ctx context.Context, prefix string) ([]Row, error)
		// WriteRow writes the row if its revision is ifRevision, where 0 means
		// that it must be absent, and returns the new row. A nil value deletes
		// the row. A failed condition is ErrConflict.
		WriteRow(ctx context.Context, key string, value []byte, ifRevision ident.Revision) (Row, error)
		// PutObject stores an object; a second put of the same name replaces it.
		PutObject(ctx context.Context, name string, body []byte) error
		// GetObject returns an object or ErrNotFound.
		GetObject(ctx context.Context, name string) ([]byte, error)
	}
)

var (
	// ErrConflict reports a write whose condition failed; it had no effect.
	ErrConflict = errors.New("row has another revision")
	// ErrForgotten reports a revision that the platform's history no longer reaches.
	ErrForgotten = errors.New("history does not reach back to the revision")
	// ErrNotFound reports an object that does not exist.
	ErrNotFound = errors.New("object does not exist")
)
