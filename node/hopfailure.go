package node

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"verbenatrestle/request"
)

// reportedFailure reads the failure that another node answered with.
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
	if seconds, err := strconv.Atoi(r.header.Get("Retry-After")); err == nil && seconds > 0 {
		f.RetryAfter = time.Duration(seconds) * time.Second
	}
	if ms, err := strconv.Atoi(r.header.Get(headerRetryAfterMs)); err == nil && ms > 0 {
		f.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return f
}

// headerRetryAfterMs is Retry-After in milliseconds, between nodes.
const headerRetryAfterMs = "Vt-Retry-After-Ms"

// writeHopFailure sends a failure to another node.
func writeHopFailure(w http.ResponseWriter, f *request.Failure) {
	if f.RetryAfter > 0 {
		w.Header().Set(headerRetryAfterMs, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	}
	f.Write(w)
}

// headerOwner names the owner of a key, from a node that is not the owner.
const headerOwner = "Vt-Owner"
