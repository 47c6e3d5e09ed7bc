package gate

const (
	// minCalls is how many requests of a kind tell whether targets make them.
	minCalls = 12
	// nestedCallerShare is the share of one service in a kind's requests from which on
	// the kind is a call of targets: callers proper spread over all services.
	nestedCallerShare = 0.6
	// maxKinds bounds the kinds whose callers are followed.
	maxKinds = 256
	// decayAt is the count at which a kind's past begins to weigh less.
	decayAt = 4 * minCalls
)

// callerCounts counts the requests of each kind by the service beside which they
// began. Callers proper come beside the targets of all services. A kind that
// one service mostly asks for is a call that its targets make while they run
// another request.
type callerCounts map[string]map[string]int

// observe counts a request and reports whether its kind is a call of targets.
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
