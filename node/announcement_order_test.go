package node

import (
	"sync"
	"testing"

	"verbenatrestle/version"
)

// Guards against connections that carry the service of an earlier announcement for good: two
// announcements at the same time left the connections of one and the state of the other.
func TestConnectionsFollowTheAnnouncementAtTheSameTime(t *testing.T) {
	const rounds = 2000
	for round := range rounds {
		local, _ := newLocalTarget(t, version.TargetLimits{})
		former, present := bigTarget, bigTarget
		present.Service, present.Instance = "other", "i2"
		var announcements sync.WaitGroup
		announcements.Go(func() { local.announce(former) })
		announcements.Go(func() { local.announce(present) })
		announcements.Wait()
		local.announce(present)
		if service := local.proxy.client.Load().service; service != present.service() {
			t.Fatalf("round %d: the connections are those of %s, want %s", round, service, present.service())
		}
	}
}
