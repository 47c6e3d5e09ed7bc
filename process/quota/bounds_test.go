package quota

import (
	"math"
	"testing"
	"time"
)

// pair is an ingress whose messages are answered at once.
type pair struct {
	ingress     *Ingress
	coordinator *Coordinator
	limit       Limit
	now         time.Time
}

func newPair(limit Limit) *pair {
	return &pair{ingress: NewIngress(1), coordinator: NewCoordinator(), limit: limit, now: start}
}

// request reports whether a request is admitted.
func (p *pair) request() bool {
	answer := make(chan Result, 1)
	result, done := p.ingress.Take(organisation, p.limit, 3, answer, p.now)
	p.exchange()
	if !done {
		result = <-answer
	}
	return result.Decision == Admitted
}

// exchange sends what is due.
func (p *pair) exchange() {
	asks, _, _ := p.ingress.Due(3, p.now)
	for _, ask := range asks {
		grant, _ := p.coordinator.Handle(ask, "a", p.limit, 3, 3, p.now)
		p.ingress.HandleGrant(grant, p.now)
	}
}

// run makes requests at an interval and returns how many are admitted.
func (p *pair) run(length, interval time.Duration) (admitted int) {
	for end := p.now.Add(length); p.now.Before(end); p.now = p.now.Add(interval) {
		if p.request() {
			admitted++
		}
	}
	return admitted
}

// After a quiet time, requests need no tokens until the coordinator says so. All requests of a
// burst were admitted that came before, and after the coordinator was killed.
func TestBurstAfterAQuietTimeIsBounded(t *testing.T) {
	limit := Limit{RatePerSecond: 5, Burst: 20}
	for _, nodes := range []int{1, 3, 5} {
		for _, killed := range []bool{false, true} {
			if killed && nodes == 1 {
				continue
			}
			s := newSimulation(nodes, limit, 5)
			s.demand(0, 20*time.Second, 1, s.nodes)
			if killed {
				s.at(20*time.Second, func() { s.nodes[0].down, s.nodes[0].downSince = true, s.now })
			}
			for i := range 500 {
				s.at(20*time.Second+time.Duration(i)*80*time.Microsecond, func() { s.request(s.nodes[i%nodes]) })
			}
			s.runUntil(26 * time.Second)
			if text := s.exceeded(limit, 0); text != "" {
				t.Errorf("%d nodes, coordinator killed %v: %s", nodes, killed, text)
			}
		}
	}
}

// An ingress that forgot its counter before the coordinator did started again at zero, and the
// coordinator deducted nothing until the counter had passed the old one.
func TestCountersAreKeptLongerThanTheCoordinatorKeepsThem(t *testing.T) {
	p := newPair(Limit{RatePerSecond: 40, Burst: 100})
	p.run(130*time.Second, 50*time.Millisecond)
	for range 63 {
		p.now = p.now.Add(time.Second)
		p.exchange()
		p.coordinator.Handle(Ask{Incarnation: 2, Sequence: 1, Organisation: organisation}, "b", p.limit, 3, 3, p.now)
	}
	allowed := (p.limit.RatePerSecond*quotaWindow.Seconds()+p.limit.Burst)*(1+quotaOverage) + quotaSlack
	if got := p.run(quotaWindow, 2500*time.Microsecond); float64(got) > allowed {
		t.Errorf("%d admitted within %v, %.0f allowed", got, quotaWindow, allowed)
	}
}

// A coordinator that was passed over for a while deducted what another one had counted
// meanwhile, and refused nearly everything for as long.
func TestCoordinatorThatIsBackDeductsOnlyWhatIsNew(t *testing.T) {
	p := newPair(Limit{RatePerSecond: 200, Burst: 200})
	first := p.coordinator
	p.run(5*time.Second, 10*time.Millisecond)
	p.coordinator = NewCoordinator()
	p.run(50*time.Second, 10*time.Millisecond)
	p.coordinator = first
	if got := p.run(20*time.Second, 10*time.Millisecond); got < 2000 {
		t.Errorf("%d of 2000 admitted at half of the rate", got)
	}
}

