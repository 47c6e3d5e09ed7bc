package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"verbenatrestle/internal/wait"
)

const (
	// unusedBeforeClose is for how long a connection must have had no request
	// before a stopping node closes it: well above the time that a request takes
	// from the caller to the handler on a busy VM.
	unusedBeforeClose = time.Second
	// unusedPoll is how often a stopping node looks at its connections.
	unusedPoll = 20 * time.Millisecond
)

// drainingListener can stop listening without resetting connections that the
// kernel has taken and that wait to be accepted.
type drainingListener struct {
	*net.TCPListener
}

// drain makes Accept return what waits, and then net.ErrClosed.
func (l *drainingListener) drain() error {
	return errors.Wrapf(l.SetDeadline(time.Now()), "drain listener %s", l.Addr())
}

// Accept returns the next connection, or net.ErrClosed once the listener is
// drained.
func (l *drainingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return l.acceptWaiting()
	}
	return conn, err
}

// acceptWaiting returns a connection that waits. When there is none, it ends
// the listening in the same step, as what comes in between would be reset.
func (l *drainingListener) acceptWaiting() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var accepted int
	var acceptErr error
	err = raw.Control(func(fd uintptr) {
		accepted, _, acceptErr = unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if errors.Is(acceptErr, unix.EAGAIN) {
			acceptErr = net.ErrClosed
			// Fails only for a socket that doesn't listen any more.
			_ = unix.Shutdown(int(fd), unix.SHUT_RDWR)
		}
	})
	if err != nil {
		return nil, err
	}
	if acceptErr != nil {
		return nil, acceptErr
	}
	file := os.NewFile(uintptr(accepted), "caller connection")
	defer file.Close()
	return net.FileConn(file)
}

// callerConns follows the connections of a server, to tell when they can be
// closed without losing a request. http.Server.Shutdown drops requests that it
// reads once it has begun.
type callerConns struct {
	mu sync.Mutex
	// unusedSince holds for each connection since when it is unused; the zero time
	// while a request is in work.
	unusedSince map[net.Conn]time.Time
}

// connState is the server's ConnState hook.
func (c *callerConns) connState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.unusedSince[conn] = time.Now()
	case http.StateActive:
		c.unusedSince[conn] = time.Time{}
	case http.StateClosed, http.StateHijacked:
		delete(c.unusedSince, conn)
	}
}

// unused reports whether every connection has been unused for long enough.
func (c *callerConns) unused(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, since := range c.unusedSince {
		if since.IsZero() || now.Sub(since) < unusedBeforeClose {
			return false
		}
	}
	return true
}

// awaitUnused blocks until every connection is unused or the context ends.
func (c *callerConns) awaitUnused(ctx context.Context) {
	for !c.unused(time.Now()) && wait.For(ctx, unusedPoll) {
	}
}
