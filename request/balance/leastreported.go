package balance

// leastReported chooses the candidate whose latest sample shows the fewest
// requests in flight, however old the sample is.
type leastReported struct{}

// Name implements Policy.
func (leastReported) Name() string { return "leastreported" }

// Choose implements Policy.
func (leastReported) Choose(c *PickInfo) int {
	n := len(c.Candidates)
	first := c.Rand.IntN(n)
	best := first
	for i := 1; i < n; i++ {
		next := (first + i) % n
		if c.Candidates[next].LastSample.InFlight < c.Candidates[best].LastSample.InFlight {
			best = next
		}
	}
	return best
}
