package quarantine

import "verbenatrestle/request"

// CrashID names one crash: a life of a target process can end once.
type CrashID struct {
	// Node is the node beside the target.
	Node string `json:"node"`
	// Instance is the life of the target process that ended.
	Instance string `json:"instance"`
}

// InFlightRequest is a request that was in flight at a target when it crashed.
type InFlightRequest struct {
	Fingerprint request.Fingerprint `json:"fingerprint"`
	// Suspect tells that the guard ran it as a suspect. It is no proof: the
	// crash that made it one is. It matters if the list has to be cut.
	Suspect bool `json:"suspect,omitempty"`
}

// Crash is the crash of a target, as nodes tell each other.
type Crash struct {
	ID CrashID `json:"id"`
	// AtMillis is the wall-clock time of the crash in Unix milliseconds.
	AtMillis int64             `json:"at_ms"`
	InFlight []InFlightRequest `json:"running"`
}

// Completion tells that a suspect completed.
type Completion struct {
	Fingerprint request.Fingerprint `json:"fingerprint"`
	// AtMillis is the wall-clock time of its end in Unix milliseconds.
	AtMillis int64 `json:"at_ms"`
}

// Message is what nodes tell each other. An empty message says nothing.
type Message struct {
	Crashes     []Crash      `json:"crashes,omitempty"`
	Completions []Completion `json:"clears,omitempty"`
}

// Empty reports whether the message says nothing.
func (m Message) Empty() bool {
	return len(m.Crashes) == 0 && len(m.Completions) == 0
}

// Verdict is what a node believes of a fingerprint.
type Verdict uint8

const (
	// Unsuspected requests run as usual.
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
