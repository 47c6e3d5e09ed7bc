package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"verbenatrestle/connection/wire"
	"verbenatrestle/process/fleet"
	"verbenatrestle/process/quota"
	"verbenatrestle/request"
	"verbenatrestle/version"
)

// Wire kinds of a quota.Ask and a quota.Grant.
const (
	kindQuotaAsk   wire.Kind = 64
	kindQuotaGrant wire.Kind = 65
)

const (
	// coordinatorCacheTime is how long the coordinator of an organisation is kept without
	// looking at the peers again.
	coordinatorCacheTime = 100 * time.Millisecond
	// agreementTime is how long a node counts the requests of an organisation after the next
	// node has agreed that the former coordinator is lost.
	agreementTime = 500 * time.Millisecond
	// retryAfterSpread is the largest random part of the Retry-After of requests beyond
	// a quota, as a share of the rest, so that they do not all return at once.
	retryAfterSpread = 0.5
)

// quotaKeeper enforces the quotas of organisations together with the other nodes. It is safe
// for concurrent use.
type quotaKeeper struct {
	node *Node
	// wake receives a value when messages may be due earlier than run expects.
	wake chan struct{}

	mu          sync.Mutex
	ingress     *quota.Ingress
	coordinator *quota.Coordinator
	// coordinators caches the coordinators of organisations.
	coordinators map[string]cachedCoordinator
	exclusions   *quota.Exclusions
	// knownNodes is the number of nodes of the system, this one included.
	knownNodes int
}

type cachedCoordinator struct {
	fleet.Coordinator
	until time.Time
	// agreedUntil is when Relay has to agree again that this node is the
	// coordinator.
	agreedUntil time.Time
}

// role returns the part of this node.
func (c *cachedCoordinator) role(now time.Time) quota.Role {
	return quota.Role{Other: c.Node != "", Unsure: c.Relay.Node != "" && !now.Before(c.agreedUntil)}
}

func newQuotaKeeper(n *Node) *quotaKeeper {
	return &quotaKeeper{
		node: n, wake: make(chan struct{}, 1), ingress: quota.NewIngress(n.peers.incarnation), coordinator: quota.NewCoordinator(),
		coordinators: make(map[string]cachedCoordinator), exclusions: quota.NewExclusions(),
	}
}

// limitOf returns the quota of an organisation in a configuration, and false if it has none.
func limitOf(config *configSnapshot, organisation string) (quota.Limit, bool) {
	if config.routes == nil || organisation == "" {
		return quota.Limit{}, false
	}
	q := config.routes.Quota(organisation)
	return quota.Limit(q), q.Limited()
}

// acquire admits a request of a caller, or returns why it is not admitted. It may wait for an
// answer of the coordinator, as long as time is left to run the request before its deadline.
func (q *quotaKeeper) acquire(ctx context.Context, id string, caller version.Caller, config *configSnapshot, deadline time.Time) *request.Failure {
	limit, limited := limitOf(config, caller.Organisation)
	if !limited {
		return nil
	}
	answer := make(chan quota.Result, 1)
	q.mu.Lock()
	now := time.Now()
	q.coordinatorOf(caller.Organisation, now) // for a change of the coordinator
	result, done := q.ingress.Take(caller.Organisation, limit, q.knownNodes, answer, now)
	if !done {
		q.sendDue()
	}
	q.mu.Unlock()
	q.wakeRun()
	if !done {
		result = q.await(ctx, caller.Organisation, answer, deadline.Sub(now))
	}
	if ctx.Err() != nil {
		if result.Decision == quota.Admitted {
			q.release(caller)
		}
		return callerLeft()
	}
	if result.Decision == quota.Admitted {
		return nil
	}
	q.node.events.beyondQuota(id, caller, limit, config.number(), result)
	return quotaFailure(result)
}

