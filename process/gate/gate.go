package gate

import "time"

// Settings of a Gate.
type Settings struct {
	// QueueShare bounds the queue as a share of the slots.
	QueueShare float64
	// NestedShare is the share of the slots that is kept for calls of targets.
	NestedShare float64
	// RetryBudget bounds the sends beyond the first.
	RetryBudget RetryBudget
	// DedupWindow is how long the ids of requests that must not run twice are kept.
	DedupWindow time.Duration
}

const (
	// NormalSlowdown is the speed figure of a target that is not slowed down.
	NormalSlowdown = 100
	// minRetryAfter is the shortest time that a refused caller is sent away for.
	minRetryAfter = 50 * time.Millisecond
	// downRetryAfter is when to come back to a target that can't be reached,
	// about the time between two of its reports.
	downRetryAfter = time.Second
)

// Gate is the state of one gate. It is not safe for concurrent use.
type Gate struct {
	settings Settings

	target        *Report
	coldRate      float64
	coldFor       time.Duration
	coldUntil     time.Time
	down          bool
	dataCentreOut bool
	// deregistered holds the lives that said that they leave for good, by instance,
	// with the start of the life in Unix milliseconds.
	deregistered map[string]int64

	slowdown int
	// slowSince is when the target turned slow.
	slowSince time.Time
	running   int
	// runningRetries counts those of them that are repeats.
	runningRetries int
	queue          []*Waiter
	// runTimes holds the mean run time by kind of request, in seconds at usual speed.
	runTimes map[string]float64
	// meanRunTime is the mean run time of all kinds, in seconds.
	meanRunTime float64

	arrivals       window
	firstSends     window
	retries        window
	possibleReruns window
	serviceTargets int

	seen         map[string]seenRequest
	callerCounts callerCounts
	// saturation tells whether the target slows down when it is nearly full, in
	// which case it gets fewer requests at once.
	saturation saturationDetector
	// failures tells how many of the target's runs fail.
	failures failureTracker
	// nestedAt is when a call of a target came last.
	nestedAt time.Time
}

// seenRequest is what is remembered of a request that must not run twice.
type seenRequest struct {
	at     time.Time
	fenced bool
}

// New returns a gate without a target.
func New(settings Settings) *Gate {
	return &Gate{
		settings:       settings,
		slowdown:       NormalSlowdown,
		runTimes:       make(map[string]float64),
		arrivals:       window{span: coldWindow},
		firstSends:     window{span: settings.RetryBudget.Window},
		retries:        window{span: settings.RetryBudget.Window},
		possibleReruns: window{span: settings.RetryBudget.Window},
		serviceTargets: 1,
		seen:           make(map[string]seenRequest),
		callerCounts:   make(callerCounts),
		saturation:     newSaturationDetector(),
		deregistered:   make(map[string]int64),
	}
}

// Decision answers an Offer. Without a refusal or a ticket the request passes.
type Decision struct {
	// Refused says why the request may not pass, if it may not.
	Refused Refusal
	// RetryAfter is when a refused request may come back.
	RetryAfter time.Duration
	// Waiter is the ticket of a request that has to wait, or nil.
	Waiter *Waiter
}

// Admitted reports whether the request may go to the target now.
func (d Decision) Admitted() bool { return d.Refused == "" && d.Waiter == nil }

// Admit asks for a request to pass. A request that passes has to be ended by
// Done, or by Unsent if it did not reach the target.
func (g *Gate) Admit(work Request, now time.Time) Decision {
	if refused, after := g.precheck(work, now); refused != "" {
		return Decision{Refused: refused, RetryAfter: after}
	}
	work.nested = g.callerCounts.observe(work.Kind, work.Caller)
	if work.nested {
		g.nestedAt = now
	}
	starts := len(g.queue) == 0 && g.hasCapacity(work, now)
	switch {
	case work.HasAlternatives && g.slowdown >= slowThreshold:
		return Decision{Refused: RefusedSlow}
	case work.HasAlternatives && !starts:
		return Decision{Refused: RefusedBusy}
	}
	if work.NonIdempotent {
		g.seen[work.ID] = seenRequest{at: now}
	}
	if starts {
		g.recordStart(work, now)
		return Decision{}
	}
	ticket := &Waiter{Request: work, Result: make(chan Refusal, 1)}
	g.enqueue(ticket, now)
	g.dispatch(now)
	select {
	case refused := <-ticket.Result:
		return Decision{Refused: refused, RetryAfter: ticket.RetryAfter}
	default:
		return Decision{Waiter: ticket}
	}
}

