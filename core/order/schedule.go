package order

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// SchedulePrefix is the prefix of the keys of schedule rows.
const SchedulePrefix = "Schedule/"

type (
	// ScheduleRow is the value of the row Schedule/<EditID>. The external scheduler may
	// change ReleaseMillis at any time; a change after the edit was accepted has no
	// effect.
	ScheduleRow struct {
		// ReleaseMillis is the release time since the Unix epoch; a time in the past
		// means that the edit is due at once.
		ReleaseMillis clock.Millis
		// Object is the name of the object that contains the edit.
		Object string
		// Base is the version on which the edit is based.
		Base ident.Version
	}

	// Pending is an edit that waits for its release time.
	Pending struct {
		EditID ident.EditID
		// Revision is the revision of the schedule row.
		Revision ident.Revision
		ScheduleRow
	}
)

// ScheduleKey returns the key of an edit's schedule row.
func ScheduleKey(id ident.EditID) string {
	return SchedulePrefix + string(id)
}

// EncodeSchedule returns the row's value.
func EncodeSchedule(r ScheduleRow) []byte {
	return encode(r)
}

// DecodePending decodes a schedule row with its key. It accepts the fields in any order,
// because the external scheduler is another program.
func DecodePending(key string, value []byte, revision ident.Revision) (Pending, error) {
	id, ok := strings.CutPrefix(key, SchedulePrefix)
	if !ok || !ValidEditID(ident.EditID(id)) {
		return Pending{}, fmt.Errorf("schedule row has the malformed key %q", key)
	}
	// A missing time would decode as 0 and make the edit due at once, so it is required.
	fields, err := decode[struct {
		ReleaseMillis *clock.Millis
		Object        string
		Base          ident.Version
	}](value)
	if err != nil {
		return Pending{}, fmt.Errorf("decode %s: %w", key, err)
	}
	if fields.ReleaseMillis == nil {
		return Pending{}, fmt.Errorf("decode %s: ReleaseMillis is missing", key)
	}
	row := ScheduleRow{ReleaseMillis: *fields.ReleaseMillis, Object: fields.Object, Base: fields.Base}
	if row.Object != EditKey(ident.EditID(id)) {
		return Pending{}, fmt.Errorf("decode %s: object %q is not that of the edit", key, row.Object)
	}
	return Pending{EditID: ident.EditID(id), Revision: revision, ScheduleRow: row}, nil
}

// SortPending sorts edits in the order in which they are accepted: by time, then
// by edit id.
func SortPending(edits []Pending) {
	slices.SortFunc(edits, func(a, b Pending) int {
		return cmp.Or(cmp.Compare(a.ReleaseMillis, b.ReleaseMillis), cmp.Compare(a.EditID, b.EditID))
	})
}

// Due returns the edits whose release time has been reached, in the order in which they
// are accepted.
func Due(now clock.Millis, edits []Pending) []Pending {
	var due []Pending
	for _, e := range edits {
		if e.ReleaseMillis <= now {
			due = append(due, e)
		}
	}
	SortPending(due)
	return due
}
