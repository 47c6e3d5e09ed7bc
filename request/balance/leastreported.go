package balance

// leastReported chooses the candidate whose latest sample reports the fewest
// requests in flight, however old the sample is. Ties are broken at random.
type leastReported struct{}

// Name implements Policy.
func (leastReported) Name() string { return "leastreported" }

// Choose implements Policy.
func (leastReported) Choose(info *PickInfo) int {
	n := len(info.Candidates)
	first := info.Rand.IntN(n)
	best := first
	for i := 1; i < n; i++ {
		next := (first + i) % n
		if info.Candidates[next].LastSample.InFlight < info.Candidates[best].LastSample.InFlight {
			best = next
		}
	}
	return best
}
