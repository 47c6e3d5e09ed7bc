// Package load defines the load sample that the node beside a target attaches
// to each answer and refusal, and its form as an HTTP header.
package load

import (
	"fmt"
	"strconv"
	"strings"
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
	// OutOfService means that an operator took the target or its data centre out.
	OutOfService
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

// AcceptsRequests reports whether a target in this state takes new work.
func (s State) AcceptsRequests() bool {
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

// headerSeparator stands between the fields of the header.
const headerSeparator = "/"

// HeaderValue returns the sample as the value of request.HeaderLoad.
func (s Sample) HeaderValue() string {
	const sizeHint = 24
	h := make([]byte, 0, sizeHint)
	h = strconv.AppendInt(h, int64(s.InFlight), 10)
	h = append(h, headerSeparator...)
	h = strconv.AppendInt(h, int64(s.Limit), 10)
	h = append(h, headerSeparator...)
	h = strconv.AppendInt(h, s.Latency.Microseconds(), 10)
	h = append(h, headerSeparator...)
	h = strconv.AppendUint(h, uint64(s.State), 10)
	return string(h)
}

// Parse reads the value of request.HeaderLoad.
func Parse(header string) (Sample, error) {
	inFlight, rest, ok1 := cutNumber(header)
	limit, rest, ok2 := cutNumber(rest)
	micros, state, ok3 := cutNumber(rest)
	number, err := strconv.ParseUint(state, 10, 8)
	if !ok1 || !ok2 || !ok3 || err != nil || State(number) >= stateCount {
		return Sample{}, errors.Errorf("parse load header: %q is not in-flight/limit/microseconds/state", header)
	}
	return Sample{
		InFlight: int(inFlight),
		Limit:    int(limit),
		Latency:  time.Duration(micros) * time.Microsecond,
		State:    State(number),
	}, nil
}

// cutNumber reads the number before the first separator, and returns the text
// after it.
func cutNumber(text string) (number int64, rest string, ok bool) {
	digits, rest, found := strings.Cut(text, headerSeparator)
	value, err := strconv.ParseUint(digits, 10, 31)
	return int64(value), rest, found && err == nil
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
