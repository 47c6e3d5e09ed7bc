package balance

// twoChoices draws two candidates and takes the one whose latest sample shows
// fewer requests in flight, however old the sample is.
type twoChoices struct{}

// Name implements Policy.
func (twoChoices) Name() string { return "twochoices" }

// Choose implements Policy.
func (twoChoices) Choose(c *PickInfo) int {
	n := len(c.Candidates)
	a := c.Rand.IntN(n)
	if n == 1 {
		return a
	}
	b := (a + 1 + c.Rand.IntN(n-1)) % n
	if c.Candidates[b].LastSample.InFlight < c.Candidates[a].LastSample.InFlight {
		return b
	}
	return a
}
