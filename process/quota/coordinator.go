package quota

import (
	"math"
	"time"
)

const (
	// limitBelow and freeAbove are the fill levels of a bucket, as shares of its
	// capacity, below which requests need tokens and above which they don't.
	limitBelow = 0.5
	freeAbove  = 0.75
	// minCapacity is the least capacity of a bucket, as a time at its rate. With less,
	// tokens would be lost between two messages.
	minCapacity = 250 * time.Millisecond
	// newBucketTokens, newBucketWindow and newBucketShare bound the tokens of a bucket that
	// a coordinator starts with: a few, and the share of what the quota allows in the
	// window. The former coordinator may just have granted all that it had.
	newBucketTokens = 10
	newBucketWindow = 5 * time.Second
	newBucketShare  = 0.05
	// maxAsksPerSecond bounds the messages about an organisation that gets fewer tokens
	// than it asks for.
	maxAsksPerSecond = 1000
	// minAskAgain and maxAskAgain bound Grant.AskAgainMillis.
	minAskAgain = 10 * time.Millisecond
	maxAskAgain = time.Second
	// demandWindow is the time over which demand beyond the quota is counted.
	demandWindow = time.Second
	// minRetryAfter and maxRetryAfter bound Grant.RetryAfterMillis.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// forgetAfter is how long the state of a silent organisation or node is kept, at least.
	// It is removed within twice that time.
	forgetAfter = time.Minute
	// maxNodesFactor and minMaxNodes bound the processes that a bucket keeps, by the number of
	// nodes. A node that restarts is another process.
	maxNodesFactor = 4
	minMaxNodes    = 64
)

// Coordinator counts the requests of the organisations that it is asked about. It is not safe
// for concurrent use.
type Coordinator struct {
	buckets  map[string]*bucket
	forgetAt time.Time
}

// NewCoordinator returns a coordinator that has not been asked yet.
func NewCoordinator() *Coordinator {
	return &Coordinator{buckets: make(map[string]*bucket)}
}

// bucket is the token bucket of an organisation. Tokens may be negative.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	limited    bool
	// nodes holds what is known of each process that asked, by incarnation.
	nodes map[uint64]*askingNode
	// unmet counts the tokens that were not granted in the current demandWindow, which
	// began at demandSince, and lastUnmet those in the one before.
	unmet, lastUnmet int
	demandSince      time.Time
}

// askingNode is the state of one process that asks.
type askingNode struct {
	// address is where its messages come from.
	address string
	// free is set if its requests need no tokens.
	free     bool
	admitted uint64
	askedAt  time.Time
	// unmetAt is when it last got fewer tokens than it wanted.
	unmetAt time.Time
}

// Notice is a Grant for a node that has not asked.
type Notice struct {
	Address string
	Grant   Grant
}

// Handle answers a message from an address. Limit is the quota of the organisation, known the
// number of nodes of the system, and reached the number of those that this one reaches, itself
// included. The notices are for the nodes whose requests need tokens from now on.
func (c *Coordinator) Handle(ask Ask, address string, limit Limit, reached, known int, now time.Time) (Grant, []Notice) {
	c.forget(now)
	share := float64(reached) / float64(known)
	limit = Limit{RatePerSecond: limit.RatePerSecond * share, Burst: limit.Burst * share}
	b := c.buckets[ask.Organisation]
	if b == nil {
		b = newBucket(limit, now)
		c.buckets[ask.Organisation] = b
	}
	node := b.refill(limit, now).node(ask.Incarnation)
	if node.askedAt.IsZero() && len(b.nodes) > maxNodesFactor*known+minMaxNodes {
		delete(b.nodes, ask.Incarnation)
		return Grant{Incarnation: ask.Incarnation, Sequence: ask.Sequence, Organisation: ask.Organisation, Limited: true}, nil
	}
	b.deduct(node, &ask, limit)
	node.askedAt, node.address = now, address
	grant := Grant{Incarnation: ask.Incarnation, Sequence: ask.Sequence, Organisation: ask.Organisation}
	b.grant(node, &grant, ask.Wanted, limit, now)
	b.updateLimited(limit)
	grant.Limited, node.free = b.limited, !b.limited
	if b.limited {
		return grant, b.notices(ask.Organisation)
	}
	return grant, nil
}

// grant deducts the tokens for a node and adds them to its answer.
func (b *bucket) grant(node *askingNode, grant *Grant, wanted int, limit Limit, now time.Time) {
	if wanted <= 0 {
		return
	}
	grant.Tokens = int(min(float64(wanted), max(0, b.tokens)))
	b.tokens -= float64(grant.Tokens)
	if unmet := wanted - grant.Tokens; unmet > 0 {
		node.unmetAt = now
		b.recordUnmet(unmet, now)
		grant.AskAgainMillis = millis(b.askAgain(now), minAskAgain, maxAskAgain)
		grant.RetryAfterMillis = millis(b.retryAfter(limit), minRetryAfter, maxRetryAfter)
	}
}

