package gateway

import (
	"github.com/rcrowley/go-metrics"

	"verbenatrestle/process/journal"
)

// repeatedWrite reports the failures of a write to the store that is repeated until it
// succeeds. It is not safe for concurrent use.
type repeatedWrite struct {
	events *eventLog
	// event is the name of the event of a failure.
	event string
	// failures is the number of failures in a row.
	failures metrics.Gauge
}

// newRepeatedWrite returns the reporter of the writes of an object. The gauge of failures in a
// row has the name of the object.
func (n *Node) newRepeatedWrite(object, event string) *repeatedWrite {
	return &repeatedWrite{events: n.events, event: event, failures: metrics.GetOrRegisterGauge("store.failures-in-a-row."+object, n.registry)}
}

// failed reports a failure.
func (w *repeatedWrite) failed(err error) {
	w.failures.Update(w.failures.Value() + 1)
	w.events.log(journal.Change, w.event, "dependency", "store", "failures", w.failures.Value(), "err", err)
}

// succeeded ends the failures in a row.
func (w *repeatedWrite) succeeded() { w.failures.Update(0) }