// await returns the result for a request that has to wait. Remaining is the time until the
// deadline of the request.
func (q *quotaKeeper) await(ctx context.Context, organisation string, answer chan quota.Result, remaining time.Duration) quota.Result {
	timer := time.NewTimer(remaining - min(minRetryTime, remaining/2))
	defer timer.Stop()
	select {
	case result := <-answer:
		return result
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ingress.GiveUp(organisation, answer)
}

// quotaFailure returns the failure of a request that is not admitted.
func quotaFailure(result quota.Result) *request.Failure {
	retryAfter := result.RetryAfter + time.Duration(retryAfterSpread*rand.Float64()*float64(result.RetryAfter))
	if result.Decision != quota.Exceeded {
		return &request.Failure{
			Status: http.StatusServiceUnavailable, Title: "the quota of the organisation can't be checked",
			Outcome: request.NotRun, Step: "quota", RetryAfter: retryAfter,
		}
	}
	return &request.Failure{
		Status: http.StatusTooManyRequests, Title: "the quota of the organisation is used up",
		Outcome: request.NotRun, Step: "quota", RetryAfter: retryAfter,
	}
}

// release gives back what a request did not use that reached no target.
func (q *quotaKeeper) release(caller version.Caller) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ingress.Return(caller.Organisation, time.Now())
}

// wakeRun makes run look for due messages. It never blocks.
func (q *quotaKeeper) wakeRun() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run sends messages when they are due until the context ends.
func (q *quotaKeeper) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		case <-timer.C:
		}
		q.mu.Lock()
		next := q.sendDue()
		q.mu.Unlock()
		wait := time.Hour
		if !next.IsZero() {
			wait = max(time.Until(next), time.Millisecond)
		}
		timer.Reset(wait)
	}
}

// sendDue sends the messages that are due, and returns when it has to be called again, or
// zero. The caller holds the lock.
func (q *quotaKeeper) sendDue() time.Time {
	for {
		now := time.Now()
		asks, silent, next := q.ingress.Due(q.knownNodes, now)
		for _, organisation := range silent {
			q.exclude(organisation, now)
		}
		if len(asks) > 0 {
			q.probe(now)
		}
		answered := false
		for i := range asks {
			answered = q.send(&asks[i], now) || answered
		}
		if !answered {
			return next
		}
	}
}

// coordinatorOf returns the coordinator of an organisation. The caller holds the lock.
func (q *quotaKeeper) coordinatorOf(organisation string, now time.Time) cachedCoordinator {
	cached := q.coordinators[organisation]
	if now.Before(cached.until) {
		return cached
	}
	self, configured := q.node.settings().Name, q.node.config.snapshot().routes != nil
	excluded := func(node string) bool {
		return node == self && !configured || q.exclusions.Excluded(node, now)
	}
	found := q.node.fleet.Coordinator(organisation, self, excluded, now)
	next := cachedCoordinator{Coordinator: found, until: now.Add(coordinatorCacheTime)}
	if found.Relay == cached.Relay {
		next.agreedUntil = cached.agreedUntil
	}
	q.coordinators[organisation] = next
	q.knownNodes = found.Known
	if found.Node != cached.Node || found.Incarnation != cached.Incarnation {
		q.ingress.CoordinatorChanged(organisation)
	}
	return next
}

// agreed records that the next node in the order does not reach the former coordinator either,
// since it has sent a message to this one. The caller holds the lock.
func (q *quotaKeeper) agreed(organisation string, now time.Time) {
	c := q.coordinatorOf(organisation, now)
	if c.role(now).Unsure {
		q.ingress.CoordinatorChanged(organisation)
	}
	c.agreedUntil = now.Add(agreementTime)
	q.coordinators[organisation] = c
}

// exclude handles the silence of the node that is asked about an organisation. If its loss would
// be noticed late, it is asked about none for a time. The caller holds the lock.
func (q *quotaKeeper) exclude(organisation string, now time.Time) {
	c := q.coordinators[organisation]
	node, statusOnly := c.Node, c.StatusOnly
	if node == "" {
		node, statusOnly = c.Relay.Node, c.Relay.StatusOnly
	}
	q.node.events.coordinatorSilent(organisation, node)
	if node == "" || !statusOnly {
		return
	}
	q.exclusions.Exclude(node, organisation, now)
	for other, c := range q.coordinators {
		if c.Node == node || c.Relay.Node == node {
			q.expire(other)
			q.coordinatorOf(other, now) // requests that wait for the node are moved
		}
	}
}

// expire makes the next call of coordinatorOf look at the peers again. The caller holds the lock.
func (q *quotaKeeper) expire(organisation string) {
	c := q.coordinators[organisation]
	c.until = time.Time{}
	q.coordinators[organisation] = c
}

// probe sends the excluded nodes the messages that are due. The caller holds the lock.
func (q *quotaKeeper) probe(now time.Time) {
	for _, probe := range q.exclusions.Probes(q.node.peers.incarnation, now) {
		if p, known := q.node.fleet.Peer(probe.Node); known {
			q.node.peers.write(p.DatagramAddress, &probe.Ask)
		}
	}
}

