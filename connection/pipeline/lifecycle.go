package pipeline

import (
	"net"
	"sync"
	"time"
)

// lifecycle counts the pending requests of a connection, and records that the connection
// closes. The reader and the writer of the connection share it: a request begins before the
// response that announces the close, or never. It is safe for concurrent use.
type lifecycle struct {
	conn net.Conn

	mu sync.Mutex
	// pending counts the requests that have begun to arrive and whose responses are not
	// yet written.
	pending int
	// closing is set when no further request is read. The read deadline stays in the past.
	closing bool
}

// pendingRequests returns the number of pending requests.
func (l *lifecycle) pendingRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending
}

// isClosing reports whether no further request is read.
func (l *lifecycle) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

// begin counts a request whose first byte has arrived. It returns false if the connection
// closes, so that the request must not be read.
func (l *lifecycle) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return false
	}
	l.pending++
	return true
}

// end ends a pending request, and starts the idle timeout if no other one is pending.
func (l *lifecycle) end(idleTimeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending--
	l.setIdleDeadline(idleTimeout)
}

// awaitRequest starts the idle timeout if no request is pending.
func (l *lifecycle) awaitRequest(idleTimeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setIdleDeadline(idleTimeout)
}

// setIdleDeadline sets the read deadline of an idle connection. The caller holds the lock.
func (l *lifecycle) setIdleDeadline(idleTimeout time.Duration) {
	if l.pending == 0 && !l.closing {
		_ = l.conn.SetReadDeadline(time.Now().Add(idleTimeout)) // the reader fails on a closed connection
	}
}

// ignoreIdleTimeout removes a read deadline that passed while a request is pending. It returns
// false if none is, or if the connection closes.
func (l *lifecycle) ignoreIdleTimeout() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == 0 || l.closing {
		return false
	}
	_ = l.conn.SetReadDeadline(time.Time{}) // the reader fails on a closed connection
	return true
}

// closeAfterLast makes the reader stop if at most the given number of requests are pending: one
// for the writer of its response, none for an idle connection. It reports whether the connection
// closes.
func (l *lifecycle) closeAfterLast(pending int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending > pending {
		return false
	}
	if !l.closing {
		l.closing = true
		_ = l.conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is already closed
	}
	return true
}
