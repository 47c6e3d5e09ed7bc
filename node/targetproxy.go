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

// targetProxy is the only way into the target beside the node: it admits a request
// or refuses it, sends what it admitted, and tells admission of the end.
type targetProxy struct {
	self       string
	admission  *admission.Controller
	quarantine *quarantine.Table
	// flood tells the other nodes of crashes and of suspects that completed.
	flood func(quarantine.Message)
	// onConnectionBroken is called when a connection to the target broke or was refused.
	onConnectionBroken func(address string)
	client             atomic.Pointer[targetClient]
	// waitQueue holds requests that may wait while the target is full.
	waitQueue *waitQueue
	// cancelGrace is how long a cancelled request keeps its slot, since the
	// target goes on with it until it sees that the connection was closed.
	cancelGrace time.Duration
}

// serve implements orderServer.
func (g *targetProxy) serve(ctx context.Context, req *bufferedRequest) result {
	try := func() (admission.Permit, *admission.Refusal) { return g.admit(req, time.Now()) }
	ticket, refusal := try()
	if req.waitToken.take() && refusal != nil {
		ticket, refusal = g.waitQueue.admit(ctx, refusal, try)
	}
	if refusal != nil {
		return result{
			failure:   refusal.Failure(g.self),
			kind:      balance.Refused,
			sample:    refusal.Sample,
			hasSample: true,
		}
	}
	return g.send(ctx, ticket, req)
}

// admit asks admission to let the order in.
func (g *targetProxy) admit(req *bufferedRequest, now time.Time) (admission.Permit, *admission.Refusal) {
	return g.admission.Admit(admission.Request{
		Caller:      request.ShareKey{Organisation: req.caller.Organisation(), Service: req.caller.Name()},
		Fingerprint: req.fingerprint,
		Suspect:     req.suspect || g.isSuspect(req, now),
		Expiry:      req.expiry,
		Deadline:    req.deadline.Time(),
	}, now)
}

// isSuspect reports whether this node holds the request for a suspect.
func (g *targetProxy) isSuspect(req *bufferedRequest, now time.Time) bool {
	verdict, _ := g.quarantine.Check(req.fingerprint, now)
	return verdict != quarantine.Unsuspected
}

// send sends an admitted order to the target.
func (g *targetProxy) send(ctx context.Context, ticket admission.Permit, req *bufferedRequest) result {
	client := g.client.Load()
	if client == nil {
		return g.finish(ticket, req, admission.NotSent, "", failed(balance.Failed,
			newFailure(http.StatusServiceUnavailable, request.NotRun, stepTarget, g.self, "no target", nil)))
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	r, err := req.httpRequest(httptrace.WithClientTrace(ctx, trace), client.base, time.Now())
	if err != nil {
		return g.finish(ticket, req, admission.NotSent, "", failed(balance.Cancelled,
			newFailure(http.StatusGatewayTimeout, request.NotRun, stepTarget, g.self, "out of time", err)))
	}
	resp, err := client.transport.RoundTrip(r)
	if err != nil {
		return g.finishError(ctx, ticket, req, client, connected, err)
	}
	return g.finishResponse(ticket, req, client, resp)
}

// finishError ends an attempt that got no answer.
func (g *targetProxy) finishError(ctx context.Context, t admission.Permit, req *bufferedRequest, c *targetClient, connected bool, err error) result {
	f := roundTripFailure(stepTarget, c.address, connected, err)
	kind := admission.Broken
	switch {
	case !connected:
		kind = admission.NotSent
	case ctx.Err() != nil:
		kind = admission.Cancelled
	}
	res := g.finish(t, req, kind, "", failed(balance.Failed, f))
	if ctx.Err() == nil {
		g.onConnectionBroken(c.address)
	}
	return res
}

// finishResponse ends an attempt that the target answered, at the latest when the
// whole answer was read.
func (g *targetProxy) finishResponse(t admission.Permit, req *bufferedRequest, c *targetClient, resp *http.Response) result {
	instance := resp.Header.Get(request.HeaderInstance)
	if id := resp.Header.Get(request.HeaderRequestID); id != "" && id != req.id {
		_ = resp.Body.Close()
		return g.finish(t, req, admission.Broken, instance, failed(balance.Failed,
			newFailure(http.StatusBadGateway, request.Unknown, stepTarget, c.address, "answer to another request",
				errors.Errorf("sent request %s, got the answer to %q", req.id, id))))
	}
	outcome := request.Outcome(resp.Header.Get(request.HeaderOutcome))
	a, err := readResponse(resp)
	if err != nil {
		res := g.finish(t, req, admission.Broken, instance, failed(balance.Failed,
			newFailure(http.StatusBadGateway, request.Unknown, stepTarget, c.address, "answer broke off", err)))
		g.onConnectionBroken(c.address)
		return res
	}
	if outcome != "" {
		return g.finishReportedOutcome(t, req, c, instance, outcome, a)
	}
	a.node = g.self
	res := result{response: a, kind: responseKind(a.status)}
	kind := admission.Answered
	if res.kind == balance.Failed {
		kind = admission.Failed
	}
	if a.remaining == nil {
		return g.finish(t, req, kind, instance, res)
	}
	body := &trackedBody{ReadCloser: a.remaining}
	a.remaining = body
	res.onClose(func() { g.finish(t, req, body.kind(kind), instance, res) })
	res.sample = g.admission.Sample(time.Now())
	res.hasSample = true
	return res
}

// finishReportedOutcome ends an attempt that the target refused or gave up by its own
// word.
func (g *targetProxy) finishReportedOutcome(t admission.Permit, req *bufferedRequest, c *targetClient, instance string, outcome request.Outcome, a *response) result {
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
	f.RetryAfter = parseRetryAfter(a.header)
	return g.finish(t, req, kind, instance, failed(balanceKind, f))
}

// finish tells admission and quarantine of the end, and adds the target's load.
func (g *targetProxy) finish(t admission.Permit, req *bufferedRequest, kind admission.ResultKind, instance string, res result) result {
	now := time.Now()
	if kind == admission.Cancelled {
		time.AfterFunc(g.cancelGrace, func() { g.release(t, kind, instance, now) })
	} else {
		g.release(t, kind, instance, now)
	}
	if kind == admission.Answered {
		g.floodUnlessEmpty(g.quarantine.RecordCompletion(req.fingerprint, req.suspect, now))
	}
	res.sample = g.admission.Sample(now)
	res.hasSample = true
	return res
}

// release frees the slot of an attempt that ended at the given time.
func (g *targetProxy) release(t admission.Permit, kind admission.ResultKind, instance string, at time.Time) {
	crash := g.admission.Done(t, admission.Result{Kind: kind, Instance: instance}, at)
	g.waitQueue.wake()
	g.reportCrash(crash, at)
}

// reportCrash records a crash of the target, if there was one.
func (g *targetProxy) reportCrash(crash *admission.Crash, now time.Time) {
	if crash == nil {
		return
	}
	id := quarantine.CrashID{Node: g.self, Instance: crash.Instance}
	g.floodUnlessEmpty(g.quarantine.RecordCrash(id, crash.InFlight, now))
}

// floodUnlessEmpty spreads a message that says something.
func (g *targetProxy) floodUnlessEmpty(m quarantine.Message) {
	if !m.Empty() {
		g.flood(m)
	}
}
