package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/connection/httpcheck"
	"verbenatrestle/process/admission"
	"verbenatrestle/request"
	"verbenatrestle/request/balance"
	"verbenatrestle/request/quarantine"
)

const (
	// stepTarget is the step of failures between the node and its target.
	stepTarget = "send to target"
	// cancelGrace is the default of targetProxy.cancelGrace.
	cancelGrace = 10 * time.Millisecond
)

// targetProxy passes requests to the local target. Every request to that target
// goes through it: it admits or refuses the request, forwards it if admitted,
// and reports the result to the admission controller.
type targetProxy struct {
	self       string
	admission  *admission.Controller
	quarantine *quarantine.Table
	// flood sends crashes of the target and completions of suspect requests to
	// all other nodes.
	flood func(quarantine.Message)
	// onConnectionBroken is called with the target's address when a connection
	// to it broke or could not be opened.
	onConnectionBroken func(address string)
	// client is nil until the target has announced itself.
	client atomic.Pointer[targetClient]
	// waitQueue holds requests that wait for a slot while the target is full.
	// Nil disables waiting.
	waitQueue *waitQueue
	// cancelGrace is how long a cancelled request keeps its slot, because the
	// target works on it until it notices that the connection was closed.
	cancelGrace time.Duration
}

// serve implements requestServer.
func (p *targetProxy) serve(ctx context.Context, req *bufferedRequest) result {
	try := func() (admission.Permit, *admission.Refusal) { return p.admit(req, time.Now()) }
	permit, refusal := try()
	if req.waitToken.take() && refusal != nil {
		permit, refusal = p.waitQueue.admit(ctx, refusal, try)
	}
	if refusal != nil {
		return result{
			failure:   refusal.Failure(p.self),
			kind:      balance.Refused,
			sample:    refusal.Sample,
			hasSample: true,
		}
	}
	return p.send(ctx, permit, req)
}

// admit requests a permit from the admission controller.
func (p *targetProxy) admit(req *bufferedRequest, now time.Time) (admission.Permit, *admission.Refusal) {
	return p.admission.Admit(admission.Request{
		Caller:      request.ShareKey{Organisation: req.caller.Organisation(), Service: req.caller.Name()},
		Fingerprint: req.fingerprint,
		Suspect:     req.suspect || p.isSuspect(req, now),
		Expiry:      req.expiry,
		Deadline:    req.deadline.Time(),
	}, now)
}

// isSuspect reports whether the request is suspect or quarantined at this node.
func (p *targetProxy) isSuspect(req *bufferedRequest, now time.Time) bool {
	verdict, _ := p.quarantine.Check(req.fingerprint, now)
	return verdict != quarantine.Unsuspected
}

// send forwards an admitted request to the target, unless the target serves another service:
// the sender may know an earlier announcement, and a later one may follow the admission.
func (p *targetProxy) send(ctx context.Context, permit admission.Permit, req *bufferedRequest) result {
	client := p.client.Load()
	if client == nil {
		return p.finish(permit, req, admission.NotSent, "", failed(balance.Failed,
			newFailure(http.StatusServiceUnavailable, request.NotRun, stepTarget, p.self, "no target", nil)))
	}
	if client.service != req.service.ID {
		f := newFailure(http.StatusServiceUnavailable, request.NotRun, stepTarget, p.self, "target of another service",
			errors.Errorf("the target serves %s, the request is for %s", client.service, req.service.ID))
		return p.finish(permit, req, admission.NotSent, "", failed(balance.Refused, withRetryAfter(f, noTargetRetryAfter)))
	}
	r, err := req.httpRequest(ctx, client.base, time.Now())
	if err != nil {
		return p.finish(permit, req, admission.NotSent, "", failed(balance.Cancelled,
			newFailure(http.StatusGatewayTimeout, request.NotRun, stepTarget, p.self, "out of time", err)))
	}
	resp, connected, err := httpcheck.RoundTrip(client.transport, r)
	if err != nil {
		return p.finishError(ctx, permit, req, client, connected, err)
	}
	return p.finishResponse(permit, req, client, resp)
}

// finishError finishes an attempt that got no response.
func (p *targetProxy) finishError(ctx context.Context, permit admission.Permit, req *bufferedRequest, c *targetClient, connected bool, err error) result {
	if !connected && errors.Is(err, errOtherInstance) {
		f := newFailure(http.StatusServiceUnavailable, request.NotRun, stepTarget, p.self, "another instance of the target", err)
		return p.finish(permit, req, admission.NotSent, "", failed(balance.Refused, withRetryAfter(f, noTargetRetryAfter)))
	}
	f := roundTripFailure(stepTarget, c.address, connected, err)
	kind := admission.Broken
	switch {
	case !connected:
		kind = admission.NotSent
	case ctx.Err() != nil:
		kind = admission.Cancelled
	}
	res := p.finish(permit, req, kind, "", failed(balance.Failed, f))
	if ctx.Err() == nil {
		p.onConnectionBroken(c.address)
	}
	return res
}

