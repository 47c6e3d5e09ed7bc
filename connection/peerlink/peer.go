package peerlink

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxConflicts is the number of consecutive dials that the peer may refuse in
// favour of its own dial. A further refusal counts as a failed dial.
const maxConflicts = 20

// Errors that are passed to Handler.LinkDown.
var (
	// ErrReplaced means that a new process of the peer has opened a link, which
	// replaces the link of the old process.
	ErrReplaced = errors.New("link replaced by one of a new process")
	// ErrStopped means that this node or the peer has stopped its links.
	ErrStopped = errors.New("links stopped")
)

// peer is the state about one other node: its link, its dials and its queues.
type peer struct {
	name  string
	inbox inbox

	mu sync.Mutex
	// link is the open link, or nil.
	link *link
	// dialling is set while a dial is in progress.
	dialling bool
	// redialDelay is the current delay after a failed dial, without jitter. It is
	// zero after a link was open.
	redialDelay time.Duration
	// nextDial is the earliest time of the next dial.
	nextDial time.Time
	// reservedUntil is the time until which this node starts no dial, since it
	// has admitted one of the peer.
	reservedUntil time.Time
	// conflicts counts the consecutive dials that the peer refused in favour of
	// its own.
	conflicts int
	// queue holds the encoded messages that are not written yet.
	queue      [][]byte
	queueBytes int
	// removed is set when the entry was removed from Links as unused.
	removed bool
}

// enqueue queues an encoded message, or returns an error if the queue is full.
// The caller holds the lock.
func (p *peer) enqueue(data []byte, limits Limits) error {
	if len(p.queue) >= limits.QueueMessages || p.queueBytes+len(data) > limits.QueueBytes {
		return errors.Errorf("queue for %s is full: %d messages, %d bytes", p.name, len(p.queue), p.queueBytes)
	}
	p.queue = append(p.queue, data)
	p.queueBytes += len(data)
	return nil
}

// dequeue removes and returns the oldest message for a link. It returns false if
// there is none, or if the link is not the peer's current link.
func (p *peer) dequeue(from *link) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != from || len(p.queue) == 0 {
		return nil, false
	}
	data := p.queue[0]
	p.queue[0] = nil
	p.queue = p.queue[1:]
	p.queueBytes -= len(data)
	return data, true
}

// clearQueue drops all queued messages and returns their number. The caller holds
// the lock.
func (p *peer) clearQueue() int {
	dropped := len(p.queue)
	p.queue = nil
	p.queueBytes = 0
	return dropped
}

// hasQueued reports whether messages are queued.
func (p *peer) hasQueued() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) > 0
}

// startDial reports whether the caller must start a dial now, and marks the peer
// as being dialled if so. The caller holds the lock.
func (p *peer) startDial(now time.Time) bool {
	if p.link != nil || p.dialling || now.Before(p.nextDial) || now.Before(p.reservedUntil) {
		return false
	}
	p.dialling = true
	return true
}

// markRemovedIfUnused marks the entry as removed if it has no link, dial, queued
// message or event, and if neither nextDial nor reservedUntil is in the future. It
// reports whether it did.
func (p *peer) markRemovedIfUnused(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.link == nil && !p.dialling && len(p.queue) == 0 && p.inbox.isIdle()
	p.removed = idle && now.After(p.nextDial) && now.After(p.reservedUntil)
	return p.removed
}

// admitDial admits a dial from a process of the peer, or returns the reason to
// refuse it. When two nodes dial each other at the same time, the dial of the node
// with the smaller name takes precedence. After it has admitted a dial, this node
// starts none of its own before until. The caller holds the lock.
func (p *peer) admitDial(self, instance string, until time.Time) error {
	ownDial := p.link == nil && p.dialling
	if p.link != nil && p.link.instance == instance {
		ownDial = p.link.dialled
	}
	if ownDial && self < p.name {
		return errors.New("this node's own dial goes first")
	}
	p.reservedUntil = until
	return nil
}

// attach makes l the peer's link unless the current link takes precedence or the
// entry was removed. It returns the link to close, which may be l itself, or nil
// if there is none.
func (p *peer) attach(self string, l *link) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.link
	if p.removed {
		return l
	}
	if old != nil && !p.replaces(self, l, old) {
		return l
	}
	p.link = l
	p.reservedUntil = time.Time{}
	p.redialDelay = 0
	p.conflicts = 0
	switch {
	case old == nil:
		p.inbox.push(event{up: true})
	case old.instance != l.instance:
		p.inbox.push(event{down: true, err: ErrReplaced})
		p.inbox.push(event{up: true})
	}
	return old
}

// replaces reports whether a new link replaces the old one. Of two links that the
// same two processes dialled in opposite directions, the one that the node with
// the smaller name dialled stays.
func (p *peer) replaces(self string, l, old *link) bool {
	if old.instance != l.instance || old.dialled == l.dialled {
		return true
	}
	return l.dialled == (self < p.name)
}

// detach removes a link from the peer, and reports whether it was the peer's
// current link. If so, it queues a LinkDown event with err.
func (p *peer) detach(l *link, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != l {
		return false
	}
	p.link = nil
	p.inbox.push(event{down: true, err: err})
	return true
}

// dialFailed records a failed dial, doubles the redial delay within its limits,
// and drops the queued messages. It returns their number, and whether this is the
// first failed dial since a link was open. If a link was opened meanwhile, it only
// ends the dial. jitter is a random number from 0 to 1.
func (p *peer) dialFailed(now time.Time, err error, limits Limits, jitter float64) (dropped int, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialling = false
	if p.link != nil {
		return 0, false
	}
	p.conflicts = 0
	first = p.redialDelay == 0
	p.redialDelay = min(max(2*p.redialDelay, limits.MinRedialDelay), limits.MaxRedialDelay)
	p.nextDial = now.Add(time.Duration((0.5 + jitter) * float64(p.redialDelay)))
	p.inbox.push(event{down: true, err: err})
	return p.clearQueue(), first
}

// dialConflicted records a dial that was refused in favour of the peer's own dial.
// It returns false if there were more than maxConflicts of them in a row, so that
// the dial counts as failed.
func (p *peer) dialConflicted(now time.Time, limits Limits) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conflicts++
	if p.conflicts > maxConflicts {
		return false
	}
	p.dialling = false
	p.nextDial = now.Add(limits.MinRedialDelay)
	return true
}

// dialDone records a dial that has opened a link.
func (p *peer) dialDone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialling = false
}
