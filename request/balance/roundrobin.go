package balance

// roundRobin chooses the candidates in turn.
type roundRobin struct{}

// Name implements Policy.
func (roundRobin) Name() string { return "roundrobin" }

// Choose implements Policy.
func (roundRobin) Choose(info *PickInfo) int {
	return int(info.PickCount % uint64(len(info.Candidates)))
}
