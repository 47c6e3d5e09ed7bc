package gate

import (
	"math"
	"slices"
	"time"
)

// Settings of a Gate.
type Settings struct {
	// QueueShare bounds the queue as a share of the slots.
	QueueShare float64
	// CallShare is the share of the slots that is kept for calls of targets.
	CallShare float64
	// Repeats bounds the sends beyond the first.
	Repeats RepeatBudget
	// Remember is how long the ids of requests that must not run twice are kept.
	Remember time.Duration
}

const (
	// coldSpan is the span in which arrivals at a cold target are counted.
	coldSpan = time.Second
	// usualSpeed is the speed figure of a target that is not slowed down.
	usualSpeed = 100
	// paceWeight is the weight of the newest run in the mean of a kind.
	paceWeight = 0.1
	// defaultPace stands in for the run time of a kind that has not run yet.
	defaultPace = 100 * time.Millisecond
	// nestedMemory is how long slots are kept for calls of targets after the last
	// one came.
	nestedMemory = 5 * time.Second
	// queueMargin is how many mean run times a request in the queue needs to have
	// left: with one, half of the runs that a full queue starts would end late.
	queueMargin = 1.3
	// slowFrom is the speed figure from which on a movable request is sent on: a
	// run that starts now takes longer by far than one more hop.
	slowFrom = 250
	// spellHold is how long requests wait for a slow spell to end: two or three
	// spells, and less than a slow run adds. Calls of targets are too short for it.
	spellHold = 400 * time.Millisecond
	// minRetryAfter is the shortest time that a refused caller is sent away for.
	minRetryAfter = 50 * time.Millisecond
	// downRetryAfter is when to come back to a target that can't be reached,
	// about the time between two of its reports.
	downRetryAfter = time.Second
)

// Gate is the state of one gate. It is not safe for concurrent use.
type Gate struct {
	settings Settings

	target    *Report
	coldRate  float64
	coldFor   time.Duration
	coldUntil time.Time
	down      bool
	out       bool
	// departed holds the lives that said that they leave for good, by instance,
	// with the start of the life in Unix milliseconds.
	departed map[string]int64

	speed int
	// slowSince is when the target turned slow.
	slowSince time.Time
	running   int
	// runningRepeats counts those of them that are repeats.
	runningRepeats int
	queue          []*Ticket
	// paces holds the mean run time by kind of request, in seconds at usual speed.
	paces map[string]float64
	// mean is the mean run time of all kinds, in seconds.
	mean float64

	arrivals window
	firsts   window
	repeats  window
	reruns   window
	peers    int

	seen    map[string]trace
	callers callers
	// crowding tells whether the target slows down when it is nearly full, in
	// which case it gets fewer requests at once.
	crowding crowding
	// failing tells how many of the target's runs fail.
	failing failing
	// nestedAt is when a call of a target came last.
	nestedAt time.Time
}

// trace is what is remembered of a request that must not run twice.
type trace struct {
	at     time.Time
	fenced bool
}

// New returns a gate without a target.
func New(settings Settings) *Gate {
	return &Gate{
		settings: settings,
		speed:    usualSpeed,
		paces:    make(map[string]float64),
		arrivals: window{span: coldSpan},
		firsts:   window{span: settings.Repeats.Window},
		repeats:  window{span: settings.Repeats.Window},
		reruns:   window{span: settings.Repeats.Window},
		peers:    1,
		seen:     make(map[string]trace),
		callers:  make(callers),
		crowding: newCrowding(),
		departed: make(map[string]int64),
	}
}

// Ticket is a request that waits for room.
type Ticket struct {
	// Work is the request.
	Work Work
	// Result receives the end of the wait, once: an empty Refusal lets the
	// request pass.
	Result chan Refusal
	// RetryAfter is when a refused request may come back. Set before Result.
	RetryAfter time.Duration
}

