package admission

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"verbenatrestle/connection/load"
	"verbenatrestle/process/admission/limit"
	"verbenatrestle/request"
	"verbenatrestle/request/quarantine"
)

// Controller is the only way into the target beside this node. It is safe for
// concurrent use.
type Controller struct {
	settings Settings

	mu           sync.Mutex
	rng          *rand.Rand
	target       Target
	present      bool
	draining     bool
	outOfService bool
	// crashReported tells that the crash of the present instance was reported.
	crashReported bool
	pastInstances []string

	nextID uint64
	// inFlight holds all that runs, of former instances too until they end: a
	// request that was sent to the one may have reached the next.
	inFlight       map[uint64]admittedRequest
	suspects       int
	starts         startTimes
	brokenRequests []brokenRequest

	adaptive   limit.Limit
	coldStart  coldStartLimit
	hangs      hangDetector
	ejector    ejector
	shares     fairShares
	report     Report
	reportedAt time.Time
	// openConnections is how many connections are open, or -1 if nobody said.
	openConnections int
	meanLatency     time.Duration
	minLatency      time.Duration // the lowest latency of this instance
}

// admittedRequest is an admitted request.
type admittedRequest struct {
	request     quarantine.InFlightRequest
	caller      request.ShareKey
	admittedAt  time.Time
	instance    string
	concurrency int // what ran at its admission, with itself
}

// brokenRequest is a request whose connection broke.
type brokenRequest struct {
	request  quarantine.InFlightRequest
	brokenAt time.Time
}

// New returns the guard of a target that hasn't announced itself yet. The
// random source jitters spells; the guard is its only user from now on.
func New(settings Settings, rng *rand.Rand) (*Controller, error) {
	adaptive, err := limit.New(settings.Limit, limit.Bounds{})
	if err != nil {
		return nil, err
	}
	return &Controller{
		settings:        settings,
		rng:             rng,
		inFlight:        make(map[uint64]admittedRequest),
		adaptive:        adaptive,
		hangs:           hangDetector{factor: settings.HangFactor},
		shares:          newFairShares(),
		openConnections: -1,
	}, nil
}

// Announce takes in an announcement of the target. A new instance is cold.
// The crash is that of the instance before it, or nil.
func (g *Controller) Announce(target Target, now time.Time) *Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Contains(g.pastInstances, target.Instance) {
		return nil
	}
	if target.Instance == g.target.Instance && g.target.Instance != "" {
		g.reannounce(target, now)
		return nil
	}
	return g.replaceInstance(target, now)
}

// reannounce takes in a further announcement of the present instance.
func (g *Controller) reannounce(target Target, now time.Time) {
	returned := !g.present
	resized := target != g.target
	g.target = target
	g.present = true
	if resized {
		g.resetLimits(now)
	}
	if returned {
		g.crashReported = false
		g.coldStart.reset(now)
	}
}

// replaceInstance starts over with a new instance.
func (g *Controller) replaceInstance(target Target, now time.Time) *Crash {
	crash := g.takeCrash(now)
	g.retireInstance(g.target.Instance)
	g.target = target
	g.present = true
	g.draining = false
	g.crashReported = false
	g.brokenRequests = nil
	g.reportedAt = time.Time{}
	g.meanLatency = 0
	g.minLatency = 0
	g.ejector = ejector{}
	g.openConnections = min(g.openConnections, 0)
	g.resetLimits(now)
	return crash
}

// resetLimits fits the limits to what the target announced. It is cold then.
func (g *Controller) resetLimits(now time.Time) {
	former := g.coldStart
	g.coldStart = newColdStartLimit(g.target.ColdLimit, g.target.Slots, now)
	g.coldStart.usualLatency = former.usualLatency
	g.coldStart.growthCost = max(former.growthCost, 1)
	bounds := limit.Bounds{Min: g.coldStart.minLimit, Max: g.coldStart.maxLimit}
	g.adaptive, _ = limit.New(g.settings.Limit, bounds) // New checked the name
}

func (g *Controller) retireInstance(instance string) {
	if instance == "" {
		return
	}
	g.pastInstances = append(g.pastInstances, instance)
	if len(g.pastInstances) > maxPastInstances {
		g.pastInstances = g.pastInstances[1:]
	}
}

