package balance

// utilisationScore is the share of the target's limit that would be in use with
// one more request.
func utilisationScore(c *Candidate) float64 {
	return c.utilisation()
}
