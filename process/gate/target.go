package gate

import (
	"time"

	"verbenatrestle/process/departure"
)

// State describes the target and the load of a gate, as input for choosing
// among targets.
type State struct {
	// Service and Instance name the target. Empty means that there is none.
	Service  string
	Instance string
	// Address is where the target takes requests, "IP:port".
	Address string
	// Slots is how many requests may run at once, or fewer at a target that names a
	// request limit.
	Slots int
	// Running counts the requests in flight to the target, and Waiting those in
	// the queue.
	Running int
	Waiting int
	// Slowdown is how long work takes now, in percent of the usual time.
	Slowdown int
	// Accepting is set while the target is neither draining, down nor in a data
	// centre that is out of service.
	Accepting bool
	// ColdRemaining is how much longer the target is cold.
	ColdRemaining time.Duration
	// SlowWhenFull is set once this gate detected that the target slows down when
	// it is nearly full.
	SlowWhenFull bool
	// FailureRate is the recent share of runs that failed, from 0 to 1.
	FailureRate float64
}

// State returns the present state.
func (g *Gate) State(now time.Time) State {
	if g.target == nil {
		return State{Slowdown: NormalSlowdown}
	}
	return State{
		Service:       g.target.Service,
		Instance:      g.target.Instance,
		Address:       g.target.Address,
		Slots:         g.advertisedSlots(now),
		Running:       g.running,
		Waiting:       len(g.queue),
		Slowdown:      g.slowdown,
		Accepting:     !g.Draining() && !g.down && !g.dataCentreOut,
		ColdRemaining: max(0, g.coldUntil.Sub(now)),

		SlowWhenFull: g.saturation.detected,
		FailureRate:  g.failures.rate(now),
	}
}

// ApplyReport replaces the target's report. It returns false if the report is not newer
// than the present one, or if it comes from a process that has departed and is not the
// present one. As the first report, that of a departed process is applied, but the process
// counts as draining. The departure of a process that a later one replaces is recorded. If
// the target now belongs to another service, the requests that wait are refused.
func (g *Gate) ApplyReport(report Report, now time.Time) bool {
	g.narrowDeparture(&report, now)
	if g.target != nil && !report.Supersedes(g.target) {
		if report.Draining && report.StartedMillis < g.target.StartedMillis {
			g.recordDeparture(departure.Departure{Instance: report.Instance, StartedMillis: report.StartedMillis}, now)
		}
		return false
	}
	restarted := g.target == nil || g.target.Instance != report.Instance || g.target.StartedMillis != report.StartedMillis
	if restarted && g.target != nil && g.departures.Includes(report.Instance, report.StartedMillis) {
		return false
	}
	if restarted {
		g.ProcessEnded(now)
	}
	if g.target != nil && report.StartedMillis > g.target.StartedMillis {
		g.recordDeparture(departure.Departure{Instance: g.target.Instance, StartedMillis: g.target.StartedMillis}, now)
	}
	if report.Draining {
		g.recordDeparture(departure.Departure{Instance: report.Instance, StartedMillis: report.StartedMillis}, now)
	}
	otherService := g.target != nil && report.Service != g.target.Service
	g.target = &report
	if otherService {
		g.refuseAll(RefusedOtherService, minRetryAfter)
	}
	if restarted {
		g.down = false
		g.coldUntil, g.coldSince = time.Time{}, time.Time{}
		g.slowdown = NormalSlowdown
		g.failures = failureTracker{}
		g.crashes.processStarted()
		g.limiter = requestLimiter{}
	}
	if report.ColdRemaining > 0 {
		g.coldUntil = now.Add(report.ColdRemaining)
	}
	g.dispatch(now)
	return true
}

// MarkLeaving records that an instance of the target stated in a response that it shuts
// down soon. It reports whether that was not known before.
func (g *Gate) MarkLeaving(instance string, now time.Time) bool {
	if g.target == nil || g.target.Instance != instance || g.Draining() {
		return false
	}
	g.recordDeparture(departure.Departure{Instance: instance, StartedMillis: g.target.StartedMillis}, now)
	g.dispatch(now)
	return true
}

// Deregister records that a process of the target leaves for good: the one that
// started at startedMillis, in Unix milliseconds, and all earlier ones of the same
// instance.
func (g *Gate) Deregister(instance string, startedMillis int64, now time.Time) {
	g.recordDeparture(departure.Departure{Instance: instance, StartedMillis: startedMillis}, now)
	g.dispatch(now)
}

// DeregisterRunning records that the process that runs under an instance leaves for good, and
// returns its departure. That is the process that reported last, unless it has ended since:
// the one that runs now has not reported then, and its start is not known.
func (g *Gate) DeregisterRunning(instance string, now time.Time) departure.Departure {
	d := departure.Departure{Instance: instance, StartedMillis: departure.AnyStart}
	reported := g.target != nil && g.target.Instance == instance
	if reported && (g.Draining() || !g.endedSinceReport()) {
		d.StartedMillis = g.target.StartedMillis
	}
	g.recordDeparture(d, now)
	g.dispatch(now)
	return d
}

// endedSinceReport reports whether the process that reported last was found not running.
func (g *Gate) endedSinceReport() bool {
	return g.down || g.crashes.ended || g.crashes.restarts > 0
}

// lateReportWindow is how long a report may be on its way.
const lateReportWindow = 15 * time.Second

