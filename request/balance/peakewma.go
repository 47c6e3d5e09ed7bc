package balance

// peakEWMAScore is this node's own latency there, which rises at once and
// falls slowly, times the requests that this node and others run there.
func peakEWMAScore(c *Candidate) float64 {
	return (c.InFlight + 1) * max(c.PeakLatency, minLatency).Seconds()
}
