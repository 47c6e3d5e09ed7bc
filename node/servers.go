package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	stdlog "log"

	"verbenatrestle/internal/wait"
)

const (
	// readHeaderTimeout bounds the time to send a request's headers.
	readHeaderTimeout = 5 * time.Second
	// callerIdleTimeout is how long a caller's unused connection is kept.
	callerIdleTimeout = 3 * time.Minute
	// connectionCloseWait is how long a stopping node still takes requests, with
	// answers that ask for the connection to be closed.
	connectionCloseWait = 300 * time.Millisecond
)

// handlers are what the node's HTTP listeners serve.
type handlers struct {
	callers, hop, admin, announce http.Handler
}

// closeWhileStopping asks for each connection to be closed after its answer while the
// node is leaving. Closing idle connections in place of that could cut off a
// request that is on its way on one of them.
func closeWhileStopping(stopping *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// servers are the node's HTTP servers.
type servers struct {
	logger   log.Logger
	callers  *http.Server
	hop      *http.Server
	admin    *http.Server
	announce *http.Server
	// callersListener and callerConns are what the planned stop of callers needs.
	callersListener *drainingListener
	callerConns     *callerConns
}

func newServers(s Settings, logger log.Logger, h handlers) *servers {
	errorLog := stdlog.New(log.NewStdlibAdapter(level.Debug(logger)), "", 0)
	server := func(address string, handler http.Handler, idle time.Duration) *http.Server {
		return &http.Server{
			Addr:              address,
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idle,
			MaxHeaderBytes:    s.Limits.MaxHeaderBytes,
			ErrorLog:          errorLog,
		}
	}
	out := &servers{
		logger:   logger,
		callers:  server(s.Listen.Callers, h.callers, callerIdleTimeout),
		hop:      server(s.Listen.Hop, h.hop, hopServerIdleTimeout),
		admin:    server(s.Listen.Admin, h.admin, callerIdleTimeout),
		announce: server(s.Listen.Announce, h.announce, callerIdleTimeout),
	}
	out.hop.Protocols = httpProtocols(s.HopProtocol)
	out.callerConns = &callerConns{unusedSince: make(map[net.Conn]time.Time)}
	out.callers.ConnState = out.callerConns.connState
	return out
}

func (s *servers) all() []*http.Server {
	return []*http.Server{s.callers, s.hop, s.admin, s.announce}
}

// start opens every listener. The channel tells of a server that fails later.
func (s *servers) start() (<-chan error, error) {
	all := s.all()
	listeners := make([]net.Listener, 0, len(all))
	for _, server := range all {
		listener, err := net.Listen("tcp", server.Addr)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", server.Addr)
		}
		if server == s.callers {
			s.callersListener = &drainingListener{TCPListener: listener.(*net.TCPListener)}
			listener = s.callersListener
		}
		listeners = append(listeners, listener)
	}
	failed := make(chan error, len(all))
	for i, server := range all {
		go func() {
			err := server.Serve(listeners[i])
			if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				failed <- errors.Wrapf(err, "serve on %s", server.Addr)
			}
		}()
	}
	return failed, nil
}

// stop ends the servers once their requests have ended: first the callers',
// then the hops that other nodes and the callers' requests need.
func (s *servers) stop(ctx context.Context) error {
	wait.For(ctx, connectionCloseWait)
	err := s.callersListener.drain()
	s.callerConns.awaitUnused(ctx)
	if shut := s.callers.Shutdown(ctx); err == nil {
		err = shut
	}
	wait.For(ctx, connectionCloseWait)
	var group errgroup.Group
	for _, server := range []*http.Server{s.hop, s.admin, s.announce} {
		group.Go(func() error { return server.Shutdown(ctx) })
	}
	if rest := group.Wait(); err == nil {
		err = rest
	}
	return err
}
