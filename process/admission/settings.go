package admission

import (
	"time"

	"verbenatrestle/process/admission/limit"
)

// Settings of a Guard.
type Settings struct {
	// Limit is the name of the adaptive limit.
	Limit string
	// SlowFactor is how many times the usual latency means that the target
	// has turned cold. Zero turns this off.
	SlowFactor float64
	// HangFactor is how many times the usual mean age of what runs means that
	// the target has suddenly become slow. Zero turns this off.
	HangFactor float64
	// MaxConnecting is how many connections may be opening at the same time.
	MaxConnecting int
}

// DefaultSettings suits targets whose service takes milliseconds.
var DefaultSettings = Settings{Limit: limit.Default, SlowFactor: 4, HangFactor: 3, MaxConnecting: 4}

const (
	// latencyWeight is the weight of one answer in the moving average.
	latencyWeight = 0.1
	// reportTTL is how long the target's own report lowers limits.
	reportTTL = 3 * time.Second
	// brokenTTL is how long after a connection broke its request counts as
	// in flight at a crash.
	brokenTTL = 2 * time.Second
	// maxPastInstances is how many former lives of the target are remembered, so
	// that late messages of them are ignored.
	maxPastInstances = 16
	// retryAfterUnavailable is what a caller is told of a target that leaves, is
	// out, or is gone.
	retryAfterUnavailable = time.Second
	// minRetryAfter is the shortest time that a caller is told to wait.
	minRetryAfter = time.Millisecond
	// spareConnections is how many open connections are wanted beyond the limit.
	spareConnections = 2
)
