package node

import (
	"net/http"
	"sync/atomic"

	"verbenatrestle/request"
)

// headerPatient tells the guard that the request may wait for a slot.
const headerPatient = "Vt-Patient"

// patience lets one attempt of a request wait at a full guard. It is used up
// by the first that asks, so that refusals of all attempts still end soon.
type patience struct {
	used atomic.Bool
}

// take uses the patience up and reports whether it was left. Nil has none.
func (p *patience) take() bool {
	return p != nil && !p.used.Swap(true)
}

// sentPatience returns the patience of an order that came over a hop. An owner
// dispatches the order itself, so it begins anew.
func sentPatience(h http.Header) *patience {
	if h.Get(request.HeaderHop) == request.HopOwner || h.Get(headerPatient) != "" {
		return &patience{}
	}
	return nil
}