// finishResponse finishes an attempt that the target answered. If part of the
// response is still unread, the slot is released when the body is closed.
func (p *targetProxy) finishResponse(permit admission.Permit, req *bufferedRequest, c *targetClient, resp *http.Response) result {
	instance := resp.Header.Get(request.HeaderInstance)
	if id := resp.Header.Get(request.HeaderRequestID); id != "" && id != req.id {
		_ = resp.Body.Close()
		return p.finish(permit, req, admission.Broken, instance, failed(balance.Failed,
			newFailure(http.StatusBadGateway, request.Unknown, stepTarget, c.address, "answer to another request",
				errors.Errorf("sent request %s, got the answer to %q", req.id, id))))
	}
	outcome := request.Outcome(resp.Header.Get(request.HeaderOutcome))
	received, err := readResponse(resp)
	if err != nil {
		res := p.finish(permit, req, admission.Broken, instance, failed(balance.Failed,
			newFailure(http.StatusBadGateway, request.Unknown, stepTarget, c.address, "answer broke off", err)))
		p.onConnectionBroken(c.address)
		return res
	}
	if outcome != "" {
		return p.finishReportedOutcome(permit, req, c, instance, outcome, received)
	}
	received.node = p.self
	received.header.Del(headerReplayed)
	res := result{response: received, kind: responseKind(received.status)}
	kind := admission.Answered
	if res.kind == balance.Failed {
		kind = admission.Failed
	}
	if received.remaining == nil {
		return p.finish(permit, req, kind, instance, res)
	}
	body := &trackedBody{ReadCloser: received.remaining}
	received.remaining = body
	res.onClose(func() { p.finish(permit, req, body.kind(kind), instance, res) })
	res.sample = p.admission.Sample(time.Now())
	res.hasSample = true
	return res
}

// finishReportedOutcome finishes an attempt for which the target itself reported
// an outcome: the request was not run, or its outcome is unknown. A caller must not take
// it for a success, whatever the status of the response.
func (p *targetProxy) finishReportedOutcome(permit admission.Permit, req *bufferedRequest, c *targetClient, instance string, outcome request.Outcome, received *response) result {
	received.close()
	kind := admission.Failed
	balanceKind := balance.Failed
	status := http.StatusBadGateway
	if outcome == request.NotRun {
		kind = admission.Shed
		balanceKind = balance.Refused
		status = http.StatusServiceUnavailable
	} else {
		outcome = request.Unknown
	}
	if received.status >= http.StatusBadRequest {
		status = received.status
	}
	f := newFailure(status, outcome, stepTarget, c.address, "refused by the target", nil)
	f.RetryAfter = parseRetryAfter(received.header)
	return p.finish(permit, req, kind, instance, failed(balanceKind, f))
}

// finish releases the slot of an attempt, records the completion for the
// quarantine, and returns the result with the target's load.
func (p *targetProxy) finish(permit admission.Permit, req *bufferedRequest, kind admission.ResultKind, instance string, res result) result {
	now := time.Now()
	if kind == admission.Cancelled {
		time.AfterFunc(p.cancelGrace, func() { p.release(permit, kind, instance, now) })
	} else {
		p.release(permit, kind, instance, now)
	}
	if kind == admission.Answered {
		p.floodUnlessEmpty(p.quarantine.RecordCompletion(req.fingerprint, req.suspect, now))
	}
	res.sample = p.admission.Sample(now)
	res.hasSample = true
	return res
}

// release returns the slot of an attempt that ended at the given time.
func (p *targetProxy) release(permit admission.Permit, kind admission.ResultKind, instance string, at time.Time) {
	crash := p.admission.Done(permit, admission.Result{Kind: kind, Instance: instance}, at)
	p.waitQueue.wake()
	p.reportCrash(crash, at)
}

// reportCrash records a crash of the target and floods it. It ignores nil.
func (p *targetProxy) reportCrash(crash *admission.Crash, now time.Time) {
	if crash == nil {
		return
	}
	id := quarantine.CrashID{Node: p.self, Instance: crash.Instance}
	p.floodUnlessEmpty(p.quarantine.RecordCrash(id, crash.InFlight, now))
}

// floodUnlessEmpty sends a message to all other nodes unless it is empty.
func (p *targetProxy) floodUnlessEmpty(m quarantine.Message) {
	if !m.Empty() {
		p.flood(m)
	}
}
