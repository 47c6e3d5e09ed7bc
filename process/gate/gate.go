package gate

import (
	"time"

	"verbenatrestle/process/departure"
)

// Settings configures a Gate.
type Settings struct {
	// QueueShare limits the length of the queue, as a share of the target's
	// slots: 1 allows as many waiters as slots.
	QueueShare float64
	// NestedShare is the share of the slots, from 0 to 1, that is reserved for
	// nested calls.
	NestedShare float64
	// RetryBudget limits the sends beyond the first.
	RetryBudget RetryBudget
	// SlackFrom is when the whole retry budget becomes available. An earlier process of the
	// node may have used most of it until then.
	SlackFrom time.Time
	// StartedAt is when the process of the node started. An earlier process may have sent a
	// cold target all that it tolerates until then.
	StartedAt time.Time
	// DedupWindow is how long the ids of non-idempotent requests are kept after their
	// end and their deadline to detect duplicates, and those of fenced requests to
	// refuse them.
	DedupWindow time.Duration
}

const (
	// NormalSlowdown is the slowdown, in percent, of a target at its usual speed.
	NormalSlowdown = 100
	// minRetryAfter is the shortest RetryAfter of a refusal because of load.
	minRetryAfter = 50 * time.Millisecond
	// downRetryAfter is the RetryAfter of an unreachable target, about the time
	// between two of its reports.
	downRetryAfter = time.Second
)

// Gate admits requests to one target. It is not safe for concurrent use.
type Gate struct {
	settings Settings

	// target is the latest report of the target, or nil.
	target *Report
	// coldRate is how many requests a second the target can take while cold.
	coldRate float64
	// coldStartDuration is how long the target is cold after a start.
	coldStartDuration time.Duration
	coldUntil         time.Time
	// coldSince is when the target turned cold, or a little earlier, as the latest health check
	// shows. It is zero if that does not show it. Reports don't: they may be late.
	coldSince     time.Time
	down          bool
	dataCentreOut bool
	// departures holds the processes of the target that leave or have left.
	departures departure.List
	// anyStartAt is when a departure with departure.AnyStart was last recorded or restored.
	anyStartAt time.Time

	// slowdown is how long work takes now, in percent of the usual time.
	slowdown int
	// slowSince is when the slowdown reached slowThreshold.
	slowSince time.Time
	// running counts the requests in flight to the target.
	running int
	// runningRetries counts the retries among the requests in flight.
	runningRetries int
	queue          []*Waiter
	// runTimes holds the mean run time of each kind of request, in seconds.
	runTimes map[string]float64
	// meanRunTime is the mean run time of all kinds, in seconds.
	meanRunTime float64

	// arrivals counts requests sent to the target within coldWindow.
	arrivals window
	// firstSends, retries, directRetries and possibleReruns count sends within the window
	// of the retry budget. Requests caused by retries count as retries, but not as direct
	// ones.
	firstSends     window
	retries        window
	directRetries  window
	possibleReruns window
	// serviceTargets is the number of targets of the service, this one included, or zero
	// if it is not known yet.
	serviceTargets int
	// followsWholeSlack is set if ConfirmOneProcessBefore was called.
	followsWholeSlack bool

	// seen remembers the non-idempotent and the fenced requests.
	seen         seenRequests
	callerCounts callerCounts
	// saturation detects whether the target slows down when it is nearly full, in
	// which case its limit is lowered.
	saturation saturationDetector
	failures   failureTracker
	crashes    crashTracker
	limiter    requestLimiter
	// nestedAt is when the latest nested call came.
	nestedAt time.Time
}

