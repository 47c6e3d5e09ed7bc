package ownership

import (
	"github.com/rcrowley/go-metrics"
)

// counters are the metrics of a Runner.
type counters struct {
	// verdicts counts decisions by their Verdict.
	verdicts [Refused + 1]metrics.Counter
	// writes counts conditional writes by their WriteOutcome.
	writes [Uncertain + 1]metrics.Counter
	// messagesLost counts messages that could not be sent.
	messagesLost metrics.Counter
}

func newCounters(registry metrics.Registry) *counters {
	c := &counters{messagesLost: metrics.GetOrRegisterCounter("ownership.messages.lost", registry)}
	for v := range c.verdicts {
		c.verdicts[v] = metrics.GetOrRegisterCounter("ownership.claims."+Verdict(v).String(), registry)
	}
	for o := range c.writes {
		c.writes[o] = metrics.GetOrRegisterCounter("ownership.writes."+WriteOutcome(o).String(), registry)
	}
	return c
}

func (c *counters) countVerdict(v Verdict) {
	if int(v) < len(c.verdicts) {
		c.verdicts[v].Inc(1)
	}
}
