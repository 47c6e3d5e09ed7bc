package gateway

import (
	"net/http"
	"time"

	"verbenatrestle/platform"
)

// applyNotices applies what an instance of the target states about itself in the headers
// of a response to a request that was sent to it at the given time.
func (t *localTarget) applyNotices(instance string, header http.Header, sentAt time.Time) {
	if platform.IsLeaving(header.Get(platform.HeaderLeaving)) {
		t.markLeaving(instance)
	}
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

// markLeaving records that an instance of the target shuts down soon.
func (t *localTarget) markLeaving(instance string) {
	t.mu.Lock()
	news := t.gate.MarkLeaving(instance, time.Now())
	t.mu.Unlock()
	if news {
		t.node.departures.requestWrite()
		t.node.events.targetLeaving(instance)
		t.node.peers.requestBroadcast()
	}
}
