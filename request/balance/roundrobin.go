package balance

// roundRobin chooses the candidates in turn.
type roundRobin struct{}

// Name implements Policy.
func (roundRobin) Name() string { return "roundrobin" }

// Choose implements Policy.
func (roundRobin) Choose(c *PickInfo) int {
	return int(c.PickCount % uint64(len(c.Candidates)))
}