// Decision answers an Offer. Without a refusal or a ticket the request passes.
type Decision struct {
	// Refused says why the request may not pass, if it may not.
	Refused Refusal
	// RetryAfter is when a refused request may come back.
	RetryAfter time.Duration
	// Wait is the ticket of a request that has to wait, or nil.
	Wait *Ticket
}

// Passed reports whether the request may go to the target now.
func (d Decision) Passed() bool { return d.Refused == "" && d.Wait == nil }

// Offer asks for a request to pass. A request that passes has to be ended by
// Done, or by Unsent if it did not reach the target.
func (g *Gate) Offer(work Work, now time.Time) Decision {
	if refused, after := g.closedTo(work, now); refused != "" {
		return Decision{Refused: refused, RetryAfter: after}
	}
	work.nested = g.callers.nested(work.Kind, work.Caller)
	if work.nested {
		g.nestedAt = now
	}
	starts := len(g.queue) == 0 && g.room(work, now)
	switch {
	case work.Movable && g.speed >= slowFrom:
		return Decision{Refused: RefusedSlow}
	case work.Movable && !starts:
		return Decision{Refused: RefusedBusy}
	}
	if work.Once {
		g.seen[work.ID] = trace{at: now}
	}
	if starts {
		g.pass(work, now)
		return Decision{}
	}
	ticket := &Ticket{Work: work, Result: make(chan Refusal, 1)}
	g.enqueue(ticket, now)
	g.advance(now)
	select {
	case refused := <-ticket.Result:
		return Decision{Refused: refused, RetryAfter: ticket.RetryAfter}
	default:
		return Decision{Wait: ticket}
	}
}

// closedTo returns why the gate is closed to the request whatever its load.
func (g *Gate) closedTo(work Work, now time.Time) (Refusal, time.Duration) {
	switch {
	case g.target == nil:
		return RefusedNoTarget, downRetryAfter
	case g.Leaving():
		return RefusedLeaving, minRetryAfter
	case g.out:
		return RefusedOut, minRetryAfter
	case g.down:
		return RefusedDown, downRetryAfter
	case !work.Deadline.After(now):
		return RefusedLate, minRetryAfter
	case work.Repeat && !g.allowsRepeat(work, now):
		return RefusedBudget, minRetryAfter
	}
	if old, ok := g.seen[work.ID]; ok && work.Once {
		if old.fenced {
			return RefusedFenced, 0
		}
		return RefusedTwice, 0
	}
	return "", 0
}

// allowsRepeat reports whether the budget has room for a repeat. Requests that
// run again make their calls again, so they get a part of it only.
func (g *Gate) allowsRepeat(work Work, now time.Time) bool {
	firsts := g.firsts.count(now)
	if work.Rerun && !g.settings.Repeats.allows(firsts, g.reruns.count(now), g.peers, rerunShare) {
		return false
	}
	return g.settings.Repeats.allows(firsts, g.repeats.count(now), g.peers, 1)
}

// Limit returns how many requests may run at once.
func (g *Gate) Limit() int {
	if g.target == nil {
		return 0
	}
	limit := float64(g.target.Slots)
	if g.crowding.spared() {
		limit *= crowdedFrom
	}
	return max(1, int(limit))
}

// cold reports whether the target is cold.
func (g *Gate) cold(now time.Time) bool { return now.Before(g.coldUntil) }

// coldLimit returns how many requests a cold target may get in a second.
func (g *Gate) coldLimit() int { return max(1, int(g.coldRate)) }

// reserve returns how many slots are kept for calls of targets. A call that is
// refused spoils the run that waits for it, and most calls are short.
func (g *Gate) reserve(now time.Time) int {
	if g.nestedAt.IsZero() || now.Sub(g.nestedAt) > nestedMemory {
		return 0
	}
	return int(math.Ceil(g.settings.CallShare * float64(g.Limit())))
}

