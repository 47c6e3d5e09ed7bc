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

// A starting node must not serve with an outdated configuration, which a stale
// platform may return. It serves once a peer has confirmed its version, or, after
// the platform's response, if it has no peers or none has answered within peerWait.
// It uses the highest version that it received.
func TestStartingNodeSyncsWithPlatformAndPeers(t *testing.T) {
	fromPlatform := func(c *configuration, number uint64) {
		c.updateFromPlatform(platform.Update{Objects: []platform.Object{{Key: configstore.Key, Value: numberedConfig(t, number)}}})
	}
	fromPeer := func(c *configuration, number uint64) { c.updateFromPeer("n7", numberedConfig(t, number)) }
	cases := []struct {
		name    string
		receive func(c *configuration)
		alone   bool
		later   time.Duration
		synced  bool
		version uint64
	}{
		{name: "nothing asked", receive: func(*configuration) {}},
		{name: "alone, platform silent", receive: func(*configuration) {}, alone: true, later: peerWait},
		{name: "platform alone, peers there", receive: func(c *configuration) { fromPlatform(c, 1) }, version: 1},
		{name: "platform, no peers", receive: func(c *configuration) { fromPlatform(c, 1) }, alone: true, synced: true, version: 1},
		{name: "platform, peers silent", receive: func(c *configuration) { fromPlatform(c, 1) }, later: 2 * peerWait, synced: true, version: 1},
		{name: "empty platform, no peers", receive: func(c *configuration) { c.updateFromPlatform(platform.Update{}) }, alone: true, synced: true},
		{name: "peer announces a higher one", receive: func(c *configuration) { fromPlatform(c, 1); c.recordPeerVersion(3) }, version: 1},
		{name: "peer has the same", receive: func(c *configuration) { fromPlatform(c, 1); c.recordPeerVersion(1) }, synced: true, version: 1},
		{name: "platform out, peer has one", receive: func(c *configuration) { fromPeer(c, 2) }, synced: true, version: 2},
		{name: "stale platform after a peer", receive: func(c *configuration) { fromPeer(c, 3); fromPlatform(c, 2) }, synced: true, version: 3},
		{name: "stale peer after the platform", receive: func(c *configuration) { fromPlatform(c, 3); fromPeer(c, 2) }, synced: true, version: 3},
		{name: "garbage from a peer", receive: func(c *configuration) { c.updateFromPeer("n7", []byte("x")) }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newConfiguration("n1", nil, log.NewNopLogger(), time.Second)
			test.receive(c)
			synced := c.synced(test.alone, time.Now().Add(test.later))
			if synced != test.synced || c.snapshot().Version() != test.version {
				t.Fatalf("synced %v with version %d, want %v with %d", synced, c.snapshot().Version(), test.synced, test.version)
			}
		})
	}
}
