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
func (s *configGossip) activated(version uint64) []wire.Envelope {
	s.mu.Lock()
	newer := version > s.version
	if newer {
		s.version = version
	}
	s.mu.Unlock()
	if !newer {
		return nil
	}
	return s.announce(version)
}

// handleAnnounce handles a peer's announcement. It returns a pull if the peer's
// version is newer, and an announcement to the peer if it is older.
func (s *configGossip) handleAnnounce(from string, version uint64, now time.Time) []wire.Envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.version {
		return []wire.Envelope{{To: from, Message: &configAnnounce{Version: s.version}}}
	}
	waiting := version <= s.requested && now.Sub(s.requestedAt) < pullTimeout
	if version == s.version || waiting {
		return nil
	}
	s.requested = version
	s.requestedAt = now
	return []wire.Envelope{{To: from, Message: &configPull{Have: s.version}}}
}

// announcementTo returns the announcement of the active version to one peer.
func (s *configGossip) announcementTo(peer string) []wire.Envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []wire.Envelope{{To: peer, Message: &configAnnounce{Version: s.version}}}
}
