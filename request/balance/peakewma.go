package balance

// peakEWMAScore is the peak latency times the estimated number of requests in
// flight, as in the peak EWMA algorithm. The number of requests includes those of
// other nodes and the new one.
func peakEWMAScore(c *Candidate) float64 {
	return (c.InFlight + 1) * max(c.PeakLatency, minLatency).Seconds()
}
