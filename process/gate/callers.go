package gate

const (
	// minCalls is how many requests of a kind are needed to classify it.
	minCalls = 12
	// nestedCallerShare is the share of one service in the requests of a kind from
	// which on they are classified as nested calls. Requests of external callers
	// spread over the nodes of all services.
	nestedCallerShare = 0.6
	// maxKinds bounds the kinds of requests that are tracked.
	maxKinds = 256
	// decayAt is the number of requests of a kind at which its counts are halved,
	// so that older requests weigh less.
	decayAt = 4 * minCalls
)

// callerCounts counts the requests of each kind by the service whose node first
// received them. External callers send to the nodes of all services. A kind that
// comes mostly from one service is a nested call, which the targets of that
// service make while they run another request.
type callerCounts map[string]map[string]int

// observe counts a request and reports whether it is classified as a nested
// call.
func (c callerCounts) observe(kind, caller string) bool {
	counts := c[kind]
	if counts == nil {
		if len(c) >= maxKinds {
			clear(c)
		}
		counts = make(map[string]int)
		c[kind] = counts
	}
	counts[caller]++
	total := 0
	for _, count := range counts {
		total += count
	}
	nested := total >= minCalls && float64(counts[caller]) >= nestedCallerShare*float64(total)
	if total >= decayAt {
		for name := range counts {
			counts[name] /= 2
		}
	}
	return nested
}
