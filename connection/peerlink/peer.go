package peerlink

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxConflicts is how many dials in a row the peer may refuse because its own
// dial goes first, before that counts as a failed dial.
const maxConflicts = 20

// Errors that LinkDown passes on.
var (
	// ErrReplaced means that the peer's process restarted and linked anew.
	ErrReplaced = errors.New("link replaced by one of a new process")
	// ErrStopped means that this node's or the peer's links were stopped.
	ErrStopped = errors.New("links stopped")
)

// peer is what is kept for one other node: its link and what waits for it.
type peer struct {
	name  string
	inbox inbox

	mu sync.Mutex
	// link is the open link, nil without one.
	link *link
	// dialling is set while a dial runs.
	dialling bool
	// pause is the present pause between failed dials.
	pause time.Duration
	// nextDial is when a dial may start.
	nextDial time.Time
	// reserved is until when an admitted dial of the peer may become its link.
	reserved time.Time
	// conflicts counts the dials in a row that the peer refused for its own.
	conflicts int
	// queue holds encoded messages that no link has taken yet.
	queue      [][]byte
	queueBytes int
	// forgotten is set when the entry was dropped for being unused.
	forgotten bool
}

// push queues an encoded message, within the limits.
func (p *peer) push(data []byte, limits Limits) error {
	if len(p.queue) >= limits.QueueMessages || p.queueBytes+len(data) > limits.QueueBytes {
		return errors.Errorf("queue for %s is full: %d messages, %d bytes", p.name, len(p.queue), p.queueBytes)
	}
	p.queue = append(p.queue, data)
	p.queueBytes += len(data)
	return nil
}

// pop takes the oldest message for a link. It returns false when there is
// none, or when the link isn't the peer's any more.
func (p *peer) pop(from *link) ([]byte, bool) {
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

// clear drops the queue and returns how many messages that were.
func (p *peer) clear() int {
	dropped := len(p.queue)
	p.queue = nil
	p.queueBytes = 0
	return dropped
}

// waiting reports whether messages are queued.
func (p *peer) waiting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) > 0
}

// startDial reports whether a dial is to start now, and notes that it runs.
func (p *peer) startDial(now time.Time) bool {
	if p.link != nil || p.dialling || now.Before(p.nextDial) || now.Before(p.reserved) {
		return false
	}
	p.dialling = true
	return true
}

// forget marks the entry as dropped if it holds nothing that is worth keeping,
// and reports whether it did.
func (p *peer) forget(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.link == nil && !p.dialling && len(p.queue) == 0 && p.inbox.empty()
	p.forgotten = idle && now.After(p.nextDial) && now.After(p.reserved)
	return p.forgotten
}

// admits reports why a dial of the peer's process is refused, nil if it isn't.
// When two nodes dial each other at once, the dial of the smaller name goes on.
// Once a dial is admitted, this node starts none of its own until then. The
// caller holds the lock.
func (p *peer) admits(self, instance string, until time.Time) error {
	ours := p.link == nil && p.dialling
	if p.link != nil && p.link.instance == instance {
		ours = p.link.dialled
	}
	if ours && self < p.name {
		return errors.New("this node's own dial goes first")
	}
	p.reserved = until
	return nil
}

// attach makes l the peer's link unless the present one goes first. It returns
// the link to close, which may be l itself or nil.
func (p *peer) attach(self string, l *link) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.link
	if p.forgotten {
		return l
	}
	if old != nil && !p.prefers(self, l, old) {
		return l
	}
	p.link = l
	p.reserved = time.Time{}
	p.pause = 0
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

// prefers reports whether a new link replaces an old one.
func (p *peer) prefers(self string, l, old *link) bool {
	if old.instance != l.instance || old.dialled == l.dialled {
		return true
	}
	return l.dialled == (self < p.name)
}

// detach takes a link off the peer and reports whether it was the peer's.
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

// dialFailed notes a failed dial. It returns how many messages it dropped, and
// whether it is the first that failed since a link was open.
func (p *peer) dialFailed(now time.Time, err error, limits Limits, jitter float64) (dropped int, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialling = false
	if p.link != nil {
		return 0, false
	}
	p.conflicts = 0
	first = p.pause == 0
	p.pause = min(max(2*p.pause, limits.MinRedialDelay), limits.MaxRedialDelay)
	p.nextDial = now.Add(time.Duration((0.5 + jitter) * float64(p.pause)))
	p.inbox.push(event{down: true, err: err})
	return p.clear(), first
}

// dialRefused notes a dial that gave way to the peer's own dial. It returns
// false when that happened so often that the dial counts as failed.
func (p *peer) dialRefused(now time.Time, limits Limits) bool {
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

// dialDone notes a dial that ended in a link.
func (p *peer) dialDone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialling = false
}
