package version

import (
	"time"
)

// HistoryLimit is the largest number of entries in Document.History. A change
// that is resent after that many newer changes is no longer recognised as a
// duplicate, and is applied again.
const HistoryLimit = 256

// Source is the YAML text of one template or organisation, as an operator
// submitted it.
type Source struct {
	// Name is the name of the template or organisation.
	Name string `json:"name"`
	// File is the name of the file that contained the text, for messages.
	File string `json:"file"`
	// Line is the line of File at which Text begins, counted from 1.
	Line int `json:"line"`
	// Text is a single YAML document.
	Text string `json:"text"`
}

// HistoryEntry records one accepted change.
type HistoryEntry struct {
	// Version is the document version that the change created.
	Version uint64 `json:"version"`
	// OperationID identifies the change. A resent change has the same ID.
	OperationID string `json:"operation_id"`
	// At is the time at which the change was accepted, by the wall clock of the
	// accepting node.
	At time.Time `json:"at"`
	// Actor identifies the operator who made the change.
	Actor string `json:"actor"`
	// Digest is Change.Digest of the change.
	Digest string `json:"digest"`
	// Summary describes the differences in one line, truncated if it is long.
	Summary string `json:"summary"`
}

// Document is the whole configuration. Its encoded form is the value of the
// object "configuration" of the platform.
type Document struct {
	// Format is the number of the encoding format. Encode sets it.
	Format int `json:"format"`
	// Version is incremented by one with each accepted change. The empty
	// document has version 0.
	Version uint64 `json:"version"`
	// OperationID identifies the latest change.
	OperationID string `json:"operation_id"`
	// AcceptedAt is the time at which the latest change was accepted, by the
	// wall clock of the accepting node.
	AcceptedAt time.Time `json:"accepted_at"`
	// AcceptedBy identifies the operator who made the latest change.
	AcceptedBy string `json:"accepted_by"`
	// Templates are the templates, sorted by name.
	Templates []Source `json:"templates"`
	// Organisations are the organisations, sorted by name.
	Organisations []Source `json:"organisations"`
	// DataCentresOut lists the data centres that are out of service, sorted.
	DataCentresOut []string `json:"data_centres_out"`
	// TargetsOut lists the nodes whose targets are out of service, sorted.
	TargetsOut []string `json:"targets_out"`
	// History lists the latest changes, oldest first, at most HistoryLimit.
	History []HistoryEntry `json:"history"`
}

// FindOperation returns the history entry of an operation. It returns false if
// the operation was not applied or its entry is no longer in the history.
func (d Document) FindOperation(operationID string) (HistoryEntry, bool) {
	for _, entry := range d.History {
		if entry.OperationID == operationID {
			return entry, true
		}
	}
	return HistoryEntry{}, false
}

// ChangesSince returns the history entries of all versions after the given one,
// oldest first. Entries that are no longer in the history are left out. The
// result shares memory with d.History.
func (d Document) ChangesSince(version uint64) []HistoryEntry {
	for i, entry := range d.History {
		if entry.Version > version {
			return d.History[i:]
		}
	}
	return nil
}
