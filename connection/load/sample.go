// Package load defines the load sample that the node beside a target attaches
// to each answer and refusal, and its form as an HTTP header.
package load

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// State is the state of a target as the node beside it sees it.
type State uint8

const (
	// Absent means that no target has announced itself.
	Absent State = iota
	// Cold means that the target bears only its cold limit.
	Cold
	// Warm means that the target bears its full limit.
	Warm
	// Draining means that the target takes no new work and finishes its own.
	Draining
	// Out means that an operator took the target or its data centre out.
	Out
	// Ejected means that the target fails and is left alone for a while.
	Ejected
	stateCount
)

var stateNames = [stateCount]string{"absent", "cold", "warm", "draining", "out", "ejected"}

// String returns the state's name.
func (s State) String() string {
	if s >= stateCount {
		return fmt.Sprintf("state(%d)", uint8(s))
	}
	return stateNames[s]
}

// Takes reports whether a target in this state takes new work.
func (s State) Takes() bool {
	return s == Cold || s == Warm
}

// Sample is the true load of a target at one moment.
type Sample struct {
	// InFlight counts the requests that the target is running.
	InFlight int
	// Limit is how many requests the target may run at once now.
	Limit int
	// Latency is the moving average of the target's service time.
	Latency time.Duration
	// State is the target's state.
	State State
}

// Header returns the sample as the value of request.HeaderLoad.
func (s Sample) Header() string {
	return fmt.Sprintf("%d/%d/%d/%d", s.InFlight, s.Limit, s.Latency.Microseconds(), s.State)
}

// Parse reads the value of request.HeaderLoad.
func Parse(header string) (Sample, error) {
	var s Sample
	var micros int64
	var state uint8
	var rest string
	n, _ := fmt.Sscanf(header, "%d/%d/%d/%d%s", &s.InFlight, &s.Limit, &micros, &state, &rest)
	if n != 4 || s.InFlight < 0 || s.Limit < 0 || micros < 0 || State(state) >= stateCount {
		return Sample{}, errors.Errorf("parse load header: %q is not in-flight/limit/microseconds/state", header)
	}
	s.Latency = time.Duration(micros) * time.Microsecond
	s.State = State(state)
	return s, nil
}

// ParseState returns the state of a name.
func ParseState(name string) (State, bool) {
	for s, known := range stateNames {
		if known == name {
			return State(s), true
		}
	}
	return Absent, false
}
