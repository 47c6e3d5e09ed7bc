package node

import (
	"sync"
	"time"

	"verbenatrestle/connection/wire"
)

// pullTimeout is how long a node waits for a configuration that it asked for
// before it asks another node.
const pullTimeout = 300 * time.Millisecond

// configGossip passes configuration versions from node to node. A node
// announces a new version to its neighbours; who has a lower one pulls it from
// the first that announced it. It does no I/O: it returns what to send.
type configGossip struct {
	mu          sync.Mutex
	version     uint64
	requested   uint64
	requestedAt time.Time
	announce    func(version uint64) []wire.Envelope
}

// activated tells that a version is in force here, and returns the
// announcements to the neighbours.
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

// handleAnnounce takes in a peer's announcement.
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

// announcementTo returns the announcement to a peer whose link has just opened.
func (s *configGossip) announcementTo(peer string) []wire.Envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []wire.Envelope{{To: peer, Message: &configAnnounce{Version: s.version}}}
}
