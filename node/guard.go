package node

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/process/admission"
	"verbenatrestle/request"
	"verbenatrestle/request/balance"
	"verbenatrestle/request/quarantine"
)

const (
	stepTarget = "send to target"
	// cancelGrace is how long a cancelled request keeps its slot.
	cancelGrace = 10 * time.Millisecond
)

// guard is the only way into the target beside the node: it admits a request
// or refuses it, sends what it admitted, and tells admission of the end.
type guard struct {
	self       string
	admission  *admission.Controller
	quarantine *quarantine.Table
	// spread tells the other nodes of crashes and of suspects that completed.
	spread func(quarantine.Message)
	// broken is called when a connection to the target broke or was refused.
	broken func(address string)
	target atomic.Pointer[targetClient]
	// waiting holds requests that may wait while the target is full.
	waiting *waiting
	// cancelGrace is how long a cancelled request keeps its slot, since the
	// target goes on with it until it sees that the connection was closed.
	cancelGrace time.Duration
}

// serve implements orderServer.
func (g *guard) serve(ctx context.Context, o *order) result {
	try := func() (admission.Permit, *admission.Refusal) { return g.admit(o, time.Now()) }
	ticket, refusal := try()
	if o.mayWait.take() && refusal != nil {
		ticket, refusal = g.waiting.admit(ctx, refusal, try)
	}
	if refusal != nil {
		return result{
			failure: refusal.Failure(g.self),
			kind:    balance.Refused,
			sample:  refusal.Sample,
			sampled: true,
		}
	}
	return g.send(ctx, ticket, o)
}

// admit asks admission to let the order in.
func (g *guard) admit(o *order, now time.Time) (admission.Permit, *admission.Refusal) {
	return g.admission.Admit(admission.Request{
		Caller:      request.ShareKey{Organisation: o.caller.Organisation(), Service: o.caller.Name()},
		Fingerprint: o.fingerprint,
		Suspect:     o.suspect || g.suspects(o, now),
		Expiry:      o.expiry,
		Deadline:    o.deadline.Time(),
	}, now)
}

// suspects reports whether this node holds the request for a suspect.
func (g *guard) suspects(o *order, now time.Time) bool {
	verdict, _ := g.quarantine.Check(o.fingerprint, now)
	return verdict != quarantine.Unsuspected
}

// send sends an admitted order to the target.
func (g *guard) send(ctx context.Context, ticket admission.Permit, o *order) result {
	client := g.target.Load()
	if client == nil {
		return g.end(ticket, o, admission.NotSent, "", failed(balance.Failed,
			newFailure(http.StatusServiceUnavailable, request.NotRun, stepTarget, g.self, "no target", nil)))
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	r, err := o.httpRequest(httptrace.WithClientTrace(ctx, trace), client.base, time.Now())
	if err != nil {
		return g.end(ticket, o, admission.NotSent, "", failed(balance.Cancelled,
			newFailure(http.StatusGatewayTimeout, request.NotRun, stepTarget, g.self, "out of time", err)))
	}
	resp, err := client.transport.RoundTrip(r)
	if err != nil {
		return g.endError(ctx, ticket, o, client, connected, err)
	}
	return g.endAnswer(ticket, o, client, resp)
}

// endError ends an attempt that got no answer.
func (g *guard) endError(ctx context.Context, t admission.Permit, o *order, c *targetClient, connected bool, err error) result {
	f := sendFailure(stepTarget, c.address, connected, err)
	kind := admission.Broken
	switch {
	case !connected:
		kind = admission.NotSent
	case ctx.Err() != nil:
		kind = admission.Cancelled
	}
	res := g.end(t, o, kind, "", failed(balance.Failed, f))
	if ctx.Err() == nil {
		g.broken(c.address)
	}
	return res
}

// endAnswer ends an attempt that the target answered, at the latest when the
// whole answer was read.
func (g *guard) endAnswer(t admission.Permit, o *order, c *targetClient, resp *http.Response) result {
	instance := resp.Header.Get(request.HeaderInstance)
	if id := resp.Header.Get(request.HeaderRequestID); id != "" && id != o.id {
		_ = resp.Body.Close()
		return g.end(t, o, admission.Broken, instance, failed(balance.Failed,
			newFailure(http.StatusBadGateway, request.Unknown, stepTarget, c.address, "answer to another request",
				errors.Errorf("sent request %s, got the answer to %q", o.id, id))))
	}
	outcome := request.Outcome(resp.Header.Get(request.HeaderOutcome))
	a, err := readAnswer(resp)
	if err != nil {
		res := g.end(t, o, admission.Broken, instance, failed(balance.Failed,
			newFailure(http.StatusBadGateway, request.Unknown, stepTarget, c.address, "answer broke off", err)))
		g.broken(c.address)
		return res
	}
	if outcome != "" {
		return g.endOutcome(t, o, c, instance, outcome, a)
	}
	a.node = g.self
	res := result{answer: a, kind: answerKind(a.status)}
	kind := admission.Answered
	if res.kind == balance.Failed {
		kind = admission.Failed
	}
	if a.rest == nil {
		return g.end(t, o, kind, instance, res)
	}
	body := &trackedBody{ReadCloser: a.rest}
	a.rest = body
	res.onClose(func() { g.end(t, o, body.kind(kind), instance, res) })
	res.sample = g.admission.Sample(time.Now())
	res.sampled = true
	return res
}

// endOutcome ends an attempt that the target refused or gave up by its own
// word.
func (g *guard) endOutcome(t admission.Permit, o *order, c *targetClient, instance string, outcome request.Outcome, a *answer) result {
	a.close()
	kind := admission.Failed
	balanceKind := balance.Failed
	if outcome == request.NotRun {
		kind = admission.Shed
		balanceKind = balance.Refused
	} else {
		outcome = request.Unknown
	}
	f := newFailure(a.status, outcome, stepTarget, c.address, "refused by the target", nil)
	f.RetryAfter = retryAfter(a.header)
	return g.end(t, o, kind, instance, failed(balanceKind, f))
}

// end tells admission and quarantine of the end, and adds the target's load.
func (g *guard) end(t admission.Permit, o *order, kind admission.ResultKind, instance string, res result) result {
	now := time.Now()
	if kind == admission.Cancelled {
		time.AfterFunc(g.cancelGrace, func() { g.done(t, kind, instance, now) })
	} else {
		g.done(t, kind, instance, now)
	}
	if kind == admission.Answered {
		g.tell(g.quarantine.RecordCompletion(o.fingerprint, o.suspect, now))
	}
	res.sample = g.admission.Sample(now)
	res.sampled = true
	return res
}

// done frees the slot of an attempt that ended at the given time.
func (g *guard) done(t admission.Permit, kind admission.ResultKind, instance string, at time.Time) {
	crash := g.admission.Done(t, admission.Result{Kind: kind, Instance: instance}, at)
	g.waiting.wake()
	g.reportCrash(crash, at)
}

// reportCrash records a crash of the target, if there was one.
func (g *guard) reportCrash(crash *admission.Crash, now time.Time) {
	if crash == nil {
		return
	}
	id := quarantine.CrashID{Node: g.self, Instance: crash.Instance}
	g.tell(g.quarantine.RecordCrash(id, crash.InFlight, now))
}

// tell spreads a message that says something.
func (g *guard) tell(m quarantine.Message) {
	if !m.Empty() {
		g.spread(m)
	}
}
