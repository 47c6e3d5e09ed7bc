// Package load defines the load sample that a node attaches to each response and
// refusal of its local target, and the encoding of the sample in an HTTP header.
package load

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// State is the state of a target as observed by its local node. The header
// carries the state's number, so the numbers must not change.
type State uint8

const (
	// Absent means that no target has announced itself to the node.
	Absent State = iota
	// Cold means that the target is in its cold start and accepts only the cold
	// limit of concurrent requests.
	Cold
	// Warm means that the target accepts its full limit of concurrent requests.
	Warm
	// Draining means that the target accepts no new requests and finishes those
	// in flight.
	Draining
	// OutOfService means that an operator took the target or its data centre out
	// of service.
	OutOfService
	// Ejected means that the target is in its ejection period after failures.
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

// AcceptsRequests reports whether a target in this state accepts new requests.
func (s State) AcceptsRequests() bool {
	return s == Cold || s == Warm
}

// Sample is the load of a target at one moment, as measured by its local node,
// through which all of its requests pass.
type Sample struct {
	// InFlight is the number of requests that the target is processing.
	InFlight int
	// Limit is the number of requests that the target may currently process
	// concurrently.
	Limit int
	// Latency is the moving average of the target's response times, or the mean
	// age of the requests in flight if that is higher.
	Latency time.Duration
	// State is the target's state.
	State State
}

// headerSeparator separates the fields of the header value.
const headerSeparator = "/"

// HeaderValue returns the sample as the value of request.HeaderLoad:
// in-flight/limit/latency in microseconds/number of the state.
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

// Parse parses a value of request.HeaderLoad. The latency of the returned sample
// has a resolution of one microsecond.
func Parse(header string) (Sample, error) {
	inFlight, rest, inFlightOK := cutNumber(header)
	limit, rest, limitOK := cutNumber(rest)
	micros, stateText, microsOK := cutNumber(rest)
	state, err := strconv.ParseUint(stateText, 10, 8)
	if !inFlightOK || !limitOK || !microsOK || err != nil || State(state) >= stateCount {
		return Sample{}, errors.Errorf("parse load header: %q is not in-flight/limit/microseconds/state", header)
	}
	return Sample{
		InFlight: int(inFlight),
		Limit:    int(limit),
		Latency:  time.Duration(micros) * time.Microsecond,
		State:    State(state),
	}, nil
}

// cutNumber parses the number before the first separator, and returns it with the
// text after the separator. It fails on numbers of more than 31 bits.
func cutNumber(text string) (number int64, rest string, ok bool) {
	digits, rest, found := strings.Cut(text, headerSeparator)
	value, err := strconv.ParseUint(digits, 10, 31)
	return int64(value), rest, found && err == nil
}

// ParseState returns the state with the given name, or false if there is none.
func ParseState(name string) (State, bool) {
	for s, known := range stateNames {
		if known == name {
			return State(s), true
		}
	}
	return Absent, false
}
