package balance

// random chooses each candidate with the same probability.
type random struct{}

// Name implements Policy.
func (random) Name() string { return "random" }

// Choose implements Policy.
func (random) Choose(info *PickInfo) int {
	return info.Rand.IntN(len(info.Candidates))
}
