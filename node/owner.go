package node

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"verbenatrestle/process/ownership"
	"verbenatrestle/process/ownership/claim"
	"verbenatrestle/request"
	"verbenatrestle/request/balance"
)

// stepClaim is the step of failures that result from the claim of a key.
const stepClaim = "claim"

// claims is the part of ownership.Runner that the owner uses.
type claims interface {
	Claim(ownership.Request) ownership.Decision
	Complete(ownership.ClaimHandle, *claim.Answer)
	Abort(ownership.ClaimHandle)
	MarkUnknown(ownership.ClaimHandle)
}

// owner runs non-idempotent requests whose keys this node owns, each key at
// most once.
type owner struct {
	self     string
	claims   claims
	dispatch func(ctx context.Context, req *bufferedRequest) result
	// maxResponseBytes bounds the body of a response that is stored for replay, in
	// bytes.
	maxResponseBytes int64
}

// serve implements requestServer.
func (o *owner) serve(ctx context.Context, req *bufferedRequest) result {
	for {
		d := o.claims.Claim(ownership.Request{Service: string(req.service.ID), Key: req.key, Expires: req.expiry})
		switch d.Verdict {
		case ownership.Run:
			return o.run(ctx, req, d)
		case ownership.Replay:
			return replay(d.Answer)
		case ownership.InProgress:
			if !waitDone(ctx, d.Wait) {
				return failed(balance.Failed, newFailure(http.StatusGatewayTimeout, request.Unknown, stepClaim, o.self,
					"out of time", errors.New("the operation still runs for an earlier request")))
			}
		default:
			return o.refuse(d)
		}
	}
}

// waitDone returns true once done is closed, or false if the context ends first.
func waitDone(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// run runs the operation once. It continues if the caller disconnects, because
// the outcome must be recorded.
func (o *owner) run(ctx context.Context, req *bufferedRequest, d ownership.Decision) result {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.deadline.Time())
	defer cancel()
	req.expiry = d.Expiry
	res := o.dispatch(ctx, req)
	if res.failure == nil {
		return o.complete(d.Handle, res)
	}
	if res.failure.Outcome == request.NotRun {
		o.claims.Abort(d.Handle)
		return res
	}
	o.claims.MarkUnknown(d.Handle)
	return res
}

// complete stores the response under the claim and then returns it.
func (o *owner) complete(handle ownership.ClaimHandle, res result) result {
	if err := res.response.bufferAll(o.maxResponseBytes); err != nil {
		o.claims.MarkUnknown(handle)
		return failed(balance.Failed, newFailure(http.StatusBadGateway, request.Unknown, "read answer", res.response.node,
			"answer is not whole", err))
	}
	o.claims.Complete(handle, &claim.Answer{Status: res.response.status, Header: res.response.header, Body: res.response.buffered})
	return res
}

// replay returns a stored response.
func replay(stored *claim.Answer) result {
	received := &response{
		status:   stored.Status,
		header:   http.Header(stored.Header).Clone(),
		buffered: stored.Body,
		length:   int64(len(stored.Body)),
	}
	received.header.Set(headerReplayed, "true")
	return result{response: received, kind: balance.Answered}
}

// headerReplayed marks a stored response to an operation that was run before. Only an
// owner sets it; it is removed from responses of targets.
const headerReplayed = "Idempotent-Replayed"

// refuse returns the failure of a request that is not run here.
func (o *owner) refuse(d ownership.Decision) result {
	status := http.StatusServiceUnavailable
	outcome := request.NotRun
	title := "not run by the owner"
	switch d.Verdict {
	case ownership.NotOwner:
		status = http.StatusMisdirectedRequest
		title = "not the owner"
	case ownership.Unknown:
		status = http.StatusConflict
		outcome = request.Unknown
		title = "an earlier run's end is unknown"
	case ownership.Done:
		status = http.StatusConflict
		outcome = request.Done
		title = "run before, answer no longer kept"
	}
	if permanent(d.Reason) {
		status = http.StatusConflict
	}
	f := newFailure(status, outcome, stepClaim, o.self, title, errors.New(string(d.Reason)))
	f.RetryAfter = d.RetryAfter
	res := failed(balance.Refused, f)
	res.owner = d.Owner
	return res
}

// permanent reports whether a retry with the same key would be refused as well.
func permanent(r ownership.Reason) bool {
	switch r {
	case ownership.ReasonExpiredKey, ownership.ReasonInvalidKey, ownership.ReasonExpired:
		return true
	}
	return false
}
