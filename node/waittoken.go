package node

import (
	"net/http"
	"sync/atomic"

	"verbenatrestle/request"
)

// headerMayWait tells the guard that the request may wait for a slot.
const headerMayWait = "Vt-May-Wait"

// waitToken lets one attempt of a request wait at a full guard. It is used up
// by the first that asks, so that refusals of all attempts still end soon.
type waitToken struct {
	used atomic.Bool
}

// take uses the permit up and reports whether it was left. Nil has none.
func (p *waitToken) take() bool {
	return p != nil && !p.used.Swap(true)
}

// receivedWaitToken returns the permit of an order that came over a hop. An owner
// dispatches the order itself, so it begins anew.
func receivedWaitToken(h http.Header) *waitToken {
	if h.Get(request.HeaderHop) == request.HopOwner || h.Get(headerMayWait) != "" {
		return &waitToken{}
	}
	return nil
}
