package balance

import "time"

// minLatency stands for a latency that isn't known yet, so that the
// utilisation decides.
const minLatency = 100 * time.Microsecond

// expectedWaitScore is the time in seconds that a request would take if the
// target's work at its limit took its latency: utilisation times latency.
func expectedWaitScore(c *Candidate) float64 {
	return c.utilisation() * max(c.Latency, minLatency).Seconds()
}
