package node

import (
	"net/http"
	"sync/atomic"

	"verbenatrestle/request"
)

// headerMayWait marks a hop whose request may wait for a slot at the target.
const headerMayWait = "Vt-May-Wait"

// waitToken lets one attempt of a request wait for a slot of a full target. The
// first attempt uses it up, so that a request is still refused soon if all
// targets are full.
type waitToken struct {
	used atomic.Bool
}

// take uses up the token and reports whether it was still unused. A nil token
// counts as used.
func (t *waitToken) take() bool {
	return t != nil && !t.used.Swap(true)
}

// receivedWaitToken returns the token of a request that came over a hop. At an
// owner the request always gets a new token, because the owner dispatches it.
func receivedWaitToken(h http.Header) *waitToken {
	if h.Get(request.HeaderHop) == request.HopOwner || h.Get(headerMayWait) != "" {
		return &waitToken{}
	}
	return nil
}
