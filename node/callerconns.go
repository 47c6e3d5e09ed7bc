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
	// unusedBeforeClose is how long a connection must have been without a request
	// before a stopping node closes it. It is well above the time that a request
	// takes from the caller to the handler on a busy VM.
	unusedBeforeClose = time.Second
	// unusedPoll is the interval at which a stopping node checks its connections.
	unusedPoll = 20 * time.Millisecond
)

// drainingListener can stop listening without resetting connections in the accept
// queue of the kernel.
type drainingListener struct {
	*net.TCPListener
}

// drain makes Accept return the connections in the accept queue and then
// net.ErrClosed.
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

// acceptWaiting returns a connection from the accept queue. If the queue is empty,
// it shuts the socket down in the same step, because a connection that arrived in
// between would be reset.
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
			// This fails only if the socket no longer listens.
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

// callerConns tracks the connections of a server to determine when they can be
// closed without losing a request. http.Server.Shutdown alone drops requests that
// it reads after it was called.
type callerConns struct {
	mu sync.Mutex
	// unusedSince holds the time since which each open connection has been unused.
	// It is zero while a request is being served.
	unusedSince map[net.Conn]time.Time
}

// connState is the ConnState hook of the server.
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
