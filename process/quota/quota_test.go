package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
)

var start = time.Unix(1_800_000_000, 0)

const organisation = "acme"

// simulation runs nodes in virtual time. Messages between them take time and can get lost.
type simulation struct {
	now     time.Time
	rng     *rand.Rand
	events  eventQueue
	nodes   []*simulatedNode
	limitAt func(time.Duration) Limit
	latency func() time.Duration
	loss    float64
	// admitted holds the times at which requests were admitted, and asked counts those that
	// came.
	admitted []time.Duration
	asked    int
	// unchecked counts the requests that no coordinator decided on.
	unchecked int
	messages  int
	// silence is set if the loss of a node is noticed by its silence only.
	silence bool
}

type simulatedNode struct {
	index       int
	name        string
	incarnation uint64
	ingress     *Ingress
	coordinator *Coordinator
	// coordinatedBy is the incarnation of the coordinator that the node knows.
	coordinatedBy uint64
	// part numbers the part of a divided system that the node is in, and down is set while
	// its process is killed.
	part      int
	down      bool
	downSince time.Time
	// deafUntil is when a suspended process goes on.
	deafUntil time.Time
	// exclusions and agreedUntil are used with simulation.silence.
	exclusions  *Exclusions
	agreedUntil time.Time
}

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(nodes int, limit Limit, seed uint64) *simulation {
	s := &simulation{now: start, rng: rand.New(rand.NewPCG(seed, 1))}
	s.limitAt = func(time.Duration) Limit { return limit }
	s.latency = func() time.Duration { return 300*time.Microsecond + time.Duration(s.rng.IntN(700))*time.Microsecond }
	for i := range nodes {
		s.nodes = append(s.nodes, &simulatedNode{index: i, name: strconv.Itoa(i)})
		s.restart(s.nodes[i])
	}
	return s
}

func (s *simulation) restart(n *simulatedNode) {
	n.incarnation = s.rng.Uint64()
	n.ingress, n.coordinator, n.down = NewIngress(n.incarnation), NewCoordinator(), false
	n.exclusions = NewExclusions()
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, event{s.now.Add(d), run})
}

// at runs something at a time of the simulation.
func (s *simulation) at(d time.Duration, run func()) { heap.Push(&s.events, event{start.Add(d), run}) }

