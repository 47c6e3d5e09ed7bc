package admission

import (
	"time"

	"verbenatrestle/process/admission/limit"
)

// Settings configures a Controller.
type Settings struct {
	// Limit is the name of the adaptive limit, one of limit.Names.
	Limit string
	// SlowFactor is the multiple of the usual latency above which an answer is
	// slow. Several slow answers in a row lower the limit to the cold limit.
	// Zero turns this off.
	SlowFactor float64
	// HangFactor is the multiple of the usual mean age of the requests in flight
	// above which the target may hang. Zero turns this off.
	HangFactor float64
	// MaxConnecting is how many connections may be opening at the same time.
	MaxConnecting int
}

// DefaultSettings suits targets that answer within milliseconds.
var DefaultSettings = Settings{Limit: limit.DefaultName, SlowFactor: 4, HangFactor: 3, MaxConnecting: 4}

const (
	// latencyWeight is the weight of one answer in the mean latency.
	latencyWeight = 0.1
	// reportTTL is how long a report of the target lowers limits.
	reportTTL = 3 * time.Second
	// brokenTTL is how long a request whose connection broke counts as in flight
	// at a crash, unless the target answers meanwhile. Without traffic a crash is
	// noticed only when the next process of the target announces itself.
	brokenTTL = 15 * time.Second
	// suspectHoldTime is how long other suspects are refused after the connection of
	// a suspect broke.
	suspectHoldTime = 2 * time.Second
	// maxBrokenRequests bounds the requests with broken connections that are kept.
	// The oldest are dropped first.
	maxBrokenRequests = 256
	// maxPastInstances is how many past instances of the target are kept in
	// order to ignore their late messages.
	maxPastInstances = 16
	// retryAfterUnavailable is the Retry-After time if the target is absent,
	// draining or out of service.
	retryAfterUnavailable = time.Second
	// minRetryAfter is the lowest Retry-After time of the other refusals that
	// are worth a retry.
	minRetryAfter = time.Millisecond
	// spareConnections is how many connections beyond the limit should be open.
	spareConnections = 2
)
