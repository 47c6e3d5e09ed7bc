package balance

import "time"

// minLatency is the lowest latency used in scores. It also applies to latencies
// that are unknown, so that the utilisation decides.
const minLatency = 100 * time.Microsecond

// expectedWaitScore is the expected service time in seconds if a target at its
// limit takes its estimated latency: the utilisation times the latency.
func expectedWaitScore(c *Candidate) float64 {
	return c.utilisation() * max(c.Latency, minLatency).Seconds()
}
