package peerlink

import (
	"cmp"
	"slices"
	"time"
)

// LinkState is one peer's part of the state dump.
type LinkState struct {
	// Peer is the other node's name.
	Peer string `json:"peer"`
	// Open says whether a link is open.
	Open bool `json:"open"`
	// Remote is the address of the open link's other end.
	Remote string `json:"remote,omitempty"`
	// Dialled says whether this node dialled the open link.
	Dialled bool `json:"dialled"`
	// AgeSeconds and Silent are how long the link is open, and how long the peer has
	// been silent, in seconds.
	AgeSeconds    float64 `json:"age_seconds"`
	SilentSeconds float64 `json:"silent_seconds"`
	// QueueMessages and QueueBytes are what waits for the peer.
	QueueMessages int `json:"queue_messages"`
	QueueBytes    int `json:"queue_bytes"`
}

// State returns the state of every peer's link, by name.
func (l *Links) State() []LinkState {
	now := time.Now()
	var states []LinkState
	for _, p := range l.allPeers() {
		states = append(states, p.state(now))
	}
	slices.SortFunc(states, func(a, b LinkState) int { return cmp.Compare(a.Peer, b.Peer) })
	return states
}

// state returns the peer's part of the state dump.
func (p *peer) state(now time.Time) LinkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := LinkState{Peer: p.name, QueueMessages: len(p.queue), QueueBytes: p.queueBytes}
	if p.link != nil {
		s.Open = true
		s.Remote = p.link.remote
		s.Dialled = p.link.dialled
		s.AgeSeconds = now.Sub(p.link.opened).Seconds()
		s.SilentSeconds = p.link.age(now, &p.link.heard).Seconds()
	}
	return s
}
