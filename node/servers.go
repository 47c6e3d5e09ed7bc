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
	// readHeaderTimeout is the timeout for reading the headers of a request.
	readHeaderTimeout = 5 * time.Second
	// callerIdleTimeout is how long an idle connection of a caller is kept.
	callerIdleTimeout = 3 * time.Minute
	// connectionCloseWait is how long a stopping node still accepts requests and
	// answers them with "Connection: close".
	connectionCloseWait = 300 * time.Millisecond
)

const (
	// headerReadAhead is how many bytes of headers net/http may take beyond the limit.
	headerReadAhead = 8 << 10
	// addedHopHeaderBytes bounds the headers that a hop adds.
	addedHopHeaderBytes = 4 << 10
	// http1HeaderGrowth bounds how much longer a header gets when it is written again: a
	// space after the colon.
	http1HeaderGrowth = 2
	// http2HeaderGrowth is the same for HTTP/2, which counts 32 bytes more for each
	// field, while HTTP/1 needs as few as 4 bytes for one.
	http2HeaderGrowth = 9
)

// maxHopHeaderBytes returns the limit of the headers of a hop, which has room for all
// headers of a request that the node accepts within its limit.
func maxHopHeaderBytes(limit int, protocol HopProtocol) int {
	growth := http1HeaderGrowth
	if protocol == HopHTTP2 {
		growth = http2HeaderGrowth
	}
	return (limit+headerReadAhead)*growth + addedHopHeaderBytes
}

// handlers holds the handlers of the node's HTTP listeners.
type handlers struct {
	callers, hop, admin, announce http.Handler
}

// closeWhileStopping sets "Connection: close" on responses while the node is
// stopping. Closing idle connections instead could cut off a request that a
// caller has just sent on one of them.
func closeWhileStopping(stopping *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// closeAfterDoubtfulFraming sets "Connection: close" on the responses to requests of which net/http
// does not tell whether the end of their body is in doubt: those with chunks may have a length
// too, and those before HTTP/1.1 chunks that are not read.
func closeAfterDoubtfulFraming(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && (len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1)) {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// servers holds the node's HTTP servers.
type servers struct {
	logger   log.Logger
	callers  *http.Server
	hop      *http.Server
	admin    *http.Server
	announce *http.Server
	// callersListener and callerConns are used to stop the callers' server without
	// losing requests.
	callersListener *drainingListener
	callerConns     *callerConns
}

func newServers(s Settings, logger log.Logger, h handlers) *servers {
	errorLog := stdlog.New(log.NewStdlibAdapter(level.Debug(logger)), "", 0)
	server := func(address string, handler http.Handler, idle time.Duration) *http.Server {
		return &http.Server{
			Addr:              address,
			Handler:           closeAfterDoubtfulFraming(handler),
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
	out.hop.MaxHeaderBytes = maxHopHeaderBytes(s.Limits.MaxHeaderBytes, s.HopProtocol)
	out.callerConns = &callerConns{unusedSince: make(map[net.Conn]time.Time)}
	out.callers.ConnState = out.callerConns.connState
	return out
}

func (s *servers) all() []*http.Server {
	return []*http.Server{s.callers, s.hop, s.admin, s.announce}
}

// start opens all listeners and serves them. The channel receives the error of a
// server that fails later.
func (s *servers) start() (<-chan error, error) {
	all := s.all()
	listeners := make([]net.Listener, 0, len(all))
	for _, server := range all {
		listener, err := listenDraining(server.Addr)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", server.Addr)
		}
		if server == s.callers {
			s.callersListener = listener
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

// stop stops the servers after their requests have finished: first the callers'
// server, and then the others, since other nodes and the requests of callers still
// need the hops.
func (s *servers) stop(ctx context.Context) error {
	wait.For(ctx, connectionCloseWait)
	err := s.callersListener.drain(ctx)
	s.callerConns.awaitUnused(ctx)
	if shutdownErr := s.callers.Shutdown(ctx); err == nil {
		err = shutdownErr
	}
	wait.For(ctx, connectionCloseWait)
	var group errgroup.Group
	for _, server := range []*http.Server{s.hop, s.admin, s.announce} {
		group.Go(func() error { return server.Shutdown(ctx) })
	}
	if shutdownErr := group.Wait(); err == nil {
		err = shutdownErr
	}
	return err
}
