package version

import (
	"time"
)

// HistoryLimit bounds the number of changes that a document remembers. A
// change that is sent again later than that many changes is applied again.
const HistoryLimit = 256

// Source is the text of one template or organisation as an operator gave it.
type Source struct {
	// Name is the template's or organisation's name.
	Name string `json:"name"`
	// File is the name of the file that the text came from.
	File string `json:"file"`
	// Line is the line of the file at which Text begins, from 1.
	Line int `json:"line"`
	// Text is the YAML document.
	Text string `json:"text"`
}

// HistoryEntry records one accepted change.
type HistoryEntry struct {
	// Version is the version that the change made.
	Version uint64 `json:"version"`
	// OperationID names the change. A repeated change has the same one.
	OperationID string `json:"operation_id"`
	// At is when the change was accepted, by the accepting node's wall clock.
	At time.Time `json:"at"`
	// Actor is who made the change.
	Actor string `json:"actor"`
	// Digest identifies the content of the change.
	Digest string `json:"digest"`
	// Summary says what changed, in one line.
	Summary string `json:"summary"`
}

// Document is the whole configuration: the value of the platform's object
// "configuration".
type Document struct {
	// Format is the number of the form that the document is written in.
	Format int `json:"format"`
	// Version grows by one with each accepted change. Zero is the empty document.
	Version uint64 `json:"version"`
	// OperationID names the last change.
	OperationID string `json:"operation_id"`
	// AcceptedAt is when the last change was accepted.
	AcceptedAt time.Time `json:"accepted_at"`
	// AcceptedBy is who made the last change.
	AcceptedBy string `json:"accepted_by"`
	// Templates are the templates by name.
	Templates []Source `json:"templates"`
	// Organisations are the organisations by name.
	Organisations []Source `json:"organisations"`
	// DataCentresOut names the data centres that are out of service, sorted.
	DataCentresOut []string `json:"data_centres_out"`
	// TargetsOut names the nodes whose targets are out of service, sorted.
	TargetsOut []string `json:"targets_out"`
	// History records the latest changes, oldest first, at most HistoryLimit.
	History []HistoryEntry `json:"history"`
}

// FindOperation returns the history's record of an operation, if it has one.
func (d Document) FindOperation(operationID string) (HistoryEntry, bool) {
	for _, entry := range d.History {
		if entry.OperationID == operationID {
			return entry, true
		}
	}
	return HistoryEntry{}, false
}

// ChangesSince returns the changes after a version, oldest first, as far as the
// history reaches.
func (d Document) ChangesSince(version uint64) []HistoryEntry {
	for i, entry := range d.History {
		if entry.Version > version {
			return d.History[i:]
		}
	}
	return nil
}
