package gate

import "time"

const (
	// runTimeWeight is the weight of the latest run in the moving averages.
	runTimeWeight = 0.1
	// defaultRunTime is the assumed run time of a kind without any finished run.
	defaultRunTime = 100 * time.Millisecond
)

// expectedRunTime returns the mean run time of a kind of request.
func (g *Gate) expectedRunTime(kind string) time.Duration {
	seconds, ok := g.runTimes[kind]
	if !ok {
		return defaultRunTime
	}
	return time.Duration(seconds * float64(time.Second))
}

// recordRunTime updates the mean run time of the kind and that of all kinds,
// which are exponentially weighted moving averages.
func (g *Gate) recordRunTime(kind string, took time.Duration) {
	old, ok := g.runTimes[kind]
	if !ok {
		g.runTimes[kind] = took.Seconds()
	} else {
		g.runTimes[kind] = old + runTimeWeight*(took.Seconds()-old)
	}
	if g.meanRunTime == 0 {
		g.meanRunTime = took.Seconds()
	}
	g.meanRunTime += runTimeWeight * (took.Seconds() - g.meanRunTime)
}
