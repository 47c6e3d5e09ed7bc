package balance

// random chooses every candidate with the same probability.
type random struct{}

// Name implements Policy.
func (random) Name() string { return "random" }

// Choose implements Policy.
func (random) Choose(c *PickInfo) int {
	return c.Rand.IntN(len(c.Candidates))
}