// room reports whether the request may start now.
func (g *Gate) room(work Work, now time.Time) bool {
	limit := g.Limit()
	if !work.nested {
		limit = max(1, limit-g.reserve(now))
	}
	if g.running >= limit || !work.nested && g.slowSpell(now) {
		return false
	}
	return !g.cold(now) || g.arrivals.count(now) < g.coldLimit()
}

// slowSpell reports whether the target has just turned slow. Most such spells
// are short, and what starts in one is slow to its end.
func (g *Gate) slowSpell(now time.Time) bool {
	return g.speed >= slowFrom && now.Sub(g.slowSince) < spellHold
}

// pass counts a request that goes to the target.
func (g *Gate) pass(work Work, now time.Time) {
	g.running++
	g.arrivals.add(now)
	if work.Repeat {
		g.runningRepeats++
	}
	if work.Rerun {
		g.reruns.add(now)
	}
	if work.Repeat || work.Inherited {
		g.repeats.add(now)
	} else {
		g.firsts.add(now)
	}
}

// enqueue puts a ticket behind those that are as urgent.
func (g *Gate) enqueue(ticket *Ticket, now time.Time) {
	at := len(g.queue)
	for at > 0 && moreUrgent(&ticket.Work, &g.queue[at-1].Work) {
		at--
	}
	g.queue = slices.Insert(g.queue, at, ticket)
	g.refuseHopeless(now)
}

