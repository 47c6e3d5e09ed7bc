package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"verbenatrestle/connection/exchange"
)

// acceptRetryDelay is the delay after a failed accept. Accepts fail, for
// example, while the process has no free file descriptor.
const acceptRetryDelay = 20 * time.Millisecond

// Handler responds to a request. Its context is cancelled when the caller
// disconnects.
type Handler func(ctx context.Context, request *Request) *Response

// Server serves the connections of a listener. All exported fields except Memory and
// RejectBusy are required. They must be set before the first call of Serve.
type Server struct {
	// Handler responds to the requests. It is called once for each request, in
	// a goroutine of its own.
	Handler Handler
	// Limits returns the current limits. It is called for each request.
	Limits func() Limits
	// Reject creates the response to a request that is malformed, too large or
	// too slow. The reason is a text for the caller.
	Reject func(status int, reason string) *Response
	// Memory bounds the bodies of the requests that arrive or are handled. Nil means that
	// they are not bounded together.
	Memory *exchange.MemoryBudget
	// RejectBusy creates the response to a request with the given headers that Memory
	// does not allow now. It is required if Memory is set.
	RejectBusy func(header http.Header) *Response
	// Logger receives the errors of the listener.
	Logger log.Logger

	draining atomic.Bool
	mu       sync.Mutex
	// closed is set by Close. No connection is added to conns or connGroup after that.
	closed    bool
	conns     map[*serverConn]struct{}
	connGroup sync.WaitGroup
}

// Serve accepts and serves connections until the listener is closed. It then
// returns nil, and the open connections are still served.
func (s *Server) Serve(listener net.Listener) error {
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			_ = level.Warn(s.Logger).Log("event", "accept_failed", "peer", listener.Addr(), "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.startConn(c)
	}
}

// startConn serves a connection, or closes it if the server is closed.
func (s *Server) startConn(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close() // nothing was read from it or written to it
		return
	}
	sc := newServerConn(s, c)
	if s.conns == nil {
		s.conns = make(map[*serverConn]struct{})
	}
	s.conns[sc] = struct{}{}
	s.connGroup.Go(func() {
		sc.serve()
		s.mu.Lock()
		delete(s.conns, sc)
		s.mu.Unlock()
	})
}

// Drain makes the server close each connection after the response to its last
// pending request. Idle connections stay open until their next response or until
// CloseIdle.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections without a pending request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// Pending returns the number of requests on all connections that have begun to
// arrive and whose responses are not yet written.
func (s *Server) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for c := range s.conns {
		total += c.lifecycle.pendingRequests()
	}
	return total
}

// Close closes all connections, cancels the contexts of their requests, and waits
// until their handlers have returned. It does not close the listener. Connections that
// Serve accepts later are closed at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.abort()
	}
	s.mu.Unlock()
	s.connGroup.Wait()
}
