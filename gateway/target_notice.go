package gateway

import (
	"net/http"
	"time"

	"verbenatrestle/platform"
)

// applyNotices applies what the target states about itself in the headers of a response
// to a request that was sent to it at the given time.
func (t *localTarget) applyNotices(header http.Header, sentAt time.Time) {
	perSecond, limited, err := platform.ParseRequestLimit(header.Get(platform.HeaderRequestLimit))
	if err != nil {
		t.node.events.badMessage("request_limit", t.node.settings().Target, err)
		return
	}
	t.mu.Lock()
	changed := t.namedLimit != perSecond
	t.namedLimit = perSecond
	t.gate.ApplyRequestLimit(perSecond, limited, sentAt, time.Now())
	state := t.gate.State(sentAt)
	t.mu.Unlock()
	if changed {
		t.node.peers.requestBroadcast()
		t.node.events.targetLimit(state, perSecond, limited)
	}
}