// moreUrgent reports whether a goes before b: first what others wait for, then
// the more urgent rank, then what is due earlier.
func moreUrgent(a, b *Work) bool {
	if a.nested != b.nested {
		return a.nested
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.Due.Before(b.Due)
}

// refuseHopeless refuses those in the queue that would start too late, from
// the back, so that each refusal brings the others forward.
func (g *Gate) refuseHopeless(now time.Time) {
	limit := max(1, int(float64(g.target.Slots)*g.settings.QueueShare))
	for i := len(g.queue) - 1; i >= 0; i-- {
		ticket := g.queue[i]
		start := now.Add(g.wait(i, now))
		needed := time.Duration(queueMargin * float64(g.pace(ticket.Work.Kind)))
		if i < limit && !start.Add(needed).After(ticket.Work.latest()) {
			continue
		}
		g.queue = slices.Delete(g.queue, i, i+1)
		g.refuse(ticket, g.fullReason(now), g.wait(len(g.queue), now))
	}
}

func (g *Gate) fullReason(now time.Time) Refusal {
	if g.cold(now) {
		return RefusedCold
	}
	return RefusedFull
}

// refuse ends a wait.
func (g *Gate) refuse(ticket *Ticket, reason Refusal, after time.Duration) {
	if ticket.Work.Once {
		delete(g.seen, ticket.Work.ID)
	}
	ticket.RetryAfter = max(after, minRetryAfter)
	ticket.Result <- reason
}

// wait estimates the time until a request with that many ahead of it starts.
func (g *Gate) wait(ahead int, now time.Time) time.Duration {
	perStart := g.mean / float64(max(1, g.Limit()))
	if g.mean == 0 {
		perStart = defaultPace.Seconds() / float64(max(1, g.Limit()))
	}
	estimate := time.Duration(float64(ahead+1) * perStart * float64(time.Second))
	if g.cold(now) {
		spacing := time.Duration(float64(ahead) / float64(g.coldLimit()) * float64(time.Second))
		estimate = max(estimate, g.arrivals.free(now, g.coldLimit())+spacing)
	}
	return estimate
}

// pace returns the expected run time of a kind of request.
func (g *Gate) pace(kind string) time.Duration {
	seconds, ok := g.paces[kind]
	if !ok {
		return defaultPace
	}
	return time.Duration(seconds * float64(time.Second))
}

// Done ends a request that reached the target. Took is how long it ran; a
// failed one says nothing about the pace.
func (g *Gate) Done(work Work, took time.Duration, failed bool, now time.Time) {
	if !failed {
		g.learn(work.Kind, took)
	}
	g.failing.ran(failed, now)
	g.failing.broken = 0
	g.ended(work)
	g.advance(now)
}

// Ran takes in how long a run took that succeeded, and the state of the gate
// when it was sent to the target. Runs at a slow target are left out.
func (g *Gate) Ran(kind string, took time.Duration, began State) {
	if began.Speed < slowFrom && g.speed < slowFrom {
		g.crowding.ran(kind, took, began.Running, g.target.Slots)
	}
}

// Cancelled ends a request that reached the target and was given up.
func (g *Gate) Cancelled(work Work, now time.Time) {
	g.ended(work)
	g.advance(now)
}

// Lost ends a request whose connection broke. It reports whether the target is
// down, since connections keep breaking.
func (g *Gate) Lost(work Work, now time.Time) bool {
	g.failing.ran(true, now)
	g.ended(work)
	if g.failing.lost() && !g.down {
		g.Broke(now)
		return true
	}
	g.advance(now)
	return false
}

// Unsent ends a request that passed and did not reach the target.
func (g *Gate) Unsent(work Work, now time.Time) {
	g.ended(work)
	if work.Once {
		delete(g.seen, work.ID)
	}
	g.advance(now)
}

func (g *Gate) ended(work Work) {
	g.running = max(0, g.running-1)
	if work.Repeat {
		g.runningRepeats = max(0, g.runningRepeats-1)
	}
}

// RepeatShare returns the share of repeats among the requests that run. A call
// that the target makes belongs to one of them.
func (g *Gate) RepeatShare() float64 {
	return float64(g.runningRepeats) / float64(max(1, g.running))
}

func (g *Gate) learn(kind string, took time.Duration) {
	old, ok := g.paces[kind]
	if !ok {
		g.paces[kind] = took.Seconds()
	} else {
		g.paces[kind] = old + paceWeight*(took.Seconds()-old)
	}
	if g.mean == 0 {
		g.mean = took.Seconds()
	}
	g.mean += paceWeight * (took.Seconds() - g.mean)
}

// Cancel takes a request out of the queue. It reports whether it was there; if
// not, its ticket has a result.
func (g *Gate) Cancel(ticket *Ticket) bool {
	at := slices.Index(g.queue, ticket)
	if at < 0 {
		return false
	}
	g.queue = slices.Delete(g.queue, at, at+1)
	delete(g.seen, ticket.Work.ID)
	return true
}

// advance lets waiting requests pass while there is room.
func (g *Gate) advance(now time.Time) {
	if len(g.queue) == 0 {
		return
	}
	if refused, after := g.closedTo(Work{Deadline: now.Add(time.Hour)}, now); refused != "" {
		g.refuseAll(refused, after)
		return
	}
	for len(g.queue) > 0 && g.room(g.queue[0].Work, now) {
		ticket := g.queue[0]
		g.queue = slices.Delete(g.queue, 0, 1)
		if !ticket.Work.Deadline.After(now) {
			g.refuse(ticket, RefusedLate, minRetryAfter)
			continue
		}
		g.pass(ticket.Work, now)
		ticket.Result <- ""
	}
	g.refuseHopeless(now)
}

func (g *Gate) refuseAll(reason Refusal, after time.Duration) {
	queue := g.queue
	g.queue = nil
	for _, ticket := range queue {
		g.refuse(ticket, reason, after)
	}
}

// Tick lets time pass: a cold target takes one more now and then, and ids that
// are no longer of use are forgotten.
func (g *Gate) Tick(now time.Time) {
	for id, t := range g.seen {
		if now.Sub(t.at) > g.settings.Remember {
			delete(g.seen, id)
		}
	}
	g.advance(now)
}

// Fence makes sure that a request that was not here yet never runs. It returns
// false if the request was here, so that it may run or have run.
func (g *Gate) Fence(id string, now time.Time) bool {
	if old, ok := g.seen[id]; ok {
		return old.fenced
	}
	g.seen[id] = trace{at: now, fenced: true}
	return true
}
