package gate

import (
	"slices"
	"time"
)

// queueMargin is how much time a waiter must have left when it starts, in mean
// run times of its kind. With 1, half of the runs that a full queue starts would
// end late.
const queueMargin = 1.3

// Waiter is a request in the queue.
type Waiter struct {
	// Request is the request that waits.
	Request Request
	// Result receives the end of the wait, once. An empty Refusal means that the
	// request is admitted.
	Result chan Refusal
	// RetryAfter is how long the sender of a refused request should wait before it
	// retries. It is set before the refusal is sent on Result.
	RetryAfter time.Duration
}

// enqueue inserts a waiter behind those that are at least as urgent, and refuses
// all waiters that would start too late.
func (g *Gate) enqueue(waiter *Waiter, now time.Time) {
	at := len(g.queue)
	for at > 0 && moreUrgent(&waiter.Request, &g.queue[at-1].Request) {
		at--
	}
	g.queue = slices.Insert(g.queue, at, waiter)
	g.refuseTooLate(now)
}

// moreUrgent reports whether a goes before b: nested calls first, then the lower
// OrganisationPriority, then the lower Priority, then the earlier Due.
func moreUrgent(a, b *Request) bool {
	if a.nested != b.nested {
		return a.nested
	}
	if a.OrganisationPriority != b.OrganisationPriority {
		return a.OrganisationPriority < b.OrganisationPriority
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Due.Before(b.Due)
}

// refuseTooLate refuses the waiters that would start too late or exceed the
// length of the queue. It begins at the back, since each refusal shortens the
// wait of the others.
func (g *Gate) refuseTooLate(now time.Time) {
	limit := max(1, int(float64(g.target.Slots)*g.settings.QueueShare))
	for i := len(g.queue) - 1; i >= 0; i-- {
		waiter := g.queue[i]
		start := now.Add(g.estimateWait(i, now) + g.suspectWait(i))
		needed := time.Duration(queueMargin * float64(g.expectedRunTime(waiter.Request.Kind)))
		if i < limit && !start.Add(needed).After(waiter.Request.latestUseful()) {
			continue
		}
		g.queue = slices.Delete(g.queue, i, i+1)
		g.refuse(waiter, g.fullReason(now), g.estimateWait(len(g.queue), now))
	}
}

// fullReason returns the reason to refuse a request for lack of capacity.
func (g *Gate) fullReason(now time.Time) Refusal {
	switch {
	case g.cold(now):
		return RefusedCold
	case g.limiter.rate > 0:
		return RefusedLimited
	}
	return RefusedFull
}

// refuse ends the wait of a waiter that was taken out of the queue.
func (g *Gate) refuse(waiter *Waiter, reason Refusal, after time.Duration) {
	g.forgetUnsent(waiter.Request)
	waiter.RetryAfter = max(after, minRetryAfter)
	waiter.Result <- reason
}

// estimateWait estimates the time until a request starts that has ahead waiters
// before it.
func (g *Gate) estimateWait(ahead int, now time.Time) time.Duration {
	perStart := g.meanRunTime / float64(max(1, g.Limit()))
	if g.meanRunTime == 0 {
		perStart = defaultRunTime.Seconds() / float64(max(1, g.Limit()))
	}
	estimate := time.Duration(float64(ahead+1) * perStart * float64(time.Second))
	if g.cold(now) {
		spacing := time.Duration(float64(ahead) / float64(g.coldLimit()) * float64(time.Second))
		estimate = max(estimate, g.coldDelay(now)+spacing)
	}
	return max(estimate, g.limiter.delay(ahead, now))
}

// Cancel takes a waiter out of the queue. It returns false if the waiter is not
// in the queue; then its Result holds the end of the wait.
func (g *Gate) Cancel(waiter *Waiter) bool {
	at := slices.Index(g.queue, waiter)
	if at < 0 {
		return false
	}
	g.queue = slices.Delete(g.queue, at, at+1)
	g.forgetUnsent(waiter.Request)
	return true
}

// forgetUnsent forgets a request that was not sent to the target.
func (g *Gate) forgetUnsent(req Request) {
	if req.NonIdempotent {
		g.seen.remove(req.ID)
	}
}

// dispatch admits waiters while there is capacity and refuses those that would
// start too late. If the gate is closed, it refuses all of them.
func (g *Gate) dispatch(now time.Time) {
	if len(g.queue) == 0 {
		return
	}
	if refused, after := g.precheck(Request{Deadline: now.Add(time.Hour)}, now); refused != "" {
		g.refuseAll(refused, after)
		return
	}
	for next := g.nextToStart(now); next >= 0; next = g.nextToStart(now) {
		waiter := g.queue[next]
		g.queue = slices.Delete(g.queue, next, next+1)
		if !waiter.Request.Deadline.After(now) {
			g.refuse(waiter, RefusedLate, minRetryAfter)
			continue
		}
		g.recordStart(waiter.Request, now)
		waiter.Result <- ""
	}
	g.refuseTooLate(now)
}

// nextToStart returns the index of the first waiter if it may start, or -1. Suspects that
// are held are passed over.
func (g *Gate) nextToStart(now time.Time) int {
	for i, waiter := range g.queue {
		if g.held(&waiter.Request, now) {
			continue
		}
		if g.hasCapacity(waiter.Request, now) {
			return i
		}
		return -1
	}
	return -1
}

// allHeld reports whether only suspects wait that are held, or nobody does.
func (g *Gate) allHeld(now time.Time) bool {
	for _, waiter := range g.queue {
		if !g.held(&waiter.Request, now) {
			return false
		}
	}
	return true
}

// suspectWait estimates how long the waiter at an index has to wait for other suspects,
// or returns zero if it is none.
func (g *Gate) suspectWait(at int) time.Duration {
	if !g.queue[at].Request.Suspect {
		return 0
	}
	ahead := g.crashes.suspects
	for _, waiter := range g.queue[:at] {
		if waiter.Request.Suspect {
			ahead++
		}
	}
	return time.Duration(ahead) * g.expectedRunTime(g.queue[at].Request.Kind)
}

func (g *Gate) refuseAll(reason Refusal, after time.Duration) {
	queue := g.queue
	g.queue = nil
	for _, waiter := range queue {
		g.refuse(waiter, reason, after)
	}
}
