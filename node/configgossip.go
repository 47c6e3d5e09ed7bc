package node

import (
	"sync"
	"time"

	"verbenatrestle/connection/wire"
)

// pullTimeout is how long a node waits for a configuration that it requested
// before it requests it from another node.
const pullTimeout = 300 * time.Millisecond

// configGossip distributes configuration versions by gossip. A node announces a
// new version to its neighbours, and a neighbour with a lower version pulls it
// from the first node that announced it. The type does no I/O: its methods return
// the messages to send. It is safe for concurrent use.
type configGossip struct {
	mu sync.Mutex
	// version is the active version.
	version uint64
	// requested is the version that was requested last, at requestedAt.
	requested   uint64
	requestedAt time.Time
	// announce returns the announcements of a version to all neighbours.
	announce func(version uint64) []wire.Envelope
}

// activated records that a version became active, and returns the announcements
// to the neighbours if it is newer than the last one.
func (g *configGossip) activated(version uint64) []wire.Envelope {
	g.mu.Lock()
	newer := version > g.version
	if newer {
		g.version = version
	}
	g.mu.Unlock()
	if !newer {
		return nil
	}
	return g.announce(version)
}

// handleAnnounce handles a peer's announcement. It returns a pull if the peer's
// version is newer, and an announcement to the peer if it is older.
func (g *configGossip) handleAnnounce(from string, version uint64, now time.Time) []wire.Envelope {
	g.mu.Lock()
	defer g.mu.Unlock()
	if version < g.version {
		return []wire.Envelope{{To: from, Message: &configAnnounce{Version: g.version}}}
	}
	waiting := version <= g.requested && now.Sub(g.requestedAt) < pullTimeout
	if version == g.version || waiting {
		return nil
	}
	g.requested = version
	g.requestedAt = now
	return []wire.Envelope{{To: from, Message: &configPull{Have: g.version}}}
}

// announcementTo returns the announcement of the active version to one peer.
func (g *configGossip) announcementTo(peer string) []wire.Envelope {
	g.mu.Lock()
	defer g.mu.Unlock()
	return []wire.Envelope{{To: peer, Message: &configAnnounce{Version: g.version}}}
}
