package node

import (
	"io"
	"net/http"
	"sync"
	"time"

	"verbenatrestle/connection/load"
	"verbenatrestle/request"
	"verbenatrestle/request/balance"
)

// result is the result of one attempt: either a response or a failure.
type result struct {
	// response is the target's response, nil if there is a failure.
	response *response
	// failure is the reason why there is no response, nil if there is one.
	failure *request.Failure
	// kind is the result as the balancing table counts it.
	kind balance.ResultKind
	// sample is the load of the target. It is valid only if hasSample is set.
	sample    load.Sample
	hasSample bool
	// owner is the owner of the key according to a node that refused the request
	// because it is not the owner.
	owner string
}

// failed returns the result of an attempt that ended with a failure.
func failed(kind balance.ResultKind, f *request.Failure) result {
	return result{failure: f, kind: kind}
}

// retryable reports whether another target might give a better result: there is
// no response, or one with the status 500, 502, 503 or 504.
func (r *result) retryable() bool {
	if r.response == nil {
		return true
	}
	switch r.response.status {
	case http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// notRun reports whether the request was certainly not run in this attempt.
func (r *result) notRun() bool {
	return r.failure != nil && r.failure.Outcome == request.NotRun
}

// targetConnectionBroke reports whether the connection to the target broke during
// the attempt, as it does when the target crashes.
func (r *result) targetConnectionBroke() bool {
	f := r.failure
	return f != nil && f.Step == stepTarget && f.Outcome == request.Unknown && f.Status == http.StatusBadGateway
}

// close discards a response that is not forwarded.
func (r *result) close() {
	if r.response != nil {
		r.response.close()
	}
}

// newFailure returns a failure of the given step and peer. The cause may be nil.
func newFailure(status int, outcome request.Outcome, step, peer, title string, cause error) *request.Failure {
	f := &request.Failure{Status: status, Outcome: outcome, Step: step, Peer: peer, Title: title}
	if cause != nil {
		f.Detail = cause.Error()
	}
	return f
}

// withRetryAfter sets the Retry-After of the failure and returns the failure.
func withRetryAfter(f *request.Failure, after time.Duration) *request.Failure {
	f.RetryAfter = after
	return f
}

// onClose registers f to be called when the body of the response is closed. If
// there is nothing left to read, it calls f at once.
func (r *result) onClose(f func()) {
	if r.response == nil || r.response.remaining == nil {
		f()
		return
	}
	r.response.remaining = &closeHook{ReadCloser: r.response.remaining, after: f}
}

// closeHook calls after when the body is closed for the first time.
type closeHook struct {
	io.ReadCloser
	once  sync.Once
	after func()
}

// Close implements io.Closer.
func (c *closeHook) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.after)
	return err
}
