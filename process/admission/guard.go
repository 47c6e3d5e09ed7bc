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
func (c *Controller) Announce(target Target, now time.Time) *Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.pastInstances, target.Instance) {
		return nil
	}
	if target.Instance == c.target.Instance && c.target.Instance != "" {
		c.reannounce(target, now)
		return nil
	}
	return c.replaceInstance(target, now)
}

// reannounce takes in a further announcement of the present instance.
func (c *Controller) reannounce(target Target, now time.Time) {
	returned := !c.present
	resized := target != c.target
	c.target = target
	c.present = true
	if resized {
		c.resetLimits(now)
	}
	if returned {
		c.crashReported = false
		c.coldStart.reset(now)
	}
}

// replaceInstance starts over with a new instance.
func (c *Controller) replaceInstance(target Target, now time.Time) *Crash {
	crash := c.takeCrash(now)
	c.retireInstance(c.target.Instance)
	c.target = target
	c.present = true
	c.draining = false
	c.crashReported = false
	c.brokenRequests = nil
	c.reportedAt = time.Time{}
	c.meanLatency = 0
	c.minLatency = 0
	c.ejector = ejector{}
	c.openConnections = min(c.openConnections, 0)
	c.resetLimits(now)
	return crash
}

// resetLimits fits the limits to what the target announced. It is cold then.
func (c *Controller) resetLimits(now time.Time) {
	former := c.coldStart
	c.coldStart = newColdStartLimit(c.target.ColdLimit, c.target.Slots, now)
	c.coldStart.usualLatency = former.usualLatency
	c.coldStart.growthCost = max(former.growthCost, 1)
	bounds := limit.Bounds{Min: c.coldStart.minLimit, Max: c.coldStart.maxLimit}
	c.adaptive, _ = limit.New(c.settings.Limit, bounds) // New checked the name
}

func (c *Controller) retireInstance(instance string) {
	if instance == "" {
		return
	}
	c.pastInstances = append(c.pastInstances, instance)
	if len(c.pastInstances) > maxPastInstances {
		c.pastInstances = c.pastInstances[1:]
	}
}

// Drain makes the guard refuse all new requests of an instance, for good. An
// empty instance stands for the present one. It returns false if the instance
// isn't the present one.
func (c *Controller) Drain(instance string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if instance != "" && instance != c.target.Instance {
		return false
	}
	c.draining = true
	return true
}

// SetOutOfService takes the target out of service or returns it, as cold.
func (c *Controller) SetOutOfService(out bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outOfService && !out {
		c.coldStart.reset(now)
	}
	c.outOfService = out
}

// TargetLost tells that the target can't be reached. Crashed tells that its
// process has ended for sure: then the crash with all that ran there is
// returned, once. Announcing itself brings the target back, as cold.
func (c *Controller) TargetLost(crashed bool, now time.Time) *Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.present = false
	if !crashed {
		return nil
	}
	return c.takeCrash(now)
}

// Report takes in what the target says about its load. It only lowers limits,
// and only for a few seconds.
func (c *Controller) Report(r Report, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Instance != "" && r.Instance != c.target.Instance {
		return
	}
	turned := c.reportedState(now) != load.Cold && r.State == load.Cold
	c.report = r
	c.reportedAt = now
	if turned {
		c.coldStart.reset(now)
	}
}

// SetOpenConnections tells how many connections to the target are open.
func (c *Controller) SetOpenConnections(open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openConnections = max(open, 0)
}

// SetWeights puts the callers' weights of a configuration version in force.
// The map is not changed afterwards.
func (c *Controller) SetWeights(weights map[request.ShareKey]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shares.weights = weights
}

// PlanConnections tells how many connections should be open.
func (c *Controller) PlanConnections(now time.Time) ConnectionPlan {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.present || c.draining {
		return ConnectionPlan{}
	}
	wanted := c.limit(now) + spareConnections
	if c.target.Connections > 0 {
		wanted = min(wanted, c.target.Connections)
	}
	return ConnectionPlan{Wanted: wanted, MaxConnecting: c.settings.MaxConnecting}
}

// Idle reports whether nothing runs, of any instance.
func (c *Controller) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inFlight) == 0
}

// Sample returns the target's true load.
func (c *Controller) Sample(now time.Time) load.Sample {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sample(now)
}

// sample reports as latency the moving average, or the mean age of what runs
// if that is more: a target that has just become slow shows at once.
func (c *Controller) sample(now time.Time) load.Sample {
	return load.Sample{
		InFlight: len(c.inFlight),
		Limit:    c.limit(now),
		Latency:  max(c.meanLatency, c.meanAge(now)),
		State:    c.state(now),
	}
}

// meanAge returns how long what runs has run on average.
func (c *Controller) meanAge(now time.Time) time.Duration {
	return c.starts.meanAge(len(c.inFlight), now)
}

func (c *Controller) state(now time.Time) load.State {
	switch {
	case !c.present:
		return load.Absent
	case c.draining || c.reportedState(now) == load.Draining:
		return load.Draining
	case c.outOfService:
		return load.Out
	case c.ejector.ejected && !c.ejector.periodOver(now):
		return load.Ejected
	case c.ejector.ejected || c.coldStart.knownCold():
		return load.Cold
	default:
		return load.Warm
	}
}

// reportedState returns the target's own state while its report is fresh.
func (c *Controller) reportedState(now time.Time) load.State {
	if c.reportedAt.IsZero() || now.Sub(c.reportedAt) >= reportTTL {
		return load.Warm
	}
	return c.report.State
}

// limit returns how many requests the target may run at once now.
func (c *Controller) limit(now time.Time) int {
	if !c.present {
		return 0
	}
	bound := min(c.target.Slots, c.adaptive.Value(), c.coldStart.limit)
	if c.ejector.ejected || c.reportedState(now) == load.Cold {
		bound = min(bound, c.coldStart.minLimit)
	}
	if now.Sub(c.reportedAt) < reportTTL && c.report.Slots > 0 {
		bound = min(bound, c.report.Slots)
	}
	return bound
}
