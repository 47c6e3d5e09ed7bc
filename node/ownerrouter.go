package node

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/internal/wait"
	"verbenatrestle/process/ownership"
	"verbenatrestle/process/ownership/fence"
	"verbenatrestle/request"
	"verbenatrestle/request/balance"
)

// ownerRouter sends a non-idempotent request to the owner of its key.
type ownerRouter struct {
	self    string
	ownerOf func(service, key string) (node string, ok bool)
	// reportReachable and failed tell ownership whether an owner can be reached.
	reportReachable func(service, key string)
	reportFailed    func(service, key string)
	local           requestServer
	hops            *hopClient
	metrics         *requestMetrics
}

// stepOwner is the step at which a hop to an owner fails.
const stepOwner = "hop to " + request.HopOwner

const (
	// maxOwnerFailures bounds how often a request is sent to an owner that
	// can't be reached.
	maxOwnerFailures = 5
	// maxOwnerRedirects bounds how often a request follows a partition that moves.
	maxOwnerRedirects = 50
	// ownerRetryDelay is the pause before a request is sent to an owner again.
	ownerRetryDelay = 20 * time.Millisecond
	// noOwnerRetryAfter is when a caller may come back that found no owner.
	noOwnerRetryAfter = time.Second
)

// route runs the order at its owner. Sending it again under the same key is
// safe, since an owner runs a key once.
func (r *ownerRouter) route(ctx context.Context, req *bufferedRequest) result {
	if _, dated := fence.KeyTime(req.key); !dated {
		req.expiry = req.deadline.Time()
	}
	var all combinedResult
	failures, redirects, hint := 0, 0, ""
	for failures < maxOwnerFailures && redirects < maxOwnerRedirects {
		res := all.add(r.attempt(ctx, req, hint))
		hint = res.owner
		switch {
		case notOwner(&res):
			redirects++
		case ownerUnreachable(&res):
			failures++
		default:
			return callerResult(res)
		}
		if !wait.For(ctx, ownerRetryDelay) {
			break
		}
		r.metrics.ownerRetries.Inc(1)
	}
	return callerResult(all.last)
}

// notOwner reports whether the node that was asked is not the key's owner.
func notOwner(res *result) bool {
	return res.failure != nil && res.failure.Step == stepClaim && res.failure.Status == http.StatusMisdirectedRequest
}

// ownerUnreachable reports whether the hop to the owner failed, or the node there
// doesn't know the service yet.
func ownerUnreachable(res *result) bool {
	if res.failure == nil {
		return false
	}
	unconfigured := res.failure.Step == stepReadHop && res.failure.Status == http.StatusServiceUnavailable
	return res.failure.Step == stepOwner || unconfigured
}

// callerResult makes a failure at the owner one that means something to callers.
func callerResult(res result) result {
	f := res.failure
	if f == nil || f.Outcome == request.Done {
		return res
	}
	if f.Status == http.StatusMisdirectedRequest {
		f.Status = http.StatusServiceUnavailable
	}
	if f.RetryAfter == 0 && f.Status >= http.StatusInternalServerError {
		f.RetryAfter = noOwnerRetryAfter
	}
	return res
}

// attempt sends the order to its owner once.
func (r *ownerRouter) attempt(ctx context.Context, req *bufferedRequest, hint string) result {
	service := string(req.service.ID)
	node := hint
	if node == "" {
		node, _ = r.ownerOf(service, req.key)
	}
	if node == "" {
		f := newFailure(http.StatusServiceUnavailable, request.NotRun, "find owner", r.self, "no owner",
			errors.Errorf("no owner of the key is known in service %s", service))
		return failed(balance.Refused, withRetryAfter(f, noOwnerRetryAfter))
	}
	if node == r.self {
		copied := *req
		return r.local.serve(ctx, &copied)
	}
	res := r.hops.send(ctx, node, request.HopOwner, req)
	if ownerUnavailable(&res) {
		r.reportFailed(service, req.key)
	} else {
		r.reportReachable(service, req.key)
	}
	return res
}

// ownerUnavailable reports whether the owner was not reached, or is no owner that
// can run anything, having lost its lease. Another node then takes over.
func ownerUnavailable(res *result) bool {
	if res.failure == nil {
		return false
	}
	unleased := res.failure.Step == stepClaim && res.failure.Detail == string(ownership.ReasonNoLease)
	return unleased || res.kind == balance.Failed
}
