package gate

const (
	// enoughCalls is how many requests of a kind tell whether targets make them.
	enoughCalls = 12
	// nestedShare is the share of one service in a kind's requests from which on
	// the kind is a call of targets: callers proper spread over all services.
	nestedShare = 0.6
	// maxKinds bounds the kinds whose callers are followed.
	maxKinds = 256
	// halveAt is the count at which a kind's past begins to weigh less.
	halveAt = 4 * enoughCalls
)

// callers counts the requests of each kind by the service beside which they
// began. Callers proper come beside the targets of all services. A kind that
// one service mostly asks for is a call that its targets make while they run
// another request.
type callers map[string]map[string]int

// nested counts a request and reports whether its kind is a call of targets.
func (c callers) nested(kind, caller string) bool {
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
	nested := total >= enoughCalls && float64(counts[caller]) >= nestedShare*float64(total)
	if total >= halveAt {
		for name := range counts {
			counts[name] /= 2
		}
	}
	return nested
}
