package quota

import (
	"slices"
	"time"
)

// Decision is the decision on a request.
type Decision uint8

// The decisions.
const (
	// Admitted means that the request is within the quota.
	Admitted Decision = iota
	// Exceeded means that the quota is used up.
	Exceeded
	// Unchecked means that no coordinator answers and that the share of this node is
	// used up.
	Unchecked
	// TooLate means that the request can't wait any longer for the coordinator's answer.
	TooLate
)

// Result is the result for a request that had to wait.
type Result struct {
	Decision Decision
	// RetryAfter is as Grant.RetryAfterMillis.
	RetryAfter time.Duration
}

// Ingress decides on the requests that arrive at one node. It is not safe for concurrent use.
type Ingress struct {
	incarnation uint64
	states      map[string]*ingressState
}

// ingressState is the state of one organisation.
type ingressState struct {
	limit Limit
	// limited is set if requests need tokens. returned holds the tokens of requests that
	// reached no target, which may be used until returnedUntil.
	limited       bool
	returned      int
	returnedUntil time.Time
	// admitted counts the requests that were admitted without a token, confirmed those
	// that an answered message has reported, and unreportedSince is when the first one
	// came that no message reports.
	admitted, confirmed, reported uint64
	unreportedSince               time.Time
	// sequence numbers the messages. The latest one, sent, is unanswered if tries is not
	// zero, and the tries-1 before it have been given up.
	sequence uint64
	tries    int
	sentAt   time.Time
	sent     Ask
	// silences counts how often coordinators became silent since the latest answer.
	silences int
	// answerTime is the mean time until an answer.
	answerTime time.Duration
	waiting    []chan<- Result
	// askAfter is when the node may ask again. Until then requests are rejected.
	askAfter   time.Time
	retryAfter time.Duration
	// reserve holds the tokens of this node's own share, which are used while the
	// coordinator is out of reach.
	reserve   float64
	reserveAt time.Time
	usedAt    time.Time
}

// NewIngress returns the Ingress of a process.
func NewIngress(incarnation uint64) *Ingress {
	return &Ingress{incarnation: incarnation, states: make(map[string]*ingressState)}
}

// maxWaiting bounds the requests of one organisation that wait for an answer.
const maxWaiting = 1024

// Take decides on a request. Nodes is the number of nodes of the system. If the request has to
// wait, done is false, and the result is sent to result, which must have room for it.
func (i *Ingress) Take(organisation string, limit Limit, nodes int, result chan<- Result, now time.Time) (r Result, done bool) {
	s := i.states[organisation]
	if s == nil {
		s = &ingressState{
			limited: true, reserveAt: now, answerTime: firstAnswerTimeout / answerTimeoutFactor,
		}
		i.states[organisation] = s
	}
	s.limit, s.usedAt = limit, now
	switch {
	case !s.limited && s.admitted-s.confirmed < limit.credit(nodes):
		s.admitUncounted(now)
		return Result{}, true
	case s.returned > 0 && now.Before(s.returnedUntil):
		s.returned--
		return Result{}, true
	case now.Before(s.askAfter):
		return Result{Decision: Exceeded, RetryAfter: s.retryAfter}, true
	case len(s.waiting) >= maxWaiting:
		return Result{Decision: Unchecked, RetryAfter: uncheckedRetryAfter}, true
	}
	s.waiting = append(s.waiting, result)
	return Result{}, false
}

// admitUncounted admits a request without a token.
func (s *ingressState) admitUncounted(now time.Time) {
	if s.admitted == s.reported {
		s.unreportedSince = now
	}
	s.admitted++
}

// Return gives back the token of a request that reached no target.
func (i *Ingress) Return(organisation string, now time.Time) {
	s := i.states[organisation]
	if s != nil && s.limited {
		s.giveBack(1, now)
	}
}

// giveBack keeps tokens for other requests.
func (s *ingressState) giveBack(tokens int, now time.Time) {
	if !now.Before(s.returnedUntil) {
		s.returned, s.returnedUntil = 0, now.Add(tokenLifetime)
	}
	s.returned += tokens
}

// GiveUp ends the wait of a request. It returns the result that was sent meanwhile, or TooLate.
func (i *Ingress) GiveUp(organisation string, result chan Result) Result {
	select {
	case r := <-result:
		return r
	default:
	}
	if s := i.states[organisation]; s != nil {
		s.waiting = slices.DeleteFunc(s.waiting, func(c chan<- Result) bool { return c == result })
	}
	return Result{Decision: TooLate, RetryAfter: uncheckedRetryAfter}
}

