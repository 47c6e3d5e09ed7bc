package limit

// fixed always returns the maximum.
type fixed struct {
	bounded
}

func newFixed(b Bounds) Limit { return &fixed{newBounded(b)} }

// Name implements Limit.
func (*fixed) Name() string { return "fixed" }

// Observe implements Limit.
func (*fixed) Observe(Observation) {}
