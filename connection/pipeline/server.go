package pipeline

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
)

// acceptRetryDelay is the pause after a failed accept, such as one for want of
// descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Handler answers one request. Its context ends when the caller has left.
type Handler func(ctx context.Context, request *Request) *Response

// Server serves connections of one listener.
type Server struct {
	// Handler answers the requests. It runs once for each, in its own goroutine.
	Handler Handler
	// Limits returns the bounds in force. It is called for each request.
	Limits func() Limits
	// Reject makes the answer to a request that can't be read.
	Reject func(status int, reason string) *Response
	// Logger receives failures of the listener.
	Logger log.Logger

	draining  atomic.Bool
	mu        sync.Mutex
	conns     map[*serverConn]struct{}
	connGroup sync.WaitGroup
}

// Serve accepts connections until the listener is closed.
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

func (s *Server) startConn(c net.Conn) {
	sc := newServerConn(s, c)
	s.mu.Lock()
	if s.conns == nil {
		s.conns = make(map[*serverConn]struct{})
	}
	s.conns[sc] = struct{}{}
	s.mu.Unlock()
	s.connGroup.Go(func() {
		sc.serve()
		s.mu.Lock()
		delete(s.conns, sc)
		s.mu.Unlock()
	})
}

// Drain asks callers to leave: from now on each answer with no request behind
// it closes its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections on which no request is pending.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// Pending returns the number of requests that were read and not yet answered.
func (s *Server) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for c := range s.conns {
		total += int(c.pending.Load())
	}
	return total
}

// Close closes all connections and waits for their handlers.
func (s *Server) Close() {
	s.mu.Lock()
	for c := range s.conns {
		c.abort()
	}
	s.mu.Unlock()
	s.connGroup.Wait()
}
