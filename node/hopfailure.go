package node

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"verbenatrestle/request"
)

// reportedFailure returns the failure in the response of another node.
func reportedFailure(outcome request.Outcome, step, node string, r *response) *request.Failure {
	f := &request.Failure{}
	if err := json.Unmarshal(r.buffered, f); err != nil || f.Title == "" {
		f = newFailure(r.status, outcome, step, node, "failure without description", err)
	}
	f.Outcome = outcome
	f.Status = r.status
	if f.Peer == "" {
		f.Peer = node
	}
	return f
}

// hopRetryAfter returns the Retry-After of a failure in the response of another
// node, or zero.
func hopRetryAfter(h http.Header) time.Duration {
	if ms, err := strconv.Atoi(h.Get(headerRetryAfterMs)); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return parseRetryAfter(h)
}

// headerRetryAfterMs is the Retry-After of a failure in milliseconds. Nodes send
// it to each other because Retry-After has whole seconds only.
const headerRetryAfterMs = "Vt-Retry-After-Ms"

// writeHopFailure writes a failure for another node.
func writeHopFailure(w http.ResponseWriter, f *request.Failure) {
	if f.RetryAfter > 0 {
		w.Header().Set(headerRetryAfterMs, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	}
	f.Write(w)
}

// headerOwner carries the name of the key's owner in the response of a node that
// is not the owner.
const headerOwner = "Vt-Owner"
