package balance

const (
	// hotUtilisation is the utilisation from which a candidate is hot. This has
	// nothing to do with the cold start of a target.
	hotUtilisation = 0.8
	// hotScoreBase is above any latency in seconds, so that a hot candidate
	// scores worse than any other.
	hotScoreBase = 1e6
)

// hotColdScore is the latency of a candidate that is not hot, and depends on the
// utilisation of one that is hot. A hot candidate never scores better than one
// that is not.
func hotColdScore(c *Candidate) float64 {
	utilisation := c.utilisation()
	if utilisation >= hotUtilisation {
		return hotScoreBase * (1 + utilisation)
	}
	return max(c.Latency, minLatency).Seconds()
}
