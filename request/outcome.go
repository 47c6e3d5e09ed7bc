package request

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells what is known about the run of a request that got no answer
// from a target.
type Outcome string

const (
	// NotRun means that no target ran the request, and none will.
	NotRun Outcome = "not-run"
	// Unknown means that a target may have run the request.
	Unknown Outcome = "unknown"
	// Done means that a target ran the request, and its answer is not kept.
	Done Outcome = "done"
)

// ContentTypeProblem is the media type of RFC 9457.
const ContentTypeProblem = "application/problem+json"

// Failure is the final answer to a request that no target answered. It is
// both an error and the body of an RFC 9457 problem document.
type Failure struct {
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Title says in a few words what failed.
	Title string `json:"title"`
	// Detail is the cause, for people.
	Detail string `json:"detail,omitempty"`
	// Outcome tells whether the request was run.
	Outcome Outcome `json:"outcome"`
	// Step is the step at which the request failed, such as "admit".
	Step string `json:"step"`
	// Peer is the node or target at which it failed, if any.
	Peer string `json:"peer,omitempty"`
	// RetryAfter tells the caller when to come back. Zero means not at all.
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Peer == "" {
		return fmt.Sprintf("%s: %s: %s (%s)", f.Step, f.Title, f.Detail, f.Outcome)
	}
	return fmt.Sprintf("%s at %s: %s: %s (%s)", f.Step, f.Peer, f.Title, f.Detail, f.Outcome)
}

// Write sends the failure as the final answer. Retry-After is rounded up to
// whole seconds, as RFC 9110 wants it.
func (f *Failure) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", ContentTypeProblem)
	header.Set(HeaderOutcome, string(f.Outcome))
	if f.RetryAfter > 0 {
		seconds := int(math.Ceil(f.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	body, err := json.Marshal(f)
	if err != nil {
		http.Error(w, f.Title, f.Status)
		return
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.Status)
	_, _ = w.Write(body)
}
