package peerlink

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
)

// maxOutboundBytes is the size of a connection's outbound buffer from which no
// further message is written to it. The messages then stay in the peer's bounded
// queue.
const maxOutboundBytes = 256 << 10

// link is a connection to a peer, or an accepted connection in its handshake.
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

	// wakePending is set from a wake until the event loop has handled it.
	wakePending atomic.Bool
	// pingPending asks the event loop to send a ping.
	pingPending atomic.Bool
	// lastReceived, lastPing and lastMessage are the times of the last received
	// byte, the last sent ping, and the last message in either direction, in
	// nanoseconds since opened.
	lastReceived, lastPing, lastMessage atomic.Int64

	mu sync.Mutex
	// closing is set once either side has begun to close the link.
	closing bool
	// closingSince is the time when closing was set.
	closingSince time.Time
	// reason is the error for which the link is closed. It is nil if the link was
	// idle or superseded, or if the peer closed it normally.
	reason error
	// closeFramePending asks the event loop to send a close frame.
	closeFramePending bool
}

// since returns the time from the link's opening to now, in nanoseconds.
func (l *link) since(now time.Time) int64 {
	return int64(now.Sub(l.opened))
}

// age returns the time since lastReceived, lastPing or lastMessage.
func (l *link) age(now time.Time, at *atomic.Int64) time.Duration {
	return time.Duration(l.since(now) - at.Load())
}

// wake makes the event loop call OnTraffic for the link.
func (l *link) wake() {
	if l.wakePending.Swap(true) {
		return
	}
	// An error means that the connection is closed, which OnClose handles.
	_ = l.conn.Wake(nil)
}

// beginClose begins an orderly close: it requests a close frame, and frames of
// the peer are still read until it answers. It returns false if the link was
// already closing.
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

// closeNow closes the connection without a close frame.
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

// takeCloseFrame reports whether a close frame must be sent, and resets that
// request.
func (l *link) takeCloseFrame() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending := l.closeFramePending
	l.closeFramePending = false
	return pending
}

// closingState returns whether the link is closing, and since when.
func (l *link) closingState() (bool, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing, l.closingSince
}

// closeReason returns the error for LinkDown: the reason of the close that was
// begun, and otherwise an error about the connection, which includes connErr if
// it is not nil.
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

// writeFrame writes one frame and returns its size on the wire in bytes. Only the
// event loop may call it.
func (l *link) writeFrame(op ws.OpCode, payload []byte) (int, error) {
	data := l.writer.build(op, payload)
	n, err := l.conn.Write(data)
	return n, errors.Wrap(err, "write frame")
}
