package balance

// twoChoices is the power of two choices: it draws two candidates at random and
// chooses the one whose latest sample reports fewer requests in flight, however
// old the sample is.
type twoChoices struct{}

// Name implements Policy.
func (twoChoices) Name() string { return "twochoices" }

// Choose implements Policy.
func (twoChoices) Choose(info *PickInfo) int {
	n := len(info.Candidates)
	a := info.Rand.IntN(n)
	if n == 1 {
		return a
	}
	b := (a + 1 + info.Rand.IntN(n-1)) % n
	if info.Candidates[b].LastSample.InFlight < info.Candidates[a].LastSample.InFlight {
		return b
	}
	return a
}