// New returns a gate without a target. It refuses every request until
// ApplyReport.
func New(settings Settings) *Gate {
	return &Gate{
		settings:       settings,
		slowdown:       NormalSlowdown,
		runTimes:       make(map[string]float64),
		arrivals:       window{span: coldWindow},
		firstSends:     window{span: settings.RetryBudget.Window},
		retries:        window{span: settings.RetryBudget.Window},
		directRetries:  window{span: settings.RetryBudget.Window},
		possibleReruns: window{span: settings.RetryBudget.Window},
		seen:           newSeenRequests(settings.DedupWindow),
		callerCounts:   make(callerCounts),
		saturation:     newSaturationDetector(),
		crashes:        newCrashTracker(),
	}
}

// Decision is the result of Admit. A request without a Refused reason and
// without a Waiter is admitted.
type Decision struct {
	// Refused is the reason of a refusal. Empty means that there was none.
	Refused Refusal
	// RetryAfter is how long the sender of a refused request should wait before
	// it retries. Zero means that it need not wait.
	RetryAfter time.Duration
	// Waiter is the place in the queue of a request that has to wait, or nil.
	Waiter *Waiter
}

// Admitted reports whether the request may be sent to the target now.
func (d Decision) Admitted() bool { return d.Refused == "" && d.Waiter == nil }

// Admit decides whether a request for the target's service may be sent there now, has to
// wait or is refused. The caller ends an admitted request with one of Done, Cancelled,
// ConnectionLost, Unsent and Shed.
func (g *Gate) Admit(req Request, now time.Time) Decision {
	if refused, after := g.precheck(req, now); refused != "" {
		return Decision{Refused: refused, RetryAfter: after}
	}
	req.nested = g.callerCounts.observe(req.Kind, req.Caller)
	if req.nested {
		g.nestedAt = now
	}
	starts := g.allHeld(now) && g.hasCapacity(req, now)
	switch {
	case req.HasAlternatives && g.slowdown >= slowThreshold:
		return Decision{Refused: RefusedSlow}
	case req.HasAlternatives && !starts:
		return Decision{Refused: RefusedBusy}
	}
	if req.NonIdempotent {
		g.seen.begin(req.ID)
	}
	if starts {
		g.recordStart(req, now)
		return Decision{}
	}
	waiter := &Waiter{Request: req, Result: make(chan Refusal, 1)}
	g.enqueue(waiter, now)
	g.dispatch(now)
	select {
	case refused := <-waiter.Result:
		return Decision{Refused: refused, RetryAfter: waiter.RetryAfter}
	default:
		return Decision{Waiter: waiter}
	}
}

// precheck returns the reason to refuse a request that does not depend on the
// load, or an empty Refusal.
func (g *Gate) precheck(req Request, now time.Time) (Refusal, time.Duration) {
	switch {
	case g.target == nil:
		return RefusedNoTarget, downRetryAfter
	case g.Draining():
		return RefusedDraining, minRetryAfter
	case g.dataCentreOut:
		return RefusedDataCentreOut, minRetryAfter
	case g.down:
		return RefusedDown, downRetryAfter
	case !req.Deadline.After(now):
		return RefusedLate, minRetryAfter
	case req.Retry && !g.allowsRetry(req, now):
		return RefusedRetryBudget, g.budgetRetryAfter(now)
	}
	if req.NonIdempotent {
		return g.seen.precheck(req.ID)
	}
	if g.seen.fenced(req.ID) {
		return RefusedFenced, 0
	}
	return "", 0
}

// allowsRetry reports whether the budget allows one more retry. A request that
// runs again repeats its nested calls too, so retries of requests that may have
// run are also limited to possibleRerunShare of the budget, and retries at a target of
// nested calls to directRetryShare.
func (g *Gate) allowsRetry(req Request, now time.Time) bool {
	budget := g.budget(now)
	if req.MayHaveRun && !allowsOneMore(budget, g.possibleReruns.count(now), possibleRerunShare) {
		return false
	}
	receivesNested := !g.nestedAt.IsZero() && now.Sub(g.nestedAt) <= g.settings.RetryBudget.Window
	if receivesNested && !allowsOneMore(budget, g.directRetries.count(now), directRetryShare) {
		return false
	}
	return allowsOneMore(budget, g.retries.count(now), 1)
}

