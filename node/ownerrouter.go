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

// ownerRouter sends non-idempotent requests to the owners of their keys.
type ownerRouter struct {
	self string
	// ownerOf returns the node that owns a key, as far as this node knows.
	ownerOf func(service, key string) (node string, ok bool)
	// reportReachable and reportFailed report to ownership whether the owner of
	// a key can be reached.
	reportReachable func(service, key string)
	reportFailed    func(service, key string)
	// local serves the keys that this node owns.
	local   requestServer
	hops    *hopClient
	metrics *requestMetrics
}

// stepOwner is the step of a failed hop to an owner.
const stepOwner = "hop to " + request.HopOwner

const (
	// maxOwnerFailures bounds how often a request is sent to an owner that is
	// unreachable.
	maxOwnerFailures = 5
	// maxOwnerRedirects bounds how often a request is redirected because its
	// partition moves.
	maxOwnerRedirects = 50
	// ownerRetryDelay is the delay before a request is sent to an owner again.
	ownerRetryDelay = 20 * time.Millisecond
	// noOwnerRetryAfter is the Retry-After of a request that found no owner.
	noOwnerRetryAfter = time.Second
)

// route runs the request at the owner of its key. It is safe to send the request
// again under the same key, because the owner runs a key at most once.
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

// notOwner reports whether the node refused because it doesn't own the key.
func notOwner(res *result) bool {
	return res.failure != nil && res.failure.Step == stepClaim && res.failure.Status == http.StatusMisdirectedRequest
}

// ownerUnreachable reports whether the hop to the owner failed or the owner
// doesn't have the configuration of the service yet.
func ownerUnreachable(res *result) bool {
	if res.failure == nil {
		return false
	}
	unconfigured := res.failure.Step == stepReadHop && res.failure.Status == http.StatusServiceUnavailable
	return res.failure.Step == stepOwner || unconfigured
}

// callerResult turns a failure of the hop to the owner into one for the caller,
// who should retry a 503 later and must not see the 421 of a wrong owner.
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

// attempt sends the request once, to the node in hint or, if that is empty, to
// the owner that ownerOf returns.
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

// ownerUnavailable reports whether the owner was unreachable or can't run
// requests because it lost its lease. In both cases another node takes over.
func ownerUnavailable(res *result) bool {
	if res.failure == nil {
		return false
	}
	unleased := res.failure.Step == stepClaim && res.failure.Detail == string(ownership.ReasonNoLease)
	return unleased || res.kind == balance.Failed
}
