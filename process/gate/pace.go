package gate

import "time"

const (
	// runTimeWeight is the weight of the newest run in the mean of a kind.
	runTimeWeight = 0.1
	// defaultRunTime stands in for the run time of a kind that has not run yet.
	defaultRunTime = 100 * time.Millisecond
)

// expectedRunTime returns the expected run time of a kind of request.
func (g *Gate) expectedRunTime(kind string) time.Duration {
	seconds, ok := g.runTimes[kind]
	if !ok {
		return defaultRunTime
	}
	return time.Duration(seconds * float64(time.Second))
}

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
