package balance

const (
	// hotUtilisation is the utilisation from which a candidate is hot.
	hotUtilisation = 0.8
	// hotScoreBase puts every hot candidate behind every other. It is above
	// any latency in seconds.
	hotScoreBase = 1e6
)

// hotColdScore ranks by latency while candidates are not hot, and by
// utilisation once they are: a hot candidate never beats one that isn't.
func hotColdScore(c *Candidate) float64 {
	utilisation := c.utilisation()
	if utilisation >= hotUtilisation {
		return hotScoreBase * (1 + utilisation)
	}
	return max(c.Latency, minLatency).Seconds()
}
