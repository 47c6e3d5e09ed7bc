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
var DefaultSettings = Settings{Limit: limit.DefaultName, SlowFactor: 4, HangFactor: 3, MaxConnecting: 4}

const (
	// latencyShare is the weight of one answer in the moving average.
	latencyShare = 0.1
	// reportLife is how long the target's own report lowers limits.
	reportLife = 3 * time.Second
	// brokenLife is how long after a connection broke its request counts as
	// in flight at a crash.
	brokenLife = 2 * time.Second
	// keptInstances is how many former lives of the target are remembered, so
	// that late messages of them are ignored.
	keptInstances = 16
	// retryWhenLeaving is what a caller is told of a target that leaves, is
	// out, or is gone.
	retryWhenLeaving = time.Second
	// leastRetry is the shortest time that a caller is told to wait.
	leastRetry = time.Millisecond
	// spareConnections is how many open connections are wanted beyond the limit.
	spareConnections = 2
)