// narrowDeparture ends the departure of an instance whose start is not known for the processes
// that report after lateReportWindow. A process that has left sends no reports, and those that
// it sent before have arrived by then.
func (g *Gate) narrowDeparture(report *Report, now time.Time) {
	if g.departures.Includes(report.Instance, departure.AnyStart) && now.Sub(g.anyStartAt) >= lateReportWindow {
		g.departures = g.departures.Narrow(report.Instance, report.StartedMillis-1)
	}
}

// recordDeparture records that a process of the target leaves or has left.
func (g *Gate) recordDeparture(d departure.Departure, now time.Time) {
	if d.StartedMillis == departure.AnyStart && !g.departures.Includes(d.Instance, d.StartedMillis) {
		g.anyStartAt = now
	}
	g.departures = g.departures.Add(d)
}

// Departures returns the departures that are known. The result must not be modified.
func (g *Gate) Departures() departure.List { return g.departures }

// RestoreDepartures adds departures that an earlier process of this node recorded. It
// reports whether some were not known.
func (g *Gate) RestoreDepartures(earlier departure.List, now time.Time) bool {
	if g.departures.IncludesAll(earlier) {
		return false
	}
	g.departures = g.departures.Merge(earlier)
	g.anyStartAt = now
	g.dispatch(now)
	return true
}

// ApplySlowdown records the slowdown of the latest load sample, in percent of
// the usual time. Values below 1 are ignored. It reports whether the change was
// large enough to send to other nodes at once.
func (g *Gate) ApplySlowdown(slowdown int, now time.Time) bool {
	if slowdown <= 0 {
		return false
	}
	old := g.slowdown
	g.slowdown = slowdown
	if old < slowThreshold && slowdown >= slowThreshold {
		g.slowSince = now
	}
	g.dispatch(now)
	return slowdown*slowdownStep > old*(slowdownStep+1) || old*slowdownStep > slowdown*(slowdownStep+1)
}

// slowdownStep sets the change of the slowdown that is sent at once: by more
// than one part in slowdownStep.
const slowdownStep = 4

// ApplyHealthCheck records a successful health check of an instance, when it was sent, and how
// much longer the target is cold. It reports whether the target was down before or
// turned cold or warm. A check of another instance is ignored.
func (g *Gate) ApplyHealthCheck(instance string, coldRemaining time.Duration, sentAt, now time.Time) bool {
	if g.target == nil || instance != g.target.Instance {
		return false
	}
	changed := g.down
	if changed {
		g.failures.consecutiveBreaks = 0
	}
	g.down = false
	g.crashes.processFound()
	if cold := coldRemaining > 0; cold != g.cold(now) {
		changed = true
	}
	g.coldUntil, g.coldSince = time.Time{}, time.Time{} // warm also for requests that read the clock before now
	if coldRemaining > 0 {
		g.coldUntil = now.Add(coldRemaining)
	}
	if coldRemaining > 0 && coldRemaining <= g.coldStartDuration {
		g.coldSince = sentAt.Add(coldRemaining - g.coldStartDuration)
	}
	g.dispatch(now)
	return changed
}

// MarkDown records that the target accepts no connections or closed one during a
// request. The gate refuses all requests until a health check succeeds or a new
// process of the target reports. The target is then assumed to be cold.
func (g *Gate) MarkDown(now time.Time) {
	if g.down {
		return
	}
	g.down = true
	g.assumeCold(now)
	g.dispatch(now)
}

// assumeCold treats the target as cold for coldStartDuration. A health check or a report
// replaces that.
func (g *Gate) assumeCold(now time.Time) {
	if g.coldRate > 0 {
		g.coldUntil = now.Add(g.coldStartDuration)
	}
}

// SetColdStart sets the cold start limits of the target's service: how many
// requests a second a cold target can take, and how long it is cold. With a rate
// of zero the target is never assumed to be cold.
func (g *Gate) SetColdStart(coldRate float64, coldStartDuration time.Duration) {
	g.coldRate = coldRate
	g.coldStartDuration = coldStartDuration
}

// SetDataCentreOut sets whether the target's data centre is out of service. When
// it returns to service, the target is assumed to be cold until a health check
// or a report says otherwise.
func (g *Gate) SetDataCentreOut(out bool, now time.Time) {
	if g.dataCentreOut && !out {
		g.assumeCold(now)
	}
	g.dataCentreOut = out
	g.dispatch(now)
}

// SetRetryBudget replaces the retry budget.
func (g *Gate) SetRetryBudget(budget RetryBudget) {
	g.settings.RetryBudget = budget
	for _, w := range []*window{&g.firstSends, &g.retries, &g.directRetries, &g.possibleReruns} {
		w.span = budget.Window
	}
}

// PeerTargets describes the targets beside the other nodes.
type PeerTargets struct {
	// Targets is the number of targets of the same service, which share its retry
	// budget.
	Targets int
	// SlowWhenFull is how many targets of the same service were found to slow down
	// when nearly full, and AllSlowWhenFull how many targets of all services.
	SlowWhenFull, AllSlowWhenFull int
}

// SetPeerTargets updates what is known of the targets beside the other nodes.
func (g *Gate) SetPeerTargets(peers PeerTargets) {
	g.serviceTargets = peers.Targets + 1
	g.saturation.detectedElsewhere = peers.SlowWhenFull >= minSameService || peers.AllSlowWhenFull >= minAnyService
}

// Draining reports whether the target shuts down or was deregistered.
func (g *Gate) Draining() bool {
	return g.target != nil && g.departures.Includes(g.target.Instance, g.target.StartedMillis)
}
