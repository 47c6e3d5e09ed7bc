package peerlink

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
)

// maxOutboundBytes is how many bytes a link hands to its connection before the peer's
// kernel has taken any. The rest stays in the peer's bounded queue.
const maxOutboundBytes = 256 << 10

// link is one connection to a peer, or one that is still in its handshake.
type link struct {
	conn    gnet.Conn
	remote  string
	opened  time.Time
	dialled bool
	// peer and instance are set when the handshake is done, before any other
	// goroutine sees the link.
	peer     *peer
	instance string

	reader frameReader
	writer frameWriter

	// wakePending is set while a wake of the connection is on its way.
	wakePending atomic.Bool
	// pingPending asks the event loop to send a ping.
	pingPending atomic.Bool
	// heard, pinged and used are the last times, as durations since opened, of
	// any byte received, any ping sent, and any message either way.
	lastReceived, lastPing, lastMessage atomic.Int64

	mu sync.Mutex
	// closing is set when this side has decided to close the link.
	closing bool
	// closingSince is when closing was set.
	closingSince time.Time
	// reason is why the link closes; nil for idle.
	reason error
	// closeFramePending asks the event loop to send a close frame.
	closeFramePending bool
}

// since returns now as a duration since the link's opening.
func (l *link) since(now time.Time) int64 {
	return int64(now.Sub(l.opened))
}

// age returns how long ago an entry of heard, pinged or used was made.
func (l *link) age(now time.Time, at *atomic.Int64) time.Duration {
	return time.Duration(l.since(now) - at.Load())
}

// wake has the event loop work on the link.
func (l *link) wake() {
	if l.wakePending.Swap(true) {
		return
	}
	// An error means that the connection has closed, which OnClose tells.
	_ = l.conn.Wake(nil)
}

// beginClose begins an orderly close: a close frame goes out, and what the peer sent
// until it answers is still read. It reports whether this call began it.
func (l *link) beginClose(now time.Time, reason error) bool {
	l.mu.Lock()
	if l.closing {
		l.mu.Unlock()
		return false
	}
	l.closing = true
	l.closingSince = now
	l.reason = reason
	l.closeFramePending = true
	l.mu.Unlock()
	l.wake()
	return true
}

// closeNow closes the connection at once.
func (l *link) closeNow(now time.Time, reason error) {
	l.mu.Lock()
	if !l.closing {
		l.closing = true
		l.closingSince = now
		l.reason = reason
	}
	l.mu.Unlock()
	_ = l.conn.Close()
}

// takeCloseFrame reports, once, whether a close frame is to be sent.
func (l *link) takeCloseFrame() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending := l.closeFramePending
	l.closeFramePending = false
	return pending
}

// closingState returns whether the link is being closed, and since when.
func (l *link) closingState() (bool, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing, l.closingSince
}

// closeReason returns why the link closed, given what the connection said.
func (l *link) closeReason(connErr error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return l.reason
	}
	if connErr == nil {
		connErr = errors.New("connection closed")
	}
	return errors.Wrapf(connErr, "link to %s", l.peer.name)
}

// writeFrame sends one frame; only the event loop may call it.
func (l *link) writeFrame(op ws.OpCode, payload []byte) (int, error) {
	data := l.writer.build(op, payload)
	n, err := l.conn.Write(data)
	return n, errors.Wrap(err, "write frame")
}