// runUntil runs all events up to a time.
func (s *simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 && !s.events[0].at.After(start.Add(end)) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// lossNoticedAfter is the time after which the nodes notice the loss of one.
const lossNoticedAfter = 850 * time.Millisecond

// coordinatorFor returns the first node that the node reaches, and the number of nodes that it
// reaches.
func (s *simulation) coordinatorFor(n *simulatedNode) (first *simulatedNode, reached int) {
	for _, other := range s.nodes {
		lost := other.down && s.now.Sub(other.downSince) >= lossNoticedAfter
		if lost || other.part != n.part {
			continue
		}
		reached++
		if first == nil {
			first = other
		}
	}
	return first, reached
}

// poll sends what is due at a node.
func (s *simulation) poll(n *simulatedNode) {
	asks, silent, next := n.ingress.Due(len(s.nodes), s.now)
	if s.silence {
		s.routeAll(n, asks, silent)
		asks = nil
	}
	for _, ask := range asks {
		to, _ := s.coordinatorFor(n)
		s.send(n, to, func() {
			_, reached := s.coordinatorFor(to)
			address := fmt.Sprint(n.index)
			grant, notices := to.coordinator.Handle(ask, address, s.limitAt(s.now.Sub(start)), reached, len(s.nodes), s.now)
			for _, notice := range append(notices, Notice{Address: address, Grant: grant}) {
				index, _ := strconv.Atoi(notice.Address)
				s.deliver(to, s.nodes[index], notice.Grant)
			}
		})
	}
	if !next.IsZero() {
		incarnation := n.incarnation
		s.after(max(next.Sub(s.now), time.Millisecond), func() {
			if n.incarnation == incarnation && !n.down {
				s.poll(n)
			}
		})
	}
}

// deliver sends a Grant to a node.
func (s *simulation) deliver(from, to *simulatedNode, grant Grant) {
	s.send(from, to, func() {
		to.ingress.HandleGrant(grant, s.now)
		s.poll(to)
	})
}

// noticeCoordinator tells a node when it has another coordinator.
func (s *simulation) noticeCoordinator(n *simulatedNode) {
	c, _ := s.coordinatorFor(n)
	if s.silence {
		c, _ = s.order(n)
	}
	if c != nil && c.incarnation != n.coordinatedBy {
		n.coordinatedBy = c.incarnation
		n.ingress.CoordinatorChanged(organisation)
	}
}

// send runs deliver at the receiver after the latency, unless the message is lost.
func (s *simulation) send(from, to *simulatedNode, deliver func()) {
	s.messages++
	if from == to {
		s.after(0, deliver)
		return
	}
	if s.rng.Float64() < s.loss {
		return
	}
	s.after(s.latency(), func() {
		switch {
		case to.down || to.part != from.part:
		case s.now.Before(to.deafUntil):
			s.after(to.deafUntil.Sub(s.now), deliver)
		default:
			deliver()
		}
	})
}

// request makes a request arrive at a node.
func (s *simulation) request(n *simulatedNode) {
	if n.down || s.now.Before(n.deafUntil) {
		return
	}
	s.asked++
	s.noticeCoordinator(n)
	answer := make(chan Result, 1)
	result, done := n.ingress.Take(organisation, s.limitAt(s.now.Sub(start)), len(s.nodes), answer, s.now)
	incarnation := n.incarnation
	if done {
		s.record(result)
	} else {
		s.awaitAnswer(n, incarnation, answer)
	}
	s.poll(n)
}

func (s *simulation) awaitAnswer(n *simulatedNode, incarnation uint64, answer chan Result) {
	s.after(2*time.Millisecond, func() {
		if n.incarnation != incarnation {
			return
		}
		select {
		case result := <-answer:
			s.record(result)
		default:
			s.awaitAnswer(n, incarnation, answer)
		}
	})
}

func (s *simulation) record(r Result) {
	if r.Decision == Unchecked {
		s.unchecked++
	}
	if r.Decision == Admitted {
		s.admitted = append(s.admitted, s.now.Sub(start))
	}
}

// demand makes requests arrive at random nodes among those given, by a rate per second.
func (s *simulation) demand(from, to time.Duration, rate float64, nodes []*simulatedNode) {
	for at := from; at < to; at += time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)) {
		s.at(at, func() { s.request(nodes[s.rng.IntN(len(nodes))]) })
	}
}

