package gateway

import (
	"net/http"
	"time"

	"verbenatrestle/connection/pipeline"
	"verbenatrestle/process/departure"
	"verbenatrestle/process/fleet"
	"verbenatrestle/process/gate"
	"verbenatrestle/process/journal"
	store "verbenatrestle/process/platform"
	"verbenatrestle/process/quota"
	"verbenatrestle/request"
	"verbenatrestle/request/quarantine"
	"verbenatrestle/version"
)

// logRates bound the log, in lines per second. A node handles about twenty
// requests per second, so all failures are logged except during a burst of
// them.
var logRates = journal.Rates{Change: 50, Failure: 40, Routine: 5}

// eventLog writes the log of a node: one line for each decision about a
// request and for each change of the state that the node keeps. It defines the
// events and their fields, except those written through log. Its methods also
// count the events that have a metric.
type eventLog struct {
	journal *journal.Journal
	metrics *nodeMetrics
}

// log writes a line of an event that has no method of its own.
func (e *eventLog) log(class journal.Class, event string, pairs ...any) {
	e.journal.Log(class, event, pairs...)
}

// requestEnded logs and counts the end of a caller's request.
func (e *eventLog) requestEnded(d *dispatch, r *attemptResult, now time.Time) {
	took := now.Sub(d.started)
	status := 0
	if r.response != nil {
		status = r.response.Status
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
	if d.request.caller.Organisation != "" {
		pairs = append(pairs, "organisation", d.request.caller.Organisation)
	}
	if newest := d.node.configLag.newestKnown(); newest > d.config.number() {
		pairs = append(pairs, "newest", newest)
	}
	if r.response == nil {
		pairs = append(pairs, "fingerprint", d.request.admission.Fingerprint, "outcome", r.outcome, "reason", r.reason, "retry_after_ms", d.retryAfter.Milliseconds(), "err", errText(r.err))
	}
	e.journal.Log(class, "request", pairs...)
}

// errText returns the text of an error, or an empty string for nil.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// storeBack logs that a call to the store succeeded after failed ones, or for the first
// time.
func (e *eventLog) storeBack(outage endedOutage) {
	e.journal.Log(journal.Change, "dependency_back", "dependency", "store", "failed_calls", outage.failures,
		"lost_ms", outage.duration.Milliseconds(), "since_failure_ms", outage.sinceFailure.Milliseconds())
}

// storeRole logs a change of the role of this node in watching the store.
func (e *eventLog) storeRole(role fleet.StoreWatchRole, nodes int) {
	e.journal.Log(journal.Change, "store_role", "reaches", role.Reaches, "active", role.Active, "watching", role.Active && !role.AwaitsWatch, "probing", role.Probing,
		"watchers", role.Watchers, "nodes", nodes)
}

// targetLeft logs the departure of the local target. Stated is set if the target has stated when
// it started.
func (e *eventLog) targetLeft(d departure.Departure, stated bool) {
	e.journal.Log(journal.Change, "target_left", "instance", d.Instance, "born", d.StartedMillis, "stated", stated,
		"start_known", d.StartedMillis != departure.AnyStart)
}

// departureKept logs that the store holds a departure of the local target.
func (e *eventLog) departureKept(d departure.Departure, peers int, took time.Duration) {
	e.journal.Log(journal.Change, "departure_kept", "instance", d.Instance, "born", d.StartedMillis, "peers", peers, "took_ms", took.Milliseconds())
}

// departureNotKept logs and counts a departure that was not acknowledged, since the store
// does not hold it.
func (e *eventLog) departureNotKept(d departure.Departure, peers int, took time.Duration) {
	e.metrics.departuresNotKept.Inc(1)
	e.journal.Log(journal.Change, "departure_not_kept", "instance", d.Instance, "born", d.StartedMillis, "peers", peers, "took_ms", took.Milliseconds())
}

// departuresRestored logs departures that an earlier process of this node recorded, and
// whether the target stopped accepting requests by that.
func (e *eventLog) departuresRestored(list departure.List, source string, stopped bool) {
	e.journal.Log(journal.Change, "departures_restored", "source", source, "departures", list, "stopped", stopped)
}

// noRoute logs and counts a request that matches no route of the active
// configuration. Newest is the highest number of a configuration that the node has
// received.
func (e *eventLog) noRoute(id string, r *pipeline.Request, config *configSnapshot, newest uint64, now time.Time) {
	e.metrics.noRoute.Inc(1)
	e.journal.Log(journal.Failure, "no_route", "request", id, "host", r.Host, "path", r.Path,
		"config", config.number(), "config_age_ms", now.Sub(config.activeSince).Milliseconds(), "newest", newest)
}

// configOverdue logs and counts a request that is rejected because the active configuration
// should have been replaced by a newer one. Newest is as in noRoute.
func (e *eventLog) configOverdue(id string, config *configSnapshot, newest uint64) {
	e.metrics.configOverdue.Inc(1)
	e.journal.Log(journal.Failure, "config_overdue", "request", id, "config", config.number(), "newest", newest)
}

// unknownKey logs and counts a request without a valid key. Newest is as in noRoute.
func (e *eventLog) unknownKey(id, route string, keys int, config *configSnapshot, newest uint64, now time.Time) {
	e.metrics.unknownKey.Inc(1)
	e.journal.Log(journal.Failure, "unknown_key", "request", id, "route", route, "keys_sent", keys,
		"config", config.number(), "config_age_ms", now.Sub(config.activeSince).Milliseconds(), "newest", newest)
}

// keyWithdrawn logs and counts a request of another node whose key this node's configuration,
// which is not older, does not hold.
func (e *eventLog) keyWithdrawn(id, peer string, caller version.Caller, config uint64) {
	e.metrics.keyWithdrawn.Inc(1)
	e.journal.Log(journal.Failure, "key_withdrawn", "request", id, "peer", peer, "organisation", caller.Organisation,
		"config", config, "peer_config", caller.Config)
}

// keyUnchecked logs a request of a node of an earlier build whose key nobody has checked, while
// this node has no configuration.
func (e *eventLog) keyUnchecked(id, peer string) {
	e.journal.Log(journal.Failure, "key_unchecked", "request", id, "peer", peer)
}

// beyondQuota logs and counts a request that is not admitted because of the quota of its
// organisation.
func (e *eventLog) beyondQuota(id string, caller version.Caller, limit quota.Limit, config uint64, result quota.Result) {
	reason, counter := "exceeded", e.metrics.quotaExceeded
	switch result.Decision {
	case quota.Unchecked:
		reason, counter = "unchecked", e.metrics.quotaUnchecked
	case quota.TooLate:
		reason, counter = "too_late", e.metrics.quotaTooLate
	}
	counter.Inc(1)
	e.journal.Log(journal.Routine, "beyond_quota", "request", id, "organisation", caller.Organisation, "reason", reason,
		"rate_per_s", limit.RatePerSecond, "burst", limit.Burst, "config", config, "retry_after_ms", result.RetryAfter.Milliseconds())
}

// coordinatorSilent logs and counts a coordinator of an organisation that does not answer. An
// empty peer is this node.
func (e *eventLog) coordinatorSilent(organisation, peer string) {
	e.metrics.quotaCoordinatorSilent.Inc(1)
	e.journal.Log(journal.Failure, "coordinator_silent", "organisation", organisation, "peer", peer)
}

// refusedStopping logs a request that was refused because the node is
// stopping.
func (e *eventLog) refusedStopping(id string) {
	e.journal.Log(journal.Failure, "refused_stopping", "request", id)
}

// rejected logs and counts a request that could not be parsed.
func (e *eventLog) rejected(status int, reason string) {
	e.metrics.rejected.Inc(1)
	e.journal.Log(journal.Failure, "rejected", "status", status, "reason", reason)
}

// gateRefused logs and counts a request that the gate of the local target
// refused.
func (e *eventLog) gateRefused(req *targetRequest, reason gate.Refusal, retryAfter time.Duration, load fleet.Load) {
	e.metrics.gateRefused(reason)
	class := journal.Failure
	if reason == gate.RefusedBusy || reason == gate.RefusedSlow {
		class = journal.Routine // the sender tries another target
	}
	e.journal.Log(class, "gate_refused", "request", req.admission.ID, "fingerprint", req.admission.Fingerprint, "route", req.admission.Kind, "reason", string(reason),
		"running", load.Running, "waiting", load.Waiting, "speed", load.Slowdown, "open", load.Accepting,
		"repeat", req.admission.Retry, "retry_after_ms", retryAfter.Milliseconds())
}

// attemptLost logs a request that was sent to the local target and got no
// response.
func (e *eventLog) attemptLost(req *targetRequest, instance, kind string, running int, err error) {
	e.journal.Log(journal.Failure, "attempt_lost", "request", req.admission.ID, "fingerprint", req.admission.Fingerprint, "caller", req.admission.Caller, "route", req.admission.Kind, "instance", instance,
		"reason", kind, "running", running, "once", req.admission.NonIdempotent, "err", errText(err))
}

// fenced logs whether a request was fenced off for a peer that asked for it.
func (e *eventLog) fenced(id, peer string, same, fenced bool) {
	e.journal.Log(journal.Failure, "fence", "request", id, "peer", peer, "same_incarnation", same, "fenced", fenced)
}

// connectionSilent logs and counts a connection to another node that was found silent, how
// many idle ones were closed for that, and how many requests are pending.
func (e *eventLog) connectionSilent(p *pendingHop, dropped, pending int) {
	e.metrics.silentConnections.Inc(1)
	e.journal.Log(journal.Failure, "connection_silent", "request", p.id, "peer", p.to.Node, "address", p.to.HopAddress,
		"waited_ms", time.Since(p.sentAt).Milliseconds(), "idle_closed", dropped, "pending", pending)
}

// collected logs and counts a request whose result was asked for over another connection.
// Result is nil if the other node does not know the result.
func (e *eventLog) collected(p *pendingHop, result *attemptResult, err error) {
	outcome := request.Unknown
	if result != nil {
		outcome = result.outcome
	} else if err == nil {
		err = errNotCollected
	}
	e.metrics.collected(outcome)
	e.journal.Log(journal.Failure, "hop_collected", "request", p.id, "peer", p.to.Node, "waited_ms", time.Since(p.sentAt).Milliseconds(),
		"outcome", outcome, "err", errText(err))
}

// storeWentBack logs and counts a rise of the store's era, as source reported: the store is an
// older copy of itself.
func (e *eventLog) storeWentBack(before, after store.Era, source string) {
	e.metrics.storeWentBack.Inc(1)
	e.journal.Log(journal.Change, "store_went_back", "dependency", "store", "era", uint64(after), "was", uint64(before), "source", source)
}

// dataCentresOutChanged logs a change of the data centres out of service.
func (e *eventLog) dataCentresOutChanged(before, after *configSnapshot, source string) {
	e.journal.Log(journal.Change, "config", changePairs(before, after, source)...)
}

// configActivated logs a new configuration. The node has known of a newer one than
// the one before for outdatedFor, and failures fetches failed meanwhile.
func (e *eventLog) configActivated(before, after *configSnapshot, source string, outdatedFor time.Duration, failures int) {
	e.metrics.configOutdated.Update(outdatedFor)
	pairs := append(changePairs(before, after, source), "routes", after.routes.RouteCount(),
		"organisations", after.routes.OrganisationCount(), "keys", after.routes.KeyCount(), "ignored_fields", after.ignoredFields, "document_bytes", len(after.document),
		"decode_ms", after.decodeTime.Milliseconds(), "outdated_ms", outdatedFor.Milliseconds(), "failed_fetches", failures)
	e.journal.Log(journal.Change, "config", pairs...)
}

// changePairs returns the fields that all changes of a snapshot have.
func changePairs(before, after *configSnapshot, source string) []any {
	return []any{"config", after.number(), "was", before.number(), "held_by_peers", after.heldByPeers,
		"out", after.dataCentresOut, "out_was", before.dataCentresOut, "out_revision", after.dataCentresOutRevision, "source", source}
}

// configFetchFailed logs and counts a failed fetch of a configuration from a peer.
func (e *eventLog) configFetchFailed(peer string, number uint64, took time.Duration, err error) {
	e.metrics.configFetchesFailed.Inc(1)
	e.journal.Log(journal.Change, "config_fetch_failed", "peer", peer, "config", number, "took_ms", took.Milliseconds(), "err", errText(err))
}

// targetChanged logs a status report that changed the state of the local
// target.
func (e *eventLog) targetChanged(r gate.Report, before, after gate.State) {
	e.journal.Log(journal.Change, "target", "instance", r.Instance, "was", before.Instance, "service", r.Service,
		"sequence", r.Sequence, "born", r.StartedMillis, "leaving", r.Draining, "open", after.Accepting, "slots", r.Slots,
		"cold_left_ms", after.ColdRemaining.Milliseconds())
}

// targetDown logs that the local target was marked down.
func (e *eventLog) targetDown(instance string, err error) {
	e.journal.Log(journal.Change, "target_down", "instance", instance, "err", errText(err))
}

// targetLimit logs that the request limit changed that the local target names in its
// responses.
func (e *eventLog) targetLimit(s gate.State, perSecond float64, limited bool) {
	e.journal.Log(journal.Change, "target_limit", "instance", s.Instance, "limited", limited, "per_second", perSecond, "running", s.Running)
}

// targetLeaving logs that an instance of the local target stated in a response that it
// shuts down soon.
func (e *eventLog) targetLeaving(instance string) {
	e.journal.Log(journal.Change, "target_leaving", "instance", instance)
}

// targetCrashed logs and counts a crash of the local target, with the first
// maxLoggedInFlight requests in flight and those that are quarantined since.
func (e *eventLog) targetCrashed(crash *gate.Crash, table *quarantine.Table) {
	e.metrics.targetCrashes.Inc(1)
	var inFlight, quarantined []string
	for _, r := range crash.InFlight {
		if verdict, _ := table.Check(r.Fingerprint, time.Now()); verdict == quarantine.Quarantined {
			quarantined = append(quarantined, r.Fingerprint.String())
		}
		if len(inFlight) < maxLoggedInFlight {
			inFlight = append(inFlight, r.Fingerprint.String())
		}
	}
	e.journal.Log(journal.Change, "target_crashed", "instance", crash.Instance, "born", crash.StartedMillis,
		"in_flight", len(crash.InFlight), "expired", crash.Expired, "fingerprints", inFlight, "quarantined", quarantined)
}

// suspicionLifted logs that a successful response of the local target cleared a suspect.
func (e *eventLog) suspicionLifted(req *gate.Request, instance string) {
	e.metrics.suspicionsLifted.Inc(1)
	e.journal.Log(journal.Failure, "suspicion_lifted", "request", req.ID, "fingerprint", req.Fingerprint, "caller", req.Caller,
		"instance", instance)
}

// maxLoggedInFlight bounds the fingerprints in a line about a crash.
const maxLoggedInFlight = 32

// requestQuarantined logs and counts a request that is refused because targets crashed
// under it.
func (e *eventLog) requestQuarantined(id, caller string, f request.Fingerprint, remaining time.Duration) {
	e.metrics.quarantined.Inc(1)
	e.journal.Log(journal.Failure, "request_quarantined", "request", id, "fingerprint", f, "caller", caller, "retry_after_ms", remaining.Milliseconds())
}

// targetChecked logs a health check that changed the state of the local
// target.
func (e *eventLog) targetChecked(s gate.State) {
	e.journal.Log(journal.Change, "target_checked", "instance", s.Instance, "open", s.Accepting, "cold_left_ms", s.ColdRemaining.Milliseconds())
}

// reportIgnored logs a status report that was not applied.
func (e *eventLog) reportIgnored(r gate.Report, reason string) {
	e.journal.Log(journal.Change, "report_ignored", "instance", r.Instance, "sequence", r.Sequence, "born", r.StartedMillis, "reason", reason)
}

// badMessage logs and counts a message that is invalid.
func (e *eventLog) badMessage(kind, peer string, err error) {
	e.metrics.badMessages.Inc(1)
	e.journal.Log(journal.Change, "bad_message", "kind", kind, "peer", peer, "err", errText(err))
}

// reachabilityChanged logs peers that became unreachable or reachable again.
func (e *eventLog) reachabilityChanged(changes []fleet.ReachabilityChange) {
	for _, c := range changes {
		event := "dependency_lost"
		if c.Reachable {
			event = "dependency_back"
		}
		e.journal.Log(journal.Change, event, "dependency", "peer", "peer", c.Node, "silent_ms", c.SilentFor.Milliseconds())
	}
}
