package gate

import (
	"slices"
	"time"
)

// queueMargin is how many mean run times a request in the queue needs to have
// left: with one, half of the runs that a full queue starts would end late.
const queueMargin = 1.3

// Waiter is a request that waits for room.
type Waiter struct {
	// Request is the request.
	Request Request
	// Result receives the end of the wait, once: an empty Refusal lets the
	// request pass.
	Result chan Refusal
	// RetryAfter is when a refused request may come back. Set before Result.
	RetryAfter time.Duration
}

// enqueue puts a ticket behind those that are as urgent.
func (g *Gate) enqueue(ticket *Waiter, now time.Time) {
	at := len(g.queue)
	for at > 0 && moreUrgent(&ticket.Request, &g.queue[at-1].Request) {
		at--
	}
	g.queue = slices.Insert(g.queue, at, ticket)
	g.refuseTooLate(now)
}

// moreUrgent reports whether a goes before b: first what others wait for, then
// the more urgent rank, then what is due earlier.
func moreUrgent(a, b *Request) bool {
	if a.nested != b.nested {
		return a.nested
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Due.Before(b.Due)
}

// refuseTooLate refuses those in the queue that would start too late, from
// the back, so that each refusal brings the others forward.
func (g *Gate) refuseTooLate(now time.Time) {
	limit := max(1, int(float64(g.target.Slots)*g.settings.QueueShare))
	for i := len(g.queue) - 1; i >= 0; i-- {
		ticket := g.queue[i]
		start := now.Add(g.estimateWait(i, now))
		needed := time.Duration(queueMargin * float64(g.expectedRunTime(ticket.Request.Kind)))
		if i < limit && !start.Add(needed).After(ticket.Request.latestUseful()) {
			continue
		}
		g.queue = slices.Delete(g.queue, i, i+1)
		g.refuse(ticket, g.fullReason(now), g.estimateWait(len(g.queue), now))
	}
}

func (g *Gate) fullReason(now time.Time) Refusal {
	if g.cold(now) {
		return RefusedCold
	}
	return RefusedFull
}

// refuse ends a wait.
func (g *Gate) refuse(ticket *Waiter, reason Refusal, after time.Duration) {
	if ticket.Request.NonIdempotent {
		delete(g.seen, ticket.Request.ID)
	}
	ticket.RetryAfter = max(after, minRetryAfter)
	ticket.Result <- reason
}

// estimateWait estimates the time until a request with that many ahead of it starts.
func (g *Gate) estimateWait(ahead int, now time.Time) time.Duration {
	perStart := g.meanRunTime / float64(max(1, g.Limit()))
	if g.meanRunTime == 0 {
		perStart = defaultRunTime.Seconds() / float64(max(1, g.Limit()))
	}
	estimate := time.Duration(float64(ahead+1) * perStart * float64(time.Second))
	if g.cold(now) {
		spacing := time.Duration(float64(ahead) / float64(g.coldLimit()) * float64(time.Second))
		estimate = max(estimate, g.arrivals.timeUntilBelow(now, g.coldLimit())+spacing)
	}
	return estimate
}

// Cancel takes a request out of the queue. It reports whether it was there; if
// not, its ticket has a result.
func (g *Gate) Cancel(ticket *Waiter) bool {
	at := slices.Index(g.queue, ticket)
	if at < 0 {
		return false
	}
	g.queue = slices.Delete(g.queue, at, at+1)
	delete(g.seen, ticket.Request.ID)
	return true
}

// dispatch lets waiting requests pass while there is room.
func (g *Gate) dispatch(now time.Time) {
	if len(g.queue) == 0 {
		return
	}
	if refused, after := g.precheck(Request{Deadline: now.Add(time.Hour)}, now); refused != "" {
		g.refuseAll(refused, after)
		return
	}
	for len(g.queue) > 0 && g.hasCapacity(g.queue[0].Request, now) {
		ticket := g.queue[0]
		g.queue = slices.Delete(g.queue, 0, 1)
		if !ticket.Request.Deadline.After(now) {
			g.refuse(ticket, RefusedLate, minRetryAfter)
			continue
		}
		g.recordStart(ticket.Request, now)
		ticket.Result <- ""
	}
	g.refuseTooLate(now)
}

func (g *Gate) refuseAll(reason Refusal, after time.Duration) {
	queue := g.queue
	g.queue = nil
	for _, ticket := range queue {
		g.refuse(ticket, reason, after)
	}
}
