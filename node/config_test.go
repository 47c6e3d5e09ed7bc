package node

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"verbenatrestle/process/configstore"
	"verbenatrestle/process/platform"
	"verbenatrestle/version"
)

// numberedConfig returns an encoded configuration of the given version.
func numberedConfig(t *testing.T, number uint64) []byte {
	t.Helper()
	data, err := version.Document{Version: number, OperationID: "op", AcceptedAt: time.Unix(1000, 0)}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A starting node serves only once it has asked the platform and a peer, and
// then with the highest version that either told.
func TestStartingNodeAsksPlatformAndPeers(t *testing.T) {
	fromPlatform := func(c *configuration, number uint64) {
		c.updateFromPlatform(platform.Update{Objects: []platform.Object{{Key: configstore.Key, Value: numberedConfig(t, number)}}})
	}
	fromPeer := func(c *configuration, number uint64) { c.updateFromPeer("n7", numberedConfig(t, number)) }
	cases := []struct {
		name    string
		told    func(c *configuration)
		alone   bool
		later   time.Duration
		known   bool
		version uint64
	}{
		{name: "nothing asked", told: func(*configuration) {}},
		{name: "alone, platform silent", told: func(*configuration) {}, alone: true, later: peerWait},
		{name: "platform alone, peers there", told: func(c *configuration) { fromPlatform(c, 1) }, version: 1},
		{name: "platform, no peers", told: func(c *configuration) { fromPlatform(c, 1) }, alone: true, known: true, version: 1},
		{name: "platform, peers silent", told: func(c *configuration) { fromPlatform(c, 1) }, later: 2 * peerWait, known: true, version: 1},
		{name: "empty platform, no peers", told: func(c *configuration) { c.updateFromPlatform(platform.Update{}) }, alone: true, known: true},
		{name: "peer announces a higher one", told: func(c *configuration) { fromPlatform(c, 1); c.recordPeerVersion(3) }, version: 1},
		{name: "peer has the same", told: func(c *configuration) { fromPlatform(c, 1); c.recordPeerVersion(1) }, known: true, version: 1},
		{name: "platform out, peer has one", told: func(c *configuration) { fromPeer(c, 2) }, known: true, version: 2},
		{name: "stale platform after a peer", told: func(c *configuration) { fromPeer(c, 3); fromPlatform(c, 2) }, known: true, version: 3},
		{name: "stale peer after the platform", told: func(c *configuration) { fromPlatform(c, 3); fromPeer(c, 2) }, known: true, version: 3},
		{name: "garbage from a peer", told: func(c *configuration) { c.updateFromPeer("n7", []byte("x")) }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newConfiguration("n1", nil, log.NewNopLogger(), time.Second)
			test.told(c)
			known := c.synced(test.alone, time.Now().Add(test.later))
			if known != test.known || c.snapshot().Version() != test.version {
				t.Fatalf("known %v with version %d, want %v with %d", known, c.snapshot().Version(), test.known, test.version)
			}
		})
	}
}
