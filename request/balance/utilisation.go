package balance

// utilisationScore is the share of the target's limit that is in use.
func utilisationScore(c *Candidate) float64 {
	return c.utilisation()
}