// within returns the number of admitted requests from a time up to another.
func (s *simulation) within(from, to time.Duration) int {
	count := 0
	for _, at := range s.admitted {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// The rule about quotas: in no window of quotaWindow more than the rate and the burst allow,
// with an overage and a slack.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// exceeded returns a description of the first window with more requests than the rule allows.
func (s *simulation) exceeded(limit Limit, from time.Duration) string {
	allowed := (limit.RatePerSecond*quotaWindow.Seconds()+limit.Burst)*(1+quotaOverage) + quotaSlack
	first := 0
	for last, at := range s.admitted {
		for at-s.admitted[first] >= quotaWindow || s.admitted[first] < from {
			if first++; first > last {
				break
			}
		}
		if got := last - first + 1; first <= last && float64(got) > allowed {
			return fmt.Sprintf("%d requests in the %v before %v, %.0f allowed", got, quotaWindow, at, allowed)
		}
	}
	return ""
}

func drawLimit(t *rapid.T) Limit {
	rate := rapid.SampledFrom([]float64{3, 12, 60}).Draw(t, "rate")
	return Limit{RatePerSecond: rate, Burst: rate * rapid.SampledFrom([]float64{0, 0.5, 1, 3}).Draw(t, "burst")}
}

// Whatever happens, all nodes together stay within the quota: with demand of many times the
// quota that moves between all nodes and one, lost messages, killed and suspended
// coordinators, and a system that is divided.
func TestQuotaHoldsOverAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := drawLimit(t)
		s := newSimulation(rapid.SampledFrom([]int{1, 3, 20, 68}).Draw(t, "nodes"), limit, rapid.Uint64().Draw(t, "seed"))
		s.loss = rapid.SampledFrom([]float64{0, 0.03, 0.3}).Draw(t, "loss")
		const length = 12 * time.Second
		for at := time.Duration(0); at < length; at += 2 * time.Second {
			nodes := s.nodes
			if rapid.Bool().Draw(t, "one node") {
				nodes = s.nodes[len(s.nodes)-1:]
			}
			s.demand(at, at+2*time.Second, limit.RatePerSecond*rapid.SampledFrom([]float64{0.3, 1, 4, 8}).Draw(t, "demand"), nodes)
		}
		first := s.nodes[0]
		switch at := 6 * time.Second; rapid.SampledFrom([]string{"", "kill", "suspend", "divide"}).Draw(t, "fault") {
		case "kill":
			s.at(at, func() { first.down, first.downSince = true, s.now })
			s.at(at+3*time.Second, func() { s.restart(first) })
		case "suspend":
			s.at(at, func() { first.deafUntil = s.now.Add(1500 * time.Millisecond) })
		case "divide":
			s.at(at, func() {
				for i, n := range s.nodes {
					n.part = i % 2
				}
			})
			s.at(at+4*time.Second, func() {
				for _, n := range s.nodes {
					n.part = 0
				}
			})
		}
		s.runUntil(length)
		if text := s.exceeded(limit, 0); text != "" {
			t.Fatal(text)
		}
	})
}

// Demand that moves from all nodes to one must soon get nearly the whole quota again.
func TestQuotaIsUsableWhereverTheDemandIs(t *testing.T) {
	for _, nodes := range []int{3, 68, 1343} {
		for _, limit := range []Limit{{RatePerSecond: 40, Burst: 10}, {RatePerSecond: 150, Burst: 100}} {
			s := newSimulation(nodes, limit, 7)
			s.demand(0, 6*time.Second, 5*limit.RatePerSecond, s.nodes)
			s.demand(6*time.Second, 12*time.Second, 5*limit.RatePerSecond, s.nodes[nodes-1:])
			s.demand(12*time.Second, 18*time.Second, 5*limit.RatePerSecond, s.nodes)
			s.runUntil(18 * time.Second)
			for _, from := range []time.Duration{2, 8, 14} {
				got := float64(s.within(from*time.Second, (from+4)*time.Second)) / 4 / limit.RatePerSecond
				t.Logf("%d nodes, %v/s, from %d s: %.3f of the rate, %d messages for %d requests", nodes, limit.RatePerSecond, from, got, s.messages, s.asked)
				if got < 0.95 {
					t.Errorf("%d nodes, %v requests a second: only %.3f of it used from %d s on", nodes, limit.RatePerSecond, got, from)
				}
			}
			if text := s.exceeded(limit, 0); text != "" {
				t.Errorf("%d nodes: %s", nodes, text)
			}
		}
	}
}

// Requests of an organisation that stays well below its quota must all be admitted, also at
// the start and when messages get lost.
func TestNothingIsRefusedBelowTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := drawLimit(t)
		limit.Burst = max(limit.Burst, limit.RatePerSecond, 20)
		s := newSimulation(rapid.SampledFrom([]int{1, 3, 68}).Draw(t, "nodes"), limit, rapid.Uint64().Draw(t, "seed"))
		s.loss = rapid.SampledFrom([]float64{0, 0.03}).Draw(t, "loss")
		s.demand(0, 10*time.Second, 0.4*limit.RatePerSecond, s.nodes)
		s.runUntil(11 * time.Second)
		if refused := s.asked - len(s.admitted); refused > 0 {
			t.Fatalf("%d of %d requests refused", refused, s.asked)
		}
	})
}

