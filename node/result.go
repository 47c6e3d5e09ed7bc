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

// result is the end of one attempt: an answer, or the failure that stands in
// for it.
type result struct {
	// response is what the target answered, nil if it didn't.
	response *response
	// failure says why there is no answer. Nil if there is one.
	failure *request.Failure
	// kind tells the balancing table how the attempt ended.
	kind balance.ResultKind
	// sample is the load at the target's guard, if sampled.
	sample    load.Sample
	hasSample bool
	// owner is the node that a node which is not the owner points to.
	owner string
}

// failed returns the result of an attempt that ended with a failure.
func failed(kind balance.ResultKind, f *request.Failure) result {
	return result{failure: f, kind: kind}
}

// retryable reports whether the answer is one that another target may better.
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

// notRun reports whether it is proved that the attempt was not run.
func (r *result) notRun() bool {
	return r.failure != nil && r.failure.Outcome == request.NotRun
}

// targetConnectionBroke reports whether the connection to a target broke under the
// attempt, as it does when the target crashes.
func (r *result) targetConnectionBroke() bool {
	f := r.failure
	return f != nil && f.Step == stepTarget && f.Outcome == request.Unknown && f.Status == http.StatusBadGateway
}

// close gives up an answer that nobody reads.
func (r *result) close() {
	if r.response != nil {
		r.response.close()
	}
}

// newFailure returns a failure of the given step and peer.
func newFailure(status int, outcome request.Outcome, step, peer, title string, cause error) *request.Failure {
	f := &request.Failure{Status: status, Outcome: outcome, Step: step, Peer: peer, Title: title}
	if cause != nil {
		f.Detail = cause.Error()
	}
	return f
}

// withRetryAfter sets when the caller may come back, and returns the failure.
func withRetryAfter(f *request.Failure, after time.Duration) *request.Failure {
	f.RetryAfter = after
	return f
}

// onClose has f called when the answer has been read or given up; at once
// when there is nothing left to read.
func (r *result) onClose(f func()) {
	if r.response == nil || r.response.remaining == nil {
		f()
		return
	}
	r.response.remaining = &closeHook{ReadCloser: r.response.remaining, after: f}
}

// closeHook calls after once the body is closed.
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
