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

// Controller decides which requests the local target may run. Every request to
// the target must be admitted by it. It is safe for concurrent use.
type Controller struct {
	settings Settings

	mu           sync.Mutex
	rng          *rand.Rand
	target       Target
	present      bool
	draining     bool
	outOfService bool
	// crashReported is set once takeCrash was called for the current instance,
	// until the instance announces itself again after a loss.
	crashReported bool
	pastInstances []string

	nextID uint64
	// inFlight also holds the requests of past instances until they end, since
	// a request that was sent to one instance may have reached the next one.
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
	// openConnections is -1 until SetOpenConnections is called.
	openConnections int
	// meanLatency is the moving average of the latencies of this instance.
	meanLatency time.Duration
	// minLatency is the lowest latency of this instance.
	minLatency time.Duration
}

// admittedRequest is a request in flight.
type admittedRequest struct {
	request    quarantine.InFlightRequest
	caller     request.ShareKey
	admittedAt time.Time
	instance   string
	// concurrency is the number of requests in flight right after the
	// admission of this one.
	concurrency int
}

// brokenRequest is a request whose connection broke.
type brokenRequest struct {
	request  quarantine.InFlightRequest
	brokenAt time.Time
}

// New returns a controller whose target hasn't announced itself yet. The
// random numbers serve the jitter of ejection periods; the caller must not use
// rng afterwards. New returns an error if settings name an unknown limit.
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

// Announce handles an announcement of the target. A new instance is cold.
// Announce returns the crash of the replaced instance, or nil if nothing was in
// flight there. Outdated announcements are ignored.
func (c *Controller) Announce(target Target, now time.Time) *Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outdated(target) {
		return nil
	}
	if target.Instance == c.target.Instance && c.target.Instance != "" {
		c.reannounce(target, now)
		return nil
	}
	return c.replaceInstance(target, now)
}

// Outdated reports whether an announcement is of a process that ended before the
// current one started.
func (c *Controller) Outdated(target Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outdated(target)
}

// outdated compares the starts of both processes, or, if one of them is unknown,
// looks for the instance among the replaced ones. Nothing is outdated while the
// current instance is lost: a start may be wrong after a step of the clock, and the
// instance that replaced a running one may have been the late one.
func (c *Controller) outdated(target Target) bool {
	switch {
	case !c.present || target.Instance == c.target.Instance:
		return false
	case target.StartedMillis > 0 && c.target.StartedMillis > 0:
		return target.StartedMillis <= c.target.StartedMillis
	default:
		return slices.Contains(c.pastInstances, target.Instance)
	}
}

// reannounce handles a further announcement of the current instance.
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

// replaceInstance makes target the current instance and resets the state of the
// one before it. The usual latency, the growth cost and the usual mean age are
// kept.
func (c *Controller) replaceInstance(target Target, now time.Time) *Crash {
	crash := c.takeCrash(now)
	c.retireInstance(c.target.Instance)
	c.pastInstances = slices.DeleteFunc(c.pastInstances, func(past string) bool { return past == target.Instance })
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

// resetLimits creates the limits anew from the announcement of the target,
// which is cold then. The usual latency and the growth cost are kept.
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

// Drain makes the controller refuse all requests until a new instance replaces
// the current one. An empty instance stands for the current one. Drain does
// nothing and returns false if instance is another one.
func (c *Controller) Drain(instance string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if instance != "" && instance != c.target.Instance {
		return false
	}
	c.draining = true
	return true
}

// SetOutOfService takes the target out of service or returns it to service. It
// is cold after a return.
func (c *Controller) SetOutOfService(out bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outOfService && !out {
		c.coldStart.reset(now)
	}
	c.outOfService = out
}

// TargetLost marks the target as unreachable until it announces itself again;
// it is cold then. The parameter crashed is whether the process of the target
// is known to have ended. In this case TargetLost returns the requests that
// were in flight, or nil if there were none or if the crash was returned
// before.
func (c *Controller) TargetLost(crashed bool, now time.Time) *Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.present = false
	if !crashed {
		return nil
	}
	return c.takeCrash(now)
}

// Report applies a load report of the target. A report can only lower limits,
// and it counts for a few seconds only. Reports of other instances than the
// current one are ignored.
func (c *Controller) Report(r Report, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Instance != "" && r.Instance != c.target.Instance {
		return
	}
	turnedCold := c.reportedState(now) != load.Cold && r.State == load.Cold
	c.report = r
	c.reportedAt = now
	if turnedCold {
		c.coldStart.reset(now)
	}
}

// SetOpenConnections sets the number of open connections to the target.
func (c *Controller) SetOpenConnections(open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openConnections = max(open, 0)
}

// SetWeights sets the weights of the callers' shares. The caller must not
// change the map afterwards.
func (c *Controller) SetWeights(weights map[request.ShareKey]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shares.weights = weights
}

// PlanConnections returns how many connections to the target should be open.
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

// Idle reports whether no request is in flight, at any instance.
func (c *Controller) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inFlight) == 0
}

// Sample returns the load of the target. Its count of requests in flight is
// exact.
func (c *Controller) Sample(now time.Time) load.Sample {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sample(now)
}

// sample reports as latency the moving average, or the mean age of the
// requests in flight if that is higher. In this way the sample shows at once
// that a target has become slow.
func (c *Controller) sample(now time.Time) load.Sample {
	return load.Sample{
		InFlight: len(c.inFlight),
		Limit:    c.limit(now),
		Latency:  max(c.meanLatency, c.meanAge(now)),
		State:    c.state(now),
	}
}

// meanAge returns the mean time since the admission of the requests in flight.
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
		return load.OutOfService
	case c.ejector.ejected && !c.ejector.periodOver(now):
		return load.Ejected
	case c.ejector.ejected || c.coldStart.knownCold():
		return load.Cold
	default:
		return load.Warm
	}
}

// reportedState returns the state in the latest report of the target. Without
// a recent report it returns load.Warm, which lowers no limit.
func (c *Controller) reportedState(now time.Time) load.State {
	if c.reportedAt.IsZero() || now.Sub(c.reportedAt) >= reportTTL {
		return load.Warm
	}
	return c.report.State
}

// limit returns the limit on requests in flight at the target.
func (c *Controller) limit(now time.Time) int {
	if !c.present {
		return 0
	}
	lowest := min(c.target.Slots, c.adaptive.Value(), c.coldStart.limit)
	if c.ejector.ejected || c.reportedState(now) == load.Cold {
		lowest = min(lowest, c.coldStart.minLimit)
	}
	if now.Sub(c.reportedAt) < reportTTL && c.report.Slots > 0 {
		lowest = min(lowest, c.report.Slots)
	}
	return lowest
}