// Drain makes the guard refuse all new requests of an instance, for good. An
// empty instance stands for the present one. It returns false if the instance
// isn't the present one.
func (g *Controller) Drain(instance string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if instance != "" && instance != g.target.Instance {
		return false
	}
	g.draining = true
	return true
}

// SetOutOfService takes the target out of service or returns it, as cold.
func (g *Controller) SetOutOfService(out bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.outOfService && !out {
		g.coldStart.reset(now)
	}
	g.outOfService = out
}

// TargetLost tells that the target can't be reached. Crashed tells that its
// process has ended for sure: then the crash with all that ran there is
// returned, once. Announcing itself brings the target back, as cold.
func (g *Controller) TargetLost(crashed bool, now time.Time) *Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.present = false
	if !crashed {
		return nil
	}
	return g.takeCrash(now)
}

// Report takes in what the target says about its load. It only lowers limits,
// and only for a few seconds.
func (g *Controller) Report(r Report, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Instance != "" && r.Instance != g.target.Instance {
		return
	}
	turned := g.reportedState(now) != load.Cold && r.State == load.Cold
	g.report = r
	g.reportedAt = now
	if turned {
		g.coldStart.reset(now)
	}
}

// SetOpenConnections tells how many connections to the target are open.
func (g *Controller) SetOpenConnections(open int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.openConnections = max(open, 0)
}

// SetWeights puts the callers' weights of a configuration version in force.
// The map is not changed afterwards.
func (g *Controller) SetWeights(weights map[request.ShareKey]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares.weights = weights
}

// PlanConnections tells how many connections should be open.
func (g *Controller) PlanConnections(now time.Time) ConnectionPlan {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.present || g.draining {
		return ConnectionPlan{}
	}
	wanted := g.limit(now) + spareConnections
	if g.target.Connections > 0 {
		wanted = min(wanted, g.target.Connections)
	}
	return ConnectionPlan{Wanted: wanted, MaxConnecting: g.settings.MaxConnecting}
}

// Idle reports whether nothing runs, of any instance.
func (g *Controller) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.inFlight) == 0
}

// Sample returns the target's true load.
func (g *Controller) Sample(now time.Time) load.Sample {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sample(now)
}

// sample reports as latency the moving average, or the mean age of what runs
// if that is more: a target that has just become slow shows at once.
func (g *Controller) sample(now time.Time) load.Sample {
	return load.Sample{
		InFlight: len(g.inFlight),
		Limit:    g.limit(now),
		Latency:  max(g.meanLatency, g.meanAge(now)),
		State:    g.state(now),
	}
}

// meanAge returns how long what runs has run on average.
func (g *Controller) meanAge(now time.Time) time.Duration {
	return g.starts.meanAge(len(g.inFlight), now)
}

func (g *Controller) state(now time.Time) load.State {
	switch {
	case !g.present:
		return load.Absent
	case g.draining || g.reportedState(now) == load.Draining:
		return load.Draining
	case g.outOfService:
		return load.Out
	case g.ejector.ejected && !g.ejector.periodOver(now):
		return load.Ejected
	case g.ejector.ejected || g.coldStart.knownCold():
		return load.Cold
	default:
		return load.Warm
	}
}

// reportedState returns the target's own state while its report is fresh.
func (g *Controller) reportedState(now time.Time) load.State {
	if g.reportedAt.IsZero() || now.Sub(g.reportedAt) >= reportTTL {
		return load.Warm
	}
	return g.report.State
}

// limit returns how many requests the target may run at once now.
func (g *Controller) limit(now time.Time) int {
	if !g.present {
		return 0
	}
	bound := min(g.target.Slots, g.adaptive.Value(), g.coldStart.limit)
	if g.ejector.ejected || g.reportedState(now) == load.Cold {
		bound = min(bound, g.coldStart.minLimit)
	}
	if now.Sub(g.reportedAt) < reportTTL && g.report.Slots > 0 {
		bound = min(bound, g.report.Slots)
	}
	return bound
}
