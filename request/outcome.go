package request

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome is what is known about whether a target ran a request, if no answer
// of a target is returned for it.
type Outcome string

const (
	// NotRun means that no target ran the request or will run it.
	NotRun Outcome = "not-run"
	// Unknown means that a target may have run the request.
	Unknown Outcome = "unknown"
	// Done means that a target ran the request, but its answer is no longer
	// stored.
	Done Outcome = "done"
)

// ContentTypeProblem is the media type of problem documents as in RFC 9457.
const ContentTypeProblem = "application/problem+json"

// Failure is the final answer to a request for which no answer of a target is
// returned. It is both an error and the body of an RFC 9457 problem document.
type Failure struct {
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Title is a short description of the failure.
	Title string `json:"title"`
	// Detail is a human-readable explanation of the cause.
	Detail string `json:"detail,omitempty"`
	// Outcome is whether a target ran the request.
	Outcome Outcome `json:"outcome"`
	// Step is the step at which the request failed, such as "admit".
	Step string `json:"step"`
	// Peer is the node or target at which the request failed, or empty.
	Peer string `json:"peer,omitempty"`
	// RetryAfter is the delay after which the caller may retry. Zero means that
	// no Retry-After header is sent.
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Peer == "" {
		return fmt.Sprintf("%s: %s: %s (%s)", f.Step, f.Title, f.Detail, f.Outcome)
	}
	return fmt.Sprintf("%s at %s: %s: %s (%s)", f.Step, f.Peer, f.Title, f.Detail, f.Outcome)
}

// Write sends the failure as the final answer. It rounds Retry-After up to
// whole seconds, as RFC 9110 requires.
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
