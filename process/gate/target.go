package gate

import "time"

// State is what a gate knows of its target, for those who choose targets.
type State struct {
	// Service and Instance name the target. Empty means that there is none.
	Service  string
	Instance string
	// Address is where the target takes requests.
	Address string
	// Slots is how many requests may run at once.
	Slots int
	// Running and Waiting count requests at the target and in the queue.
	Running int
	Waiting int
	// Slowdown is how long work takes now, in percent of usual.
	Slowdown int
	// Accepting tells that the gate takes requests at all.
	Accepting bool
	// ColdRemaining is how much longer the target is cold.
	ColdRemaining time.Duration
	// SlowWhenFull tells that the target was seen to slow down when nearly full.
	SlowWhenFull bool
	// FailureRate is the share of runs that fail.
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
		Slots:         g.Limit(),
		Running:       g.running,
		Waiting:       len(g.queue),
		Slowdown:      g.slowdown,
		Accepting:     !g.Draining() && !g.down && !g.dataCentreOut,
		ColdRemaining: max(0, g.coldUntil.Sub(now)),

		SlowWhenFull: g.saturation.detected,
		FailureRate:  g.failures.rate(now),
	}
}

// ApplyReport takes in a report of the target. It returns false if the report is
// older than what is known.
func (g *Gate) ApplyReport(report Report, now time.Time) bool {
	if g.target != nil && !report.supersedes(g.target) {
		return false
	}
	if born, ok := g.deregistered[report.Instance]; ok && report.StartedMillis <= born {
		return false
	}
	fresh := g.target == nil || g.target.Instance != report.Instance || g.target.StartedMillis != report.StartedMillis
	if g.target != nil && !fresh && g.target.Draining {
		report.Draining = true
	}
	g.target = &report
	if fresh {
		g.down = false
		g.coldUntil = time.Time{}
		g.slowdown = NormalSlowdown
		g.failures = failureTracker{}
	}
	if report.ColdFor > 0 {
		g.coldUntil = now.Add(report.ColdFor)
	}
	g.dispatch(now)
	return true
}

// Deregister takes in that a life of the target leaves for good. Born is that life's
// start in Unix milliseconds; who does not know it gives the present time.
func (g *Gate) Deregister(instance string, born int64, now time.Time) {
	if len(g.deregistered) >= maxDeregistered {
		clear(g.deregistered)
	}
	g.deregistered[instance] = born
	g.dispatch(now)
}

// maxDeregistered bounds the lives that are remembered to have left. Many more
// than run beside one node before a late report of theirs has arrived.
const maxDeregistered = 64

// ApplySlowdown takes in a load sample of the target: how many requests it runs and
// how long work takes. It reports whether the speed changed by a step worth
// telling.
func (g *Gate) ApplySlowdown(speed int, now time.Time) bool {
	if speed <= 0 {
		return false
	}
	old := g.slowdown
	g.slowdown = speed
	if old < slowThreshold && speed >= slowThreshold {
		g.slowSince = now
	}
	g.dispatch(now)
	return speed*slowdownStep > old*(slowdownStep+1) || old*slowdownStep > speed*(slowdownStep+1)
}

// slowdownStep sets the change of speed that is worth telling: by more than one
// part in that many.
const slowdownStep = 4

// ApplyHealthCheck takes in the answer to a health check of that instance: how long the
// target stays cold. It reports whether the target's state changed.
func (g *Gate) ApplyHealthCheck(instance string, coldLeft time.Duration, now time.Time) bool {
	if g.target == nil || instance != g.target.Instance {
		return false
	}
	changed := g.down
	if changed {
		g.failures.consecutiveBreaks = 0
	}
	g.down = false
	if cold := coldLeft > 0; cold != g.cold(now) {
		changed = true
	}
	g.coldUntil = now.Add(coldLeft)
	g.dispatch(now)
	return changed
}

// MarkDown takes in that the target takes no connections, or closed one that a
// request was on. It is closed until a check or a report tells otherwise, and
// taken to be cold then.
func (g *Gate) MarkDown(now time.Time) {
	if g.down {
		return
	}
	g.down = true
	g.assumeCold(now)
	g.dispatch(now)
}

// assumeCold treats the target as cold until a check tells otherwise.
func (g *Gate) assumeCold(now time.Time) {
	if g.coldRate > 0 {
		g.coldUntil = now.Add(g.coldFor)
	}
}

// SetColdStart sets what the configuration says of the target's service: how many
// requests a second it bears when it is cold, and for how long it is cold.
func (g *Gate) SetColdStart(coldRate float64, coldFor time.Duration) {
	g.coldRate = coldRate
	g.coldFor = coldFor
}

// SetDataCentreOut tells whether the target's data centre is out of service. A target
// that comes back is taken to be cold until a check tells otherwise.
func (g *Gate) SetDataCentreOut(out bool, now time.Time) {
	if g.dataCentreOut && !out {
		g.assumeCold(now)
	}
	g.dataCentreOut = out
	g.dispatch(now)
}

// SetRetryBudget changes the budget of repeats.
func (g *Gate) SetRetryBudget(budget RetryBudget) {
	g.settings.RetryBudget = budget
	g.firstSends.span, g.retries.span, g.possibleReruns.span = budget.Window, budget.Window, budget.Window
}

// PeerTargets is what is known of the targets beside other nodes.
type PeerTargets struct {
	// Targets is the number of those of the same service, which share its budget
	// of repeats.
	Targets int
	// SlowWhenFull is how many of those were seen to slow down when nearly full,
	// and AllSlowWhenFull how many of all services.
	SlowWhenFull, AllSlowWhenFull int
}

// SetPeerTargets takes in what is known of the targets beside other nodes.
func (g *Gate) SetPeerTargets(o PeerTargets) {
	g.serviceTargets = o.Targets + 1
	g.saturation.detectedElsewhere = o.SlowWhenFull >= minSameService || o.AllSlowWhenFull >= minAnyService
}

// Draining reports whether the target has begun to leave.
func (g *Gate) Draining() bool {
	if g.target == nil {
		return false
	}
	born, departed := g.deregistered[g.target.Instance]
	return g.target.Draining || (departed && g.target.StartedMillis <= born)
}
