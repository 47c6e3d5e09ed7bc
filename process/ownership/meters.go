package ownership

import (
	"github.com/rcrowley/go-metrics"
)

// meters are the metrics of a Runner.
type meters struct {
	// verdicts counts decisions by their Verdict.
	verdicts [Refused + 1]metrics.Counter
	// writes counts conditional writes by their Outcome.
	writes [Uncertain + 1]metrics.Counter
	// lost counts messages that could not be sent.
	lost metrics.Counter
}

func newMeters(registry metrics.Registry) *meters {
	m := &meters{lost: metrics.GetOrRegisterCounter("ownership.messages.lost", registry)}
	for v := range m.verdicts {
		m.verdicts[v] = metrics.GetOrRegisterCounter("ownership.claims."+Verdict(v).String(), registry)
	}
	for o := range m.writes {
		m.writes[o] = metrics.GetOrRegisterCounter("ownership.writes."+WriteOutcome(o).String(), registry)
	}
	return m
}

func (m *meters) count(v Verdict) {
	if int(v) < len(m.verdicts) {
		m.verdicts[v].Inc(1)
	}
}