// recordStart counts a request that is sent to the target.
func (g *Gate) recordStart(req Request, now time.Time) {
	g.running++
	g.crashes.begin(&req)
	g.limiter.take(now)
	g.arrivals.add(now)
	if req.Retry {
		g.runningRetries++
		g.directRetries.add(now)
	}
	if req.MayHaveRun {
		g.possibleReruns.add(now)
	}
	if req.Retry || req.CausedByRetry {
		g.retries.add(now)
	} else {
		g.firstSends.add(now)
	}
}

// Done ends a request that reached the target and was answered or failed there.
// Took is the time until the answer, or zero if there was none.
func (g *Gate) Done(req Request, took time.Duration, failed bool, now time.Time) {
	if took > 0 {
		g.crashes.answered(now.Add(-took))
	}
	if !failed {
		g.recordRunTime(req.Kind, took)
	}
	g.failures.observe(failed, now)
	g.failures.consecutiveBreaks = 0
	g.release(req)
	g.arrived(req, now)
	g.dispatch(now)
}

// ObserveRun records the run time of a run that succeeded. Began is the state of
// the gate when the request was sent to the target. Runs at a slow target are
// ignored.
func (g *Gate) ObserveRun(kind string, took time.Duration, began State) {
	if began.Slowdown < slowThreshold && g.slowdown < slowThreshold {
		g.saturation.observe(kind, took, began.Running, g.target.Slots)
	}
}

// Cancelled ends a request that reached the target and was given up by its
// sender.
func (g *Gate) Cancelled(req Request, now time.Time) {
	g.release(req)
	g.arrived(req, now)
	g.dispatch(now)
}

// ConnectionLost ends a request whose connection to the target broke. It reports
// whether the target was marked down because connections keep breaking.
func (g *Gate) ConnectionLost(req Request, now time.Time) bool {
	g.failures.observe(true, now)
	g.release(req)
	g.crashes.broke(&req, now)
	g.arrived(req, now)
	if g.failures.connectionBroke() && !g.down {
		g.MarkDown(now)
		return true
	}
	g.dispatch(now)
	return false
}

// Unsent ends an admitted request that did not reach the target, or that the
// target refused to run. It may be admitted again later.
func (g *Gate) Unsent(req Request, now time.Time) {
	g.release(req)
	g.forgetUnsent(req)
	g.dispatch(now)
}

// Shed ends a request that the target refused to run although the gate counted a
// free slot. It counts as a failure, since the target will probably refuse the
// next requests too.
func (g *Gate) Shed(req Request, now time.Time) {
	g.failures.observe(true, now)
	g.Unsent(req, now)
}

// arrived records the end of a request that reached the target.
func (g *Gate) arrived(req Request, now time.Time) {
	if req.NonIdempotent {
		g.seen.end(req.ID, req.Deadline, now)
	}
}

// release frees the slot of a request.
func (g *Gate) release(req Request) {
	g.running = max(0, g.running-1)
	g.crashes.end(&req)
	if req.Retry {
		g.runningRetries = max(0, g.runningRetries-1)
	}
}

// RetryShare returns the share of retries among the requests in flight, from 0
// to 1. It estimates how probably a nested call of the target was caused by a
// retry.
func (g *Gate) RetryShare() float64 {
	return float64(g.runningRetries) / float64(max(1, g.running))
}

// Tick forgets requests that nobody can ask for any more, and admits waiters that may
// start by now, such as those at a cold target. It has to be called periodically.
func (g *Gate) Tick(now time.Time) {
	g.seen.expire(now)
	g.dispatch(now)
}

// Fence prevents a non-idempotent request from being admitted within
// DedupWindow. It returns false if the request was admitted or waits here, unless it
// was not sent or the target refused to run it, as long as its sender may ask.
func (g *Gate) Fence(id string, now time.Time) bool { return g.seen.fence(id, now) }
