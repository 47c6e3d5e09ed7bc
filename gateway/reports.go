package gateway

import (
	"slices"
	"time"

	"verbenatrestle/process/departure"
	"verbenatrestle/process/gate"
)

// applyReport applies a status report of the target, unless a newer one is known. A report
// that arrives before the departures of earlier processes are known waits for them, since
// its process may be one of those. If they can't be read, a second report of the same process
// shows that it still runs: a process that has left sends none, but one that it sent before
// may arrive late.
func (t *localTarget) applyReport(report gate.Report) {
	if t.node.departures.known() == departuresKnown || t.hasTarget() {
		t.applyTrustedReport(report)
		return
	}
	t.mu.Lock()
	if earlier := t.waitingReport; earlier == nil || report.Supersedes(earlier) {
		t.waitingReportConfirmed = earlier != nil && sameProcess(&report, earlier)
		t.waitingReport = &report
	}
	if report.Draining {
		t.gate.Deregister(report.Instance, report.StartedMillis, time.Now())
	}
	t.mu.Unlock()
	t.applyWaitingReport()
}

// hasTarget reports whether a report has been applied. A process of the target that started later
// than that one has not left before this process started.
func (t *localTarget) hasTarget() bool { return t.state(time.Now()).Instance != "" }

// sameProcess reports whether two reports come from one process of the target.
func sameProcess(a, b *gate.Report) bool {
	return a.Instance == b.Instance && a.StartedMillis == b.StartedMillis
}

// applyWaitingReport applies the report that waits for the departures of earlier processes, if
// what is known of them now allows that.
func (t *localTarget) applyWaitingReport() {
	knowledge := t.node.departures.known()
	t.mu.Lock()
	report := t.waitingReport
	if report == nil || knowledge == departuresLoading || knowledge == departuresUnknown && !t.waitingReportConfirmed {
		t.mu.Unlock()
		return
	}
	t.waitingReport, t.waitingReportConfirmed = nil, false
	t.mu.Unlock()
	t.applyTrustedReport(*report)
}

// applyTrustedReport applies a report that need not wait for the departures of earlier
// processes.
func (t *localTarget) applyTrustedReport(report gate.Report) {
	now := time.Now()
	t.mu.Lock()
	before, departures := t.gate.State(now), t.gate.Departures()
	accepted := t.gate.ApplyReport(report, now)
	after := t.gate.State(now)
	newDepartures := !slices.Equal(departures, t.gate.Departures())
	crash := t.gate.TakeCrash()
	if accepted && (t.pool == nil || t.pool.Address() != report.Address || before.Instance != after.Instance) {
		t.replacePool(report.Address)
	}
	t.mu.Unlock()
	t.node.crashes.recordCrash(crash)
	if !accepted {
		t.node.events.reportIgnored(report, "older than what is known")
		return
	}
	if newDepartures {
		t.node.departures.requestWrite()
	}
	t.configure(t.node.config.snapshot())
	if before.Instance != after.Instance {
		t.node.health.checkNow() // shows since when the target is cold
	}
	changed := before.Instance != after.Instance || before.Accepting != after.Accepting
	if changed {
		t.node.events.targetChanged(report, before, after)
		t.node.peers.requestBroadcast()
	}
}

// deregister records that a process of the target leaves for good, and returns its departure:
// the one of an instance that started at startedMillis if that is stated, else the one that
// runs now.
func (t *localTarget) deregister(instance string, startedMillis int64, stated bool) departure.Departure {
	now := time.Now()
	left := departure.Departure{Instance: instance, StartedMillis: startedMillis}
	t.mu.Lock()
	if stated {
		t.gate.Deregister(instance, startedMillis, now)
	} else {
		left = t.gate.DeregisterRunning(instance, now)
	}
	t.mu.Unlock()
	t.node.events.targetLeft(left, stated)
	t.node.peers.requestBroadcast()
	return left
}

// departures returns the departures beside this node.
func (t *localTarget) departures() departure.List {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.Departures()
}

// restoreDepartures adds departures that an earlier process of this node recorded. Source
// is the node that held them, or sourceStore.
func (t *localTarget) restoreDepartures(earlier departure.List, source string) {
	now := time.Now()
	t.mu.Lock()
	accepting := t.gate.State(now).Accepting
	added := t.gate.RestoreDepartures(earlier, now)
	stopped := accepting && !t.gate.State(now).Accepting
	t.mu.Unlock()
	if !added {
		return
	}
	t.node.events.departuresRestored(earlier, source, stopped)
	if source != sourceStore {
		t.node.departures.requestWrite()
	}
	if stopped {
		t.node.peers.requestBroadcast()
	}
}
