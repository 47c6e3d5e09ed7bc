package gate

import "time"

const (
	// paceWeight is the weight of the newest run in the mean of a kind.
	paceWeight = 0.1
	// defaultPace stands in for the run time of a kind that has not run yet.
	defaultPace = 100 * time.Millisecond
)

// pace returns the expected run time of a kind of request.
func (g *Gate) pace(kind string) time.Duration {
	seconds, ok := g.paces[kind]
	if !ok {
		return defaultPace
	}
	return time.Duration(seconds * float64(time.Second))
}

func (g *Gate) learn(kind string, took time.Duration) {
	old, ok := g.paces[kind]
	if !ok {
		g.paces[kind] = took.Seconds()
	} else {
		g.paces[kind] = old + paceWeight*(took.Seconds()-old)
	}
	if g.mean == 0 {
		g.mean = took.Seconds()
	}
	g.mean += paceWeight * (took.Seconds() - g.mean)
}