// Due returns the messages to send now, the organisations whose coordinators have become
// silent, and the time of the next call, which is zero if there is nothing to wait for. Nodes
// is the number of nodes of the system.
func (i *Ingress) Due(nodes int, now time.Time) (asks []Ask, silent []string, next time.Time) {
	for organisation, s := range i.states {
		if s.tries >= maxTries && !now.Before(s.timeout()) {
			s.answerMissing(nodes, now)
			silent = append(silent, organisation)
		}
		if s.mustAsk(now) {
			asks = append(asks, i.ask(organisation, s, now))
		}
		if at := s.nextDue(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
		if s.idle() && now.Sub(s.usedAt) >= forgetFactor*forgetAfter {
			delete(i.states, organisation)
		}
	}
	return asks, silent, next
}

// forgetFactor makes an ingress keep its counters for longer than the coordinator does, which
// would not deduct requests of a counter that starts again.
const forgetFactor = 3

// idle reports whether nothing is left to do for the organisation.
func (s *ingressState) idle() bool { return s.nextDue().IsZero() }

// timeout returns when the latest message has to be answered.
func (s *ingressState) timeout() time.Time {
	wait := min(max(answerTimeoutFactor*s.answerTime, minAnswerTimeout), maxAnswerTimeout)
	return s.sentAt.Add(wait << (s.tries - 1))
}

// mustAsk reports whether a message has to be sent now.
func (s *ingressState) mustAsk(now time.Time) bool {
	if s.tries > 0 {
		return !now.Before(s.timeout())
	}
	if len(s.waiting) > 0 {
		return true
	}
	return s.admitted > s.reported && now.Sub(s.unreportedSince) >= ReportInterval
}

// nextDue returns when Due has to be called again, or zero.
func (s *ingressState) nextDue() time.Time {
	switch {
	case s.tries > 0:
		return s.timeout()
	case len(s.waiting) > 0:
		return s.usedAt
	case s.admitted > s.reported:
		return s.unreportedSince.Add(ReportInterval)
	}
	return time.Time{}
}

// ask returns the next message about an organisation.
func (i *Ingress) ask(organisation string, s *ingressState, now time.Time) Ask {
	s.sequence++
	s.sent = Ask{
		Incarnation: i.incarnation, Sequence: s.sequence, Organisation: organisation,
		Admitted: s.admitted, Unconfirmed: s.admitted - s.confirmed, Wanted: len(s.waiting),
	}
	s.tries++
	s.sentAt, s.reported = now, s.admitted
	return s.sent
}

// CoordinatorChanged tells that another process counts the requests of an organisation. It does
// not know this node, so it would not tell it when requests begin to need tokens. Requests that
// wait for the former one's answer wait for that of the new one.
func (i *Ingress) CoordinatorChanged(organisation string) {
	s := i.states[organisation]
	if s == nil {
		return
	}
	s.limited = true
	if len(s.waiting) > 0 {
		s.tries = 0
	}
}

// answerTimeWeight is the inverse of the weight of the latest time until an answer in the mean.
const answerTimeWeight = 8

// HandleGrant applies an answer. Answers to other messages than the latest one are ignored:
// the tokens in them are lost.
func (i *Ingress) HandleGrant(g Grant, now time.Time) {
	s := i.states[g.Organisation]
	if s == nil || g.Incarnation != i.incarnation {
		return
	}
	if g.Sequence == 0 {
		s.limited = true
		return
	}
	if s.tries == 0 || g.Sequence != s.sequence {
		return
	}
	s.tries, s.silences = 0, 0
	s.answerTime += (now.Sub(s.sentAt) - s.answerTime) / answerTimeWeight
	s.confirmed = s.sent.Admitted
	s.limited = g.Limited
	granted := min(max(0, g.Tokens), s.sent.Wanted)
	served := min(granted, len(s.waiting))
	s.answerWaiting(served, Result{})
	if unused := granted - served; unused > 0 && s.limited { // of requests that gave up
		s.giveBack(unused, now)
	}
	if g.Tokens >= s.sent.Wanted {
		return // requests that came after the message wait for the next one
	}
	s.askAfter = now.Add(min(time.Duration(g.AskAgainMillis)*time.Millisecond, maxAskAgain))
	s.retryAfter = time.Duration(g.RetryAfterMillis) * time.Millisecond
	s.answerWaiting(len(s.waiting), Result{Decision: Exceeded, RetryAfter: s.retryAfter})
}

// answerWaiting sends a result to the first requests that wait.
func (s *ingressState) answerWaiting(count int, r Result) {
	for _, result := range s.waiting[:count] {
		result <- r
	}
	s.waiting = s.waiting[count:]
}

// uncheckedRetryAfter is the delay after which a request may be repeated that no coordinator
// decided on. Another coordinator is found after about that time.
const uncheckedRetryAfter = 500 * time.Millisecond

// maxSilences is how often in a row coordinators may become silent before requests that wait
// are refused. Two may be lost at once, and the next one has to find that too.
const maxSilences = 4

// answerMissing handles messages that are not answered in time. Requests need tokens from then
// on, so the number of those that no coordinator counts is bounded. Those beyond the share of
// this node wait for the answer of the next coordinator.
func (s *ingressState) answerMissing(nodes int, now time.Time) {
	s.tries, s.limited = 0, true
	s.silences++
	s.reserve += s.limit.RatePerSecond / float64(max(nodes, 1)) * now.Sub(s.reserveAt).Seconds()
	s.reserve = min(s.reserve, s.limit.capacity()/float64(max(nodes, 1)))
	s.reserveAt = now
	served := min(int(s.reserve), len(s.waiting))
	s.reserve -= float64(served)
	for range served {
		s.admitted++
	}
	s.answerWaiting(served, Result{})
	if s.silences >= maxSilences {
		s.answerWaiting(len(s.waiting), Result{Decision: Unchecked, RetryAfter: uncheckedRetryAfter})
	}
}