// A damaged or forged message must neither end the process nor refuse an organisation for long.
func TestForgedMessagesDoLittleHarm(t *testing.T) {
	p := newPair(Limit{RatePerSecond: 10, Burst: 20})
	p.coordinator.Handle(Ask{Incarnation: 9, Organisation: organisation, Admitted: math.MaxUint64, Unconfirmed: math.MaxUint64, Wanted: math.MinInt}, "c", p.limit, 3, 3, p.now)
	p.now = p.now.Add(6 * time.Second)
	if !p.request() {
		t.Error("refused 6 s after a forged report")
	}
	answer := make(chan Result, 1)
	p.now = p.now.Add(time.Minute)
	p.ingress.CoordinatorChanged(organisation)
	if _, done := p.ingress.Take(organisation, p.limit, 3, answer, p.now); done {
		t.Fatal("decided without the coordinator")
	}
	asks, _, _ := p.ingress.Due(3, p.now)
	p.ingress.HandleGrant(Grant{Incarnation: 1, Sequence: asks[0].Sequence, Organisation: organisation, Limited: true, Tokens: math.MinInt, AskAgainMillis: math.MaxInt32}, p.now)
	if r := <-answer; r.Decision != Exceeded {
		t.Errorf("%v for a negative number of tokens", r)
	}
	p.now = p.now.Add(2 * maxAskAgain)
	if !p.request() {
		t.Error("refused after the longest pause")
	}
	for incarnation := range uint64(10_000) {
		p.coordinator.Handle(Ask{Incarnation: incarnation + 10, Organisation: organisation}, "d", p.limit, 3, 3, p.now)
	}
	if got := len(p.coordinator.buckets[organisation].nodes); got > maxNodesFactor*3+minMaxNodes+1 {
		t.Errorf("%d processes are kept at three nodes", got)
	}
}

// A rate without any bound in practice must not lead to a negative number of tokens.
func TestHugeQuotaAdmitsEverything(t *testing.T) {
	p := newPair(Limit{RatePerSecond: 1e20, Burst: 1e20})
	for i := range 100 {
		p.now = p.now.Add(time.Millisecond)
		if !p.request() {
			t.Fatalf("request %d is refused", i)
		}
	}
}

// The token of a request that gave up before it was granted was lost for others. It must serve
// one of them, and only one.
func TestTokenOfARequestThatGaveUpServesOneOther(t *testing.T) {
	p := newPair(Limit{RatePerSecond: 10, Burst: 20})
	first, second := make(chan Result, 1), make(chan Result, 1)
	for _, answer := range []chan Result{first, second} {
		if _, done := p.ingress.Take(organisation, p.limit, 3, answer, p.now); done {
			t.Fatal("admitted without a token")
		}
	}
	asks, _, _ := p.ingress.Due(3, p.now)
	if r := p.ingress.GiveUp(organisation, first); r.Decision != TooLate || r.RetryAfter <= 0 {
		t.Errorf("%+v for a request that gives up", r)
	}
	grant, _ := p.coordinator.Handle(asks[0], "a", p.limit, 3, 3, p.now)
	p.ingress.HandleGrant(grant, p.now)
	p.ingress.HandleGrant(grant, p.now) // a datagram may arrive twice
	if r := p.ingress.GiveUp(organisation, second); r.Decision != Admitted {
		t.Errorf("%+v for a request whose answer came as it gave up", r)
	}
	if len(first) != 0 {
		t.Error("a result for a request that gave up")
	}
	if _, done := p.ingress.Take(organisation, p.limit, 3, first, p.now); !done {
		t.Error("the unused token does not serve the next request")
	}
	if _, done := p.ingress.Take(organisation, p.limit, 3, first, p.now); done {
		t.Error("the unused token serves two requests")
	}
}

// A message must not go round and round between nodes that disagree on who is lost.
func TestMessagesArePassedOnAFewTimesOnly(t *testing.T) {
	for _, role := range []Role{{Other: true}, {Unsure: true}} {
		ask := Ask{Organisation: organisation}
		for RouteOf(&ask, role) == PassToCoordinator || RouteOf(&ask, role) == PassToRelay {
			if ask.Passes++; ask.Passes > maxPasses {
				t.Fatalf("%+v: passed on after %d passes", role, ask.Passes-1)
			}
		}
		if got := RouteOf(&ask, role); got != AnswerShare {
			t.Errorf("%+v: %v in the end", role, got)
		}
	}
	if got := RouteOf(&Ask{}, Role{}); got != Answer {
		t.Errorf("%v at the coordinator", got)
	}
}