// notices returns the notices for the nodes that believe that requests need no tokens.
func (b *bucket) notices(organisation string) []Notice {
	var notices []Notice
	for incarnation, node := range b.nodes {
		if node.free {
			node.free = false
			notices = append(notices, Notice{
				Address: node.address, Grant: Grant{Incarnation: incarnation, Organisation: organisation, Limited: true},
			})
		}
	}
	return notices
}

// newBucket returns the bucket that a coordinator starts with.
func newBucket(limit Limit, now time.Time) *bucket {
	allowed := limit.RatePerSecond*newBucketWindow.Seconds() + limit.Burst
	return &bucket{
		tokens: min(limitBelow*limit.capacity(), newBucketTokens+newBucketShare*allowed), refilledAt: now, limited: true,
		nodes: make(map[uint64]*askingNode), demandSince: now,
	}
}

// refill adds the tokens for the time since the previous call, and returns the bucket.
func (b *bucket) refill(limit Limit, now time.Time) *bucket {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens += limit.RatePerSecond * elapsed.Seconds()
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, limit.capacity())
	return b
}

// node returns the state of a process, which is added if it is new.
func (b *bucket) node(incarnation uint64) *askingNode {
	if b.nodes[incarnation] == nil {
		b.nodes[incarnation] = &askingNode{}
	}
	return b.nodes[incarnation]
}

// deduct removes the tokens of requests that were admitted without, unless another coordinator
// has confirmed them. The debt is at most what the window allows, since it is over then.
func (b *bucket) deduct(node *askingNode, ask *Ask, limit Limit) {
	if node.askedAt.IsZero() {
		node.admitted = ask.Admitted - min(ask.Unconfirmed, ask.Admitted)
	}
	if ask.Admitted > node.admitted {
		b.tokens -= float64(min(ask.Admitted-node.admitted, ask.Unconfirmed))
		b.tokens = max(b.tokens, -limit.RatePerSecond*newBucketWindow.Seconds())
		node.admitted = ask.Admitted
	}
}

// updateLimited decides whether requests need tokens.
func (b *bucket) updateLimited(limit Limit) {
	switch level := b.tokens / limit.capacity(); {
	case level < limitBelow:
		b.limited = true
	case level >= freeAbove:
		b.limited = false
	}
}

// recordUnmet counts tokens that were not granted.
func (b *bucket) recordUnmet(tokens int, now time.Time) {
	switch elapsed := now.Sub(b.demandSince); {
	case elapsed >= 2*demandWindow:
		b.unmet, b.lastUnmet, b.demandSince = 0, 0, now
	case elapsed >= demandWindow:
		b.unmet, b.lastUnmet, b.demandSince = 0, b.unmet, now
	}
	b.unmet += tokens
}

// askAgain returns the time until a node may ask again that got fewer tokens than it wanted.
func (b *bucket) askAgain(now time.Time) time.Duration {
	waiting := 0
	for _, n := range b.nodes {
		if !n.unmetAt.IsZero() && now.Sub(n.unmetAt) < demandWindow {
			waiting++
		}
	}
	return time.Duration(waiting) * time.Second / maxAsksPerSecond
}

// retryAfter returns the time in which the unmet demand could be admitted.
func (b *bucket) retryAfter(limit Limit) time.Duration {
	backlog := float64(max(b.unmet, b.lastUnmet)) - min(0, b.tokens)
	if limit.RatePerSecond <= 0 {
		return maxRetryAfter
	}
	return time.Duration(min(backlog/limit.RatePerSecond, maxRetryAfter.Seconds()) * float64(time.Second))
}

// millis returns a duration in milliseconds, rounded up, within bounds.
func millis(d, least, most time.Duration) int {
	return int(math.Ceil(float64(min(max(d, least), most)) / float64(time.Millisecond)))
}

// forget removes what was silent for forgetAfter.
func (c *Coordinator) forget(now time.Time) {
	if now.Before(c.forgetAt) {
		return
	}
	c.forgetAt = now.Add(forgetAfter)
	for name, b := range c.buckets {
		for incarnation, node := range b.nodes {
			if now.Sub(node.askedAt) >= forgetAfter {
				delete(b.nodes, incarnation)
			}
		}
		if len(b.nodes) == 0 {
			delete(c.buckets, name)
		}
	}
}
