package order

import (
	"fmt"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

const (
	// Scheduled means that the edit has a release time that has not been reached.
	Scheduled State = "Scheduled"
	// Released means that the edit was accepted and has a version.
	Released State = "Accepted"
	// Refused means that the edit was refused and had no effect.
	Refused State = "Refused"
)

const (
	// editPrefix is the prefix of the keys of edit rows and of the names of edit
	// objects.
	editPrefix = "Edit/"
	// historyPrefix is the prefix of the keys of history rows.
	historyPrefix = "History/"
	// maxIDBytes bounds an edit id.
	maxIDBytes = 64
)

type (
	// State is the state of an edit, as stored in its row.
	State string

	// Edit is a proposal for a complete new configuration.
	Edit struct {
		// ID is chosen at random by the submitter and makes the submission
		// idempotent: submitting the same ID again returns the first outcome.
		ID ident.EditID
		// Base is the version on which the edit is based; 0 is the empty
		// configuration.
		Base ident.Version
		// Operator identifies who submitted the edit.
		Operator      string
		Configuration model.Configuration
	}

	// EditRow is the value of the row Edit/<EditID>.
	EditRow struct {
		State State
		// Version is above 0 exactly if State is Released.
		Version  ident.Version
		Base     ident.Version
		Operator string
		// Clashes are the fields of a refused edit that conflict with the releases since
		// its base, as model.Merge returns them.
		Clashes []string
		// Reason is the text that explains why the edit was refused.
		Reason string
	}

	// History is the value of the row History/<Version>. If another submitter
	// recorded the row, Operator is empty and AcceptedMillis is 0.
	History struct {
		Version        ident.Version
		Digest         ident.Digest
		EditID         ident.EditID
		Object         string
		Operator       string
		AcceptedMillis clock.Millis
	}
)

// EditKey returns the key of an edit's row, which is also the name of the object
// that holds a scheduled edit.
func EditKey(id ident.EditID) string {
	return editPrefix + string(id)
}

// HistoryKey returns the key of a release's history row.
func HistoryKey(v ident.Version) string {
	return fmt.Sprintf("%s%d", historyPrefix, v)
}

// ValidEditID reports whether id is 1 to 64 letters, digits, '-', '_' or '.'.
func ValidEditID(id ident.EditID) bool {
	for _, c := range []byte(id) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return len(id) >= 1 && len(id) <= maxIDBytes
}

// EncodeEdit returns the object of a scheduled edit.
func EncodeEdit(e Edit) []byte {
	return encode(e)
}

// DecodeEdit decodes the object of a scheduled edit.
func DecodeEdit(body []byte) (Edit, error) {
	e, err := decode[Edit](body)
	if err != nil {
		return Edit{}, fmt.Errorf("decode edit: %w", err)
	}
	if !ValidEditID(e.ID) {
		return Edit{}, fmt.Errorf("decode edit: malformed id %q", e.ID)
	}
	return e, nil
}

// EncodeEditRow returns the row's value.
func EncodeEditRow(r EditRow) []byte {
	return encode(r)
}

// DecodeEditRow decodes the row's value.
func DecodeEditRow(value []byte) (EditRow, error) {
	r, err := decode[EditRow](value)
	if err != nil {
		return EditRow{}, fmt.Errorf("decode edit row: %w", err)
	}
	if !slices.Contains([]State{Scheduled, Released, Refused}, r.State) {
		return EditRow{}, fmt.Errorf("decode edit row: unknown state %q", r.State)
	}
	if (r.State == Released) != (r.Version > 0) {
		return EditRow{}, fmt.Errorf("decode edit row: state %s with version %d", r.State, r.Version)
	}
	return r, nil
}

// HistoryOf returns the history row of the release that a head names, without Operator
// and AcceptedMillis.
func HistoryOf(h Head) History {
	return History{Version: h.Version, Digest: h.Digest, EditID: h.EditID, Object: h.Object}
}

// EncodeHistory returns the row's value.
func EncodeHistory(h History) []byte {
	return encode(h)
}

// DecodeHistory decodes the row's value.
func DecodeHistory(value []byte) (History, error) {
	h, err := decode[History](value)
	if err != nil {
		return History{}, fmt.Errorf("decode history row: %w", err)
	}
	if h.Version == 0 || h.Object != ObjectName(h.Version, h.Digest) || !ValidEditID(h.EditID) {
		return History{}, fmt.Errorf("decode history row: version %d with object %q", h.Version, h.Object)
	}
	return h, nil
}