// After the quota is lowered, demand is held to the new one from one window on.
func TestLoweredQuotaBinds(t *testing.T) {
	high, low := Limit{RatePerSecond: 400, Burst: 300}, Limit{RatePerSecond: 40, Burst: 30}
	s := newSimulation(20, high, 3)
	s.limitAt = func(at time.Duration) Limit {
		if at < 6*time.Second {
			return high
		}
		return low
	}
	s.demand(0, 16*time.Second, 500, s.nodes)
	s.runUntil(16 * time.Second)
	if text := s.exceeded(low, 6*time.Second); text != "" {
		t.Error(text)
	}
}

// A message that arrives after a later one must neither be deducted again nor give tokens back.
func TestLateReportIsNotDeducted(t *testing.T) {
	c := NewCoordinator()
	limit := Limit{RatePerSecond: 1, Burst: 20}
	ask := func(sequence, admitted uint64, wanted int) Grant {
		grant, _ := c.Handle(Ask{Incarnation: 1, Sequence: sequence, Organisation: organisation, Admitted: admitted, Unconfirmed: admitted, Wanted: wanted}, "a", limit, 30, 30, start)
		return grant
	}
	ask(1, 0, 0)
	ask(3, 4, 0)
	ask(2, 2, 0)
	if got := ask(4, 4, 100).Tokens; got != 6 {
		t.Errorf("%d tokens, want 6 of the first 10", got)
	}
}

// A request that reached no target does not count against the quota of those after it, but
// its token must not be kept for a later burst.
func TestReturnedTokenIsUsedSoon(t *testing.T) {
	i := NewIngress(1)
	limit := Limit{RatePerSecond: 1, Burst: 1}
	answer := make(chan Result, 1)
	take := func(at time.Time) bool {
		_, done := i.Take(organisation, limit, 3, answer, at)
		return done
	}
	if take(start) {
		t.Fatal("admitted without a token")
	}
	asks, _, _ := i.Due(3, start)
	i.HandleGrant(Grant{Incarnation: 1, Sequence: asks[0].Sequence, Organisation: organisation, Limited: true, Tokens: 1}, start)
	if r := <-answer; r.Decision != Admitted {
		t.Fatalf("%v with a token", r)
	}
	i.Return(organisation, start)
	if !take(start.Add(tokenLifetime / 2)) {
		t.Error("the returned token is not used")
	}
	i.Return(organisation, start)
	if take(start.Add(2 * tokenLifetime)) {
		t.Error("an expired token is used")
	}
}

// Nodes that were last told that requests need no tokens, some time ago, must hear of a flood
// before each of them admits a request; and they must not rely on it when the coordinator
// is replaced, since the new one does not know them.
func TestIdleNodesHearThatRequestsNeedTokens(t *testing.T) {
	limit := Limit{RatePerSecond: 5, Burst: 10}
	const warm = 50 * time.Second
	for _, replaced := range []bool{false, true} {
		s := newSimulation(100, limit, 11)
		for i, n := range s.nodes {
			s.at(warm/100*time.Duration(i), func() { s.request(n) })
		}
		s.runUntil(warm)
		free := 0
		for _, n := range s.nodes {
			if state := n.ingress.states[organisation]; !state.limited {
				free++
			}
		}
		if free < 90 {
			t.Fatalf("requests need no tokens at only %d nodes", free)
		}
		if replaced {
			s.restart(s.nodes[0])
		}
		s.demand(warm+100*time.Millisecond, warm+6*time.Second, 8*limit.RatePerSecond, s.nodes[1:])
		s.runUntil(warm + 6*time.Second)
		if text := s.exceeded(limit, warm); text != "" {
			t.Errorf("replaced %v: %s", replaced, text)
		}
	}
}
