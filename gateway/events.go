package gateway

import (
	"net/http"
	"time"

	"verbenatrestle/connection/pipeline"
	"verbenatrestle/process/fleet"
	"verbenatrestle/process/gate"
	"verbenatrestle/process/journal"
)

// logRates bound the log. A node's share of the fleet's traffic is some twenty
// requests a second, so failures are kept whole but in a storm.
var logRates = journal.Rates{Change: 50, Failure: 40, Routine: 5}

// eventLog writes the node's log: one line for each decision that touches a
// request or changes what the node believes. All events and their fields are
// defined here.
type eventLog struct {
	journal *journal.Journal
	metrics *nodeMetrics
}

// log writes a line of an event that only one place knows.
func (e *eventLog) log(class journal.Class, event string, pairs ...any) {
	e.journal.Log(class, event, pairs...)
}

// requestEnded tells the end of a caller's request and what decided it.
func (e *eventLog) requestEnded(d *dispatch, r *attemptResult, now time.Time) {
	took := now.Sub(d.started)
	status := 0
	if r.answer != nil {
		status = r.answer.Status
	}
	late := took > d.request.objective
	e.metrics.requestEnded(d, r, took, late)
	class := journal.Routine
	if late || status == 0 || status >= http.StatusInternalServerError {
		class = journal.Failure
	}
	pairs := []any{
		"request", d.request.admission.ID, "route", d.rule.Name, "config", d.config.number(), "service", d.request.service,
		"status", status, "took_ms", took.Milliseconds(), "objective_ms", d.request.objective.Milliseconds(),
		"asked", d.attempts, "sends", d.sends, "node", d.chosen.Node, "instance", d.chosen.Instance,
		"running", d.chosen.Running, "waiting", d.chosen.Waiting, "speed", d.chosen.Slowdown,
		"load_age_ms", d.chosen.LoadAge.Milliseconds(),
	}
	if r.answer == nil {
		pairs = append(pairs, "outcome", r.outcome, "reason", r.reason, "retry_after_ms", d.retryAfter.Milliseconds(), "err", errText(r.err))
	}
	e.journal.Log(class, "request", pairs...)
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// noRoute tells of a request that no route takes.
func (e *eventLog) noRoute(id string, r *pipeline.Request, config uint64) {
	e.metrics.noRoute.Inc(1)
	e.journal.Log(journal.Failure, "no_route", "request", id, "host", r.Host, "path", r.Path, "config", config)
}

// refusedStopping tells of a request that came when the node was about to end.
func (e *eventLog) refusedStopping(id string) {
	e.journal.Log(journal.Failure, "refused_stopping", "request", id)
}

// rejected tells of a request that could not be read.
func (e *eventLog) rejected(status int, reason string) {
	e.metrics.rejected.Inc(1)
	e.journal.Log(journal.Failure, "rejected", "status", status, "reason", reason)
}

// gateRefused tells of a request that the gate of the own target refused.
func (e *eventLog) gateRefused(req *targetRequest, reason gate.Refusal, retryAfter time.Duration, load fleet.Load) {
	e.metrics.gateRefused(reason)
	class := journal.Failure
	if reason == gate.RefusedBusy || reason == gate.RefusedSlow {
		class = journal.Routine // the sender asks another target
	}
	e.journal.Log(class, "gate_refused", "request", req.admission.ID, "route", req.admission.Kind, "reason", string(reason),
		"running", load.Running, "waiting", load.Waiting, "speed", load.Slowdown, "open", load.Accepting,
		"repeat", req.admission.Retry, "retry_after_ms", retryAfter.Milliseconds())
}

// attemptLost tells of a request that reached the own target and got no answer.
func (e *eventLog) attemptLost(req *targetRequest, instance, kind string, running int, err error) {
	e.journal.Log(journal.Failure, "attempt_lost", "request", req.admission.ID, "route", req.admission.Kind, "instance", instance,
		"reason", kind, "running", running, "once", req.admission.NonIdempotent, "err", errText(err))
}

// fenced tells whether a request was fenced off for another node.
func (e *eventLog) fenced(id, peer string, same, fenced bool) {
	e.journal.Log(journal.Failure, "fence", "request", id, "peer", peer, "same_incarnation", same, "fenced", fenced)
}

// configChanged tells of a new configuration, or of data centres taken out or
// back.
func (e *eventLog) configChanged(before, after *configSnapshot, source string) {
	e.journal.Log(journal.Change, "config", "config", after.number(), "was", before.number(),
		"out", after.dataCentresOut, "out_was", before.dataCentresOut, "out_revision", after.dataCentresOutRevision, "source", source)
}

// targetChanged tells of a report that changed what is known of the target.
func (e *eventLog) targetChanged(r gate.Report, before, after gate.State) {
	e.journal.Log(journal.Change, "target", "instance", r.Instance, "was", before.Instance, "service", r.Service,
		"sequence", r.Sequence, "born", r.StartedMillis, "leaving", r.Draining, "open", after.Accepting, "slots", r.Slots,
		"cold_left_ms", after.ColdRemaining.Milliseconds())
}

// targetDown tells of a target that takes no connections.
func (e *eventLog) targetDown(instance string, err error) {
	e.journal.Log(journal.Change, "target_down", "instance", instance, "err", errText(err))
}

// targetChecked tells of a health check that changed what is known.
func (e *eventLog) targetChecked(s gate.State) {
	e.journal.Log(journal.Change, "target_checked", "instance", s.Instance, "open", s.Accepting, "cold_left_ms", s.ColdRemaining.Milliseconds())
}

// reportIgnored tells of a report that names no target to use.
func (e *eventLog) reportIgnored(r gate.Report, reason string) {
	e.journal.Log(journal.Change, "report_ignored", "instance", r.Instance, "sequence", r.Sequence, "born", r.StartedMillis, "reason", reason)
}

// badMessage tells of a message that can't be used.
func (e *eventLog) badMessage(kind, peer string, err error) {
	e.metrics.badMessages.Inc(1)
	e.journal.Log(journal.Change, "bad_message", "kind", kind, "peer", peer, "err", errText(err))
}

// reachabilityChanged tells of peers lost and regained.
func (e *eventLog) reachabilityChanged(changes []fleet.ReachabilityChange) {
	for _, c := range changes {
		event := "dependency_lost"
		if c.Reachable {
			event = "dependency_back"
		}
		e.journal.Log(journal.Change, event, "dependency", "peer", "peer", c.Node, "silent_ms", c.SilentFor.Milliseconds())
	}
}
