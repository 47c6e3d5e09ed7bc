package quarantine

import (
	"slices"

	"verbenatrestle/request"
)

// CrashID identifies a crash. Each instance of a target process can crash only
// once.
type CrashID struct {
	// Node is the node beside the target.
	Node string `json:"node"`
	// Instance identifies the target process that crashed.
	Instance string `json:"instance"`
}

// InFlightRequest is a request that was in flight at a target when it crashed.
type InFlightRequest struct {
	Fingerprint request.Fingerprint `json:"fingerprint"`
	// Suspect is whether the request ran as a suspect. It doesn't affect verdicts,
	// which depend on crashes and completions only. It decides which requests are
	// kept if a crash has too many of them.
	Suspect bool `json:"suspect,omitempty"`
}

// Crash is the record of a target's crash that nodes exchange.
type Crash struct {
	ID CrashID `json:"id"`
	// AtMillis is the wall-clock time of the crash in Unix milliseconds.
	AtMillis int64 `json:"at_ms"`
	// InFlight is the requests that were in flight at the crash.
	InFlight []InFlightRequest `json:"running"`
}

// Completion is the record that a suspect completed without crashing its target.
type Completion struct {
	Fingerprint request.Fingerprint `json:"fingerprint"`
	// AtMillis is the wall-clock time of the completion in Unix milliseconds.
	AtMillis int64 `json:"at_ms"`
}

// Message carries crashes and completions between nodes.
type Message struct {
	Crashes     []Crash      `json:"crashes,omitempty"`
	Completions []Completion `json:"clears,omitempty"`
}

// Empty reports whether the message carries no records. It need not be sent then.
func (m Message) Empty() bool {
	return len(m.Crashes) == 0 && len(m.Completions) == 0
}

// Verdict is how a node treats requests with a fingerprint.
type Verdict uint8

const (
	// Unsuspected requests run without restrictions.
	Unsuspected Verdict = iota
	// Suspect requests run one at a time on each target.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	default:
		return "unsuspected"
	}
}

const (
	// maxPartInFlight and maxPartCompletions bound the records of one part that Split
	// returns, so that it fits into a datagram.
	maxPartInFlight    = 40
	maxPartCompletions = 40
)

// Split returns the records of the message in parts of less than 1,200 bytes each, if
// names have at most 128 bytes. A crash with many requests in flight is in several
// parts, which Table.Merge joins.
func (m Message) Split() []Message {
	var parts []Message
	for _, crash := range m.Crashes {
		for inFlight := range slices.Chunk(crash.InFlight, maxPartInFlight) {
			part := Crash{ID: crash.ID, AtMillis: crash.AtMillis, InFlight: inFlight}
			parts = append(parts, Message{Crashes: []Crash{part}})
		}
	}
	for completions := range slices.Chunk(m.Completions, maxPartCompletions) {
		parts = append(parts, Message{Completions: completions})
	}
	return parts
}