// precheck returns why the gate is closed to the request whatever its load.
func (g *Gate) precheck(work Request, now time.Time) (Refusal, time.Duration) {
	switch {
	case g.target == nil:
		return RefusedNoTarget, downRetryAfter
	case g.Draining():
		return RefusedDraining, minRetryAfter
	case g.dataCentreOut:
		return RefusedDataCentreOut, minRetryAfter
	case g.down:
		return RefusedDown, downRetryAfter
	case !work.Deadline.After(now):
		return RefusedLate, minRetryAfter
	case work.Retry && !g.allowsRetry(work, now):
		return RefusedRetryBudget, minRetryAfter
	}
	if old, ok := g.seen[work.ID]; ok && work.NonIdempotent {
		if old.fenced {
			return RefusedFenced, 0
		}
		return RefusedDuplicate, 0
	}
	return "", 0
}

// allowsRetry reports whether the budget has room for a repeat. Requests that
// run again make their calls again, so they get a part of it only.
func (g *Gate) allowsRetry(work Request, now time.Time) bool {
	firsts := g.firstSends.count(now)
	if work.MayHaveRun && !g.settings.RetryBudget.allows(firsts, g.possibleReruns.count(now), g.serviceTargets, possibleRerunShare) {
		return false
	}
	return g.settings.RetryBudget.allows(firsts, g.retries.count(now), g.serviceTargets, 1)
}

// recordStart counts a request that goes to the target.
func (g *Gate) recordStart(work Request, now time.Time) {
	g.running++
	g.arrivals.add(now)
	if work.Retry {
		g.runningRetries++
	}
	if work.MayHaveRun {
		g.possibleReruns.add(now)
	}
	if work.Retry || work.CausedByRetry {
		g.retries.add(now)
	} else {
		g.firstSends.add(now)
	}
}

// Done ends a request that reached the target. Took is how long it ran; a
// failed one says nothing about the pace.
func (g *Gate) Done(work Request, took time.Duration, failed bool, now time.Time) {
	if !failed {
		g.recordRunTime(work.Kind, took)
	}
	g.failures.observe(failed, now)
	g.failures.consecutiveBreaks = 0
	g.release(work)
	g.dispatch(now)
}

// ObserveRun takes in how long a run took that succeeded, and the state of the gate
// when it was sent to the target. Runs at a slow target are left out.
func (g *Gate) ObserveRun(kind string, took time.Duration, began State) {
	if began.Slowdown < slowThreshold && g.slowdown < slowThreshold {
		g.saturation.observe(kind, took, began.Running, g.target.Slots)
	}
}

// Cancelled ends a request that reached the target and was given up.
func (g *Gate) Cancelled(work Request, now time.Time) {
	g.release(work)
	g.dispatch(now)
}

// ConnectionLost ends a request whose connection broke. It reports whether the target is
// down, since connections keep breaking.
func (g *Gate) ConnectionLost(work Request, now time.Time) bool {
	g.failures.observe(true, now)
	g.release(work)
	if g.failures.connectionBroke() && !g.down {
		g.MarkDown(now)
		return true
	}
	g.dispatch(now)
	return false
}

// Unsent ends a request that passed and did not reach the target.
func (g *Gate) Unsent(work Request, now time.Time) {
	g.release(work)
	if work.NonIdempotent {
		delete(g.seen, work.ID)
	}
	g.dispatch(now)
}

// Shed ends a request that the target refused to run though it had a slot for
// it: what comes next will likely fare alike.
func (g *Gate) Shed(work Request, now time.Time) {
	g.failures.observe(true, now)
	g.Unsent(work, now)
}

func (g *Gate) release(work Request) {
	g.running = max(0, g.running-1)
	if work.Retry {
		g.runningRetries = max(0, g.runningRetries-1)
	}
}

// RetryShare returns the share of repeats among the requests that run. A call
// that the target makes belongs to one of them.
func (g *Gate) RetryShare() float64 {
	return float64(g.runningRetries) / float64(max(1, g.running))
}

// Tick lets time pass: a cold target takes one more now and then, and ids that
// are no longer of use are forgotten.
func (g *Gate) Tick(now time.Time) {
	for id, t := range g.seen {
		if now.Sub(t.at) > g.settings.DedupWindow {
			delete(g.seen, id)
		}
	}
	g.dispatch(now)
}

// Fence makes sure that a request that was not here yet never runs. It returns
// false if the request was here, so that it may run or have run.
func (g *Gate) Fence(id string, now time.Time) bool {
	if old, ok := g.seen[id]; ok {
		return old.fenced
	}
	g.seen[id] = seenRequest{at: now, fenced: true}
	return true
}
