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

	mu       sync.Mutex
	rng      *rand.Rand
	target   Target
	present  bool
	draining bool
	out      bool
	// crashed tells that the crash of the present instance was reported.
	crashed bool
	past    []string

	nextID uint64
	// runs holds all that runs, of former instances too until they end: a
	// request that was sent to the one may have reached the next.
	runs     map[uint64]run
	suspects int
	began    sumOfTimes
	broken   []brokenRun

	adaptive limit.Limit
	ramp     ramp
	hang     hang
	ejector  ejector
	shares   shares
	report   Report
	reported time.Time
	// opened is how many connections are open, or -1 if nobody said.
	opened  int
	latency time.Duration
	quick   time.Duration // the lowest latency of this instance
}

// run is an admitted request.
type run struct {
	running  quarantine.InFlightRequest
	caller   request.ShareKey
	began    time.Time
	instance string
	peers    int // what ran at its admission, with itself
}

// brokenRun is a request whose connection broke.
type brokenRun struct {
	running quarantine.InFlightRequest
	at      time.Time
}

// New returns the guard of a target that hasn't announced itself yet. The
// random source jitters spells; the guard is its only user from now on.
func New(settings Settings, rng *rand.Rand) (*Controller, error) {
	adaptive, err := limit.New(settings.Limit, limit.Bounds{})
	if err != nil {
		return nil, err
	}
	return &Controller{
		settings: settings,
		rng:      rng,
		runs:     make(map[uint64]run),
		adaptive: adaptive,
		hang:     hang{factor: settings.HangFactor},
		shares:   newShares(),
		opened:   -1,
	}, nil
}

// Announce takes in an announcement of the target. A new instance is cold.
// The crash is that of the instance before it, or nil.
func (g *Controller) Announce(target Target, now time.Time) *Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Contains(g.past, target.Instance) {
		return nil
	}
	if target.Instance == g.target.Instance && g.target.Instance != "" {
		g.reannounce(target, now)
		return nil
	}
	return g.replace(target, now)
}

// reannounce takes in a further announcement of the present instance.
func (g *Controller) reannounce(target Target, now time.Time) {
	returned := !g.present
	resized := target != g.target
	g.target = target
	g.present = true
	if resized {
		g.resize(now)
	}
	if returned {
		g.crashed = false
		g.ramp.fall(now)
	}
}

// replace starts over with a new instance.
func (g *Controller) replace(target Target, now time.Time) *Crash {
	crash := g.crash(now)
	g.retire(g.target.Instance)
	g.target = target
	g.present = true
	g.draining = false
	g.crashed = false
	g.broken = nil
	g.reported = time.Time{}
	g.latency = 0
	g.quick = 0
	g.ejector = ejector{}
	g.opened = min(g.opened, 0)
	g.resize(now)
	return crash
}

// resize fits the limits to what the target announced. It is cold then.
func (g *Controller) resize(now time.Time) {
	former := g.ramp
	g.ramp = newRamp(g.target.ColdLimit, g.target.Slots, now)
	g.ramp.usual = former.usual
	g.ramp.pace = max(former.pace, 1)
	bounds := limit.Bounds{Min: g.ramp.floor, Max: g.ramp.ceiling}
	g.adaptive, _ = limit.New(g.settings.Limit, bounds) // New checked the name
}

func (g *Controller) retire(instance string) {
	if instance == "" {
		return
	}
	g.past = append(g.past, instance)
	if len(g.past) > keptInstances {
		g.past = g.past[1:]
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
	if g.out && !out {
		g.ramp.fall(now)
	}
	g.out = out
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
	return g.crash(now)
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
	g.reported = now
	if turned {
		g.ramp.fall(now)
	}
}

// SetOpenConnections tells how many connections to the target are open.
func (g *Controller) SetOpenConnections(open int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened = max(open, 0)
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
	return len(g.runs) == 0
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
		InFlight: len(g.runs),
		Limit:    g.limit(now),
		Latency:  max(g.latency, g.meanAge(now)),
		State:    g.state(now),
	}
}

// meanAge returns how long what runs has run on average.
func (g *Controller) meanAge(now time.Time) time.Duration {
	return g.began.meanAge(len(g.runs), now)
}

func (g *Controller) state(now time.Time) load.State {
	switch {
	case !g.present:
		return load.Absent
	case g.draining || g.reportedState(now) == load.Draining:
		return load.Draining
	case g.out:
		return load.OutOfService
	case g.ejector.ejecting && !g.ejector.over(now):
		return load.Ejected
	case g.ejector.ejecting || g.ramp.knownCold():
		return load.Cold
	default:
		return load.Warm
	}
}

// reportedState returns the target's own state while its report is fresh.
func (g *Controller) reportedState(now time.Time) load.State {
	if g.reported.IsZero() || now.Sub(g.reported) >= reportLife {
		return load.Warm
	}
	return g.report.State
}

// limit returns how many requests the target may run at once now.
func (g *Controller) limit(now time.Time) int {
	if !g.present {
		return 0
	}
	bound := min(g.target.Slots, g.adaptive.Value(), g.ramp.limit)
	if g.ejector.ejecting || g.reportedState(now) == load.Cold {
		bound = min(bound, g.ramp.floor)
	}
	if now.Sub(g.reported) < reportLife && g.report.Slots > 0 {
		bound = min(bound, g.report.Slots)
	}
	return bound
}