// answeredBy ends the exclusion of the node that has sent an answer. The caller holds the lock.
func (q *quotaKeeper) answeredBy(from string) {
	if !q.exclusions.Answered(q.node.fleet.NodeAt(from)) {
		return
	}
	for organisation := range q.coordinators {
		q.expire(organisation)
	}
}

// send sends a message to the coordinator, and reports whether that is this node, so that the
// message is answered. The caller holds the lock.
func (q *quotaKeeper) send(ask *quota.Ask, now time.Time) (answered bool) {
	c := q.coordinatorOf(ask.Organisation, now)
	switch quota.RouteOf(ask, c.role(now)) {
	case quota.PassToCoordinator:
		q.node.peers.write(c.DatagramAddress, ask)
		return false
	case quota.PassToRelay:
		q.node.peers.write(c.Relay.DatagramAddress, ask)
		return false
	}
	grant, ok := q.handle(ask, "", now)
	if ok {
		q.ingress.HandleGrant(grant, now)
	}
	return ok
}

// passOn passes the message of another node on if this one is not the coordinator, and reports
// whether it did. The caller holds the lock.
func (q *quotaKeeper) passOn(ask *quota.Ask, from string, now time.Time) bool {
	c := q.coordinatorOf(ask.Organisation, now)
	if c.Relay.Node != "" && from == c.Relay.DatagramAddress {
		q.agreed(ask.Organisation, now)
		c = q.coordinatorOf(ask.Organisation, now)
	}
	if c.StatusOnly && quota.RouteOf(ask, c.role(now)) == quota.PassToCoordinator && q.exclusions.PassedOn(c.Node, now) {
		q.exclude(ask.Organisation, now)
		q.probe(now)
		c = q.coordinatorOf(ask.Organisation, now)
	}
	to := c.DatagramAddress
	switch quota.RouteOf(ask, c.role(now)) {
	case quota.Answer, quota.AnswerShare:
		return false
	case quota.PassToRelay:
		to = c.Relay.DatagramAddress
	}
	passed := *ask
	passed.Passes++
	q.node.metrics.quotaPassedOn.Inc(1)
	q.node.peers.write(to, &passed)
	return true
}

// handle answers a message as the coordinator, and sends the notices that result from it. from
// is empty for this node. A node without a configuration knows no quota and does not answer, for
// which it returns false. The caller holds the lock.
func (q *quotaKeeper) handle(ask *quota.Ask, from string, now time.Time) (quota.Grant, bool) {
	config := q.node.config.snapshot()
	if config.routes == nil {
		return quota.Grant{}, false
	}
	limit, limited := limitOf(config, ask.Organisation)
	if !limited { // in this configuration, which may be older than that of the other node
		return quota.Grant{Incarnation: ask.Incarnation, Sequence: ask.Sequence, Organisation: ask.Organisation, Tokens: ask.Wanted}, true
	}
	c := q.coordinatorOf(ask.Organisation, now)
	if quota.RouteOf(ask, c.role(now)) != quota.Answer {
		c.Reached = 1 // another node has the rest
	}
	grant, notices := q.coordinator.Handle(*ask, from, limit, c.Reached, c.Known, now)
	for i := range notices {
		if notices[i].Address == "" {
			q.ingress.HandleGrant(notices[i].Grant, now)
			continue
		}
		q.node.peers.write(notices[i].Address, &notices[i].Grant)
	}
	return grant, true
}

// receiveAsk answers a message of another node.
func (q *quotaKeeper) receiveAsk(ask *quota.Ask, from string) {
	now := time.Now()
	q.mu.Lock()
	if q.passOn(ask, from, now) {
		q.mu.Unlock()
		return
	}
	grant, ok := q.handle(ask, from, now)
	q.mu.Unlock()
	if ok {
		q.node.peers.write(from, &grant)
	}
}

// receiveGrant applies the answer of a coordinator. One for another node, whose message this one
// has passed on, is passed on too.
func (q *quotaKeeper) receiveGrant(grant *quota.Grant, from string) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answeredBy(from)
	if grant.Incarnation != q.node.peers.incarnation {
		if to, known := q.node.fleet.DatagramAddress(grant.Incarnation); known {
			q.node.peers.write(to, grant)
		}
		return
	}
	q.ingress.HandleGrant(*grant, now)
	q.sendDue()
}
