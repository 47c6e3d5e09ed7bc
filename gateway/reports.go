package gateway

import (
	"time"

	"verbenatrestle/process/departure"
	"verbenatrestle/process/gate"
	"verbenatrestle/process/journal"
)

// applyReport applies a status report of the target, unless a newer one is known. A report
// that arrives before the departures of earlier processes are known waits for them, since
// its process may be one of those.
func (t *localTarget) applyReport(report gate.Report) {
	t.mu.Lock()
	waits := !t.node.departures.loaded.Load()
	if waits && (t.waitingReport == nil || report.Supersedes(t.waitingReport)) {
		t.waitingReport = &report
	}
	if waits && report.Draining {
		t.gate.Deregister(report.Instance, report.StartedMillis, time.Now())
	}
	t.mu.Unlock()
	if !waits {
		t.applyLoadedReport(report)
	}
}

// applyWaitingReport applies the report that waited for the departures of earlier
// processes.
func (t *localTarget) applyWaitingReport() {
	t.mu.Lock()
	report := t.waitingReport
	t.waitingReport = nil
	t.mu.Unlock()
	if report != nil {
		t.applyLoadedReport(*report)
	}
}

// applyLoadedReport applies a report once the departures of earlier processes are known.
func (t *localTarget) applyLoadedReport(report gate.Report) {
	now := time.Now()
	t.mu.Lock()
	before, departures := t.gate.State(now), t.gate.Departures()
	accepted := t.gate.ApplyReport(report, now)
	after := t.gate.State(now)
	newDepartures := !departures.IncludesAll(t.gate.Departures())
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
	changed := before.Instance != after.Instance || before.Accepting != after.Accepting
	if changed {
		t.node.events.targetChanged(report, before, after)
		t.node.peers.requestBroadcast()
	}
}

// deregister records that an instance of the target leaves for good.
// StartedMillis is the start of its process in Unix milliseconds.
func (t *localTarget) deregister(instance string, startedMillis int64) {
	now := time.Now()
	t.mu.Lock()
	t.gate.Deregister(instance, startedMillis, now)
	t.mu.Unlock()
	t.node.events.log(journal.Change, "target_left", "instance", instance, "born", startedMillis)
	t.node.peers.requestBroadcast()
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
