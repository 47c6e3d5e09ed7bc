package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"verbenatrestle/process/admission"
)

const (
	// maxPreopenedAge is how long a connection may wait for its first use.
	maxPreopenedAge = 20 * time.Second
	// targetIdleTimeout is how long a used connection may idle.
	targetIdleTimeout = 5 * time.Minute
	// staleCheckTimeout is how long a connection is checked for being closed by the
	// target before its first use.
	staleCheckTimeout = 20 * time.Microsecond
)

// targetClient holds the connections to one life of the target's address.
type targetClient struct {
	address string
	base    string
	// transport is used without an http.Client, which would copy the headers
	// and follow redirects.
	transport *http.Transport
	dialer    net.Dialer
	// preopened holds connections that were opened ahead of use.
	preopened chan preopenedConn
	// openCount counts open connections, used or not.
	openCount   atomic.Int64
	onOpenCount func(open int)
	closed      atomic.Bool
}

// preopenedConn is an open connection that no request has used.
type preopenedConn struct {
	net.Conn
	opened time.Time
}

func newTargetClient(address string, connections int, onCount func(open int)) *targetClient {
	c := &targetClient{
		address:     address,
		base:        "http://" + address,
		dialer:      net.Dialer{Timeout: dialTimeout},
		preopened:   make(chan preopenedConn, connections),
		onOpenCount: onCount,
	}
	c.transport = &http.Transport{
		DialContext:         c.dial,
		DisableCompression:  true,
		IdleConnTimeout:     targetIdleTimeout,
		MaxIdleConns:        connections,
		MaxIdleConnsPerHost: connections,
		MaxConnsPerHost:     connections,
	}
	return c
}

// dial hands out a warm connection, or opens one.
func (c *targetClient) dial(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		select {
		case w := <-c.preopened:
			if w.usable() {
				return w.Conn, nil
			}
			_ = w.Close()
		default:
			return c.openConn(ctx, network, address)
		}
	}
}

// openConn opens a connection and counts it until it is closed.
func (c *targetClient) openConn(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.addOpen(1)
	return &countedConn{Conn: conn, closed: func() { c.addOpen(-1) }}, nil
}

// addOpen tells of a change of the open connections, until close.
func (c *targetClient) addOpen(change int64) {
	open := c.openCount.Add(change)
	if !c.closed.Load() {
		c.onOpenCount(int(open))
	}
}

// usable reports whether a connection that waited is young and still open.
func (w preopenedConn) usable() bool {
	if time.Since(w.opened) > maxPreopenedAge {
		return false
	}
	_ = w.SetReadDeadline(time.Now().Add(staleCheckTimeout))
	_, err := w.Read(make([]byte, 1))
	_ = w.SetReadDeadline(time.Time{})
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// preopen opens connections towards the plan, a few at a time.
func (c *targetClient) preopen(ctx context.Context, plan admission.ConnectionPlan) {
	missing := min(plan.Wanted, cap(c.preopened)) - int(c.openCount.Load())
	var group sync.WaitGroup
	for range min(missing, plan.MaxConnecting) {
		group.Go(func() { c.preopenOne(ctx) })
	}
	group.Wait()
}

func (c *targetClient) preopenOne(ctx context.Context) {
	conn, err := c.openConn(ctx, "tcp", c.address)
	if err != nil {
		return
	}
	select {
	case c.preopened <- preopenedConn{Conn: conn, opened: time.Now()}:
	default:
		_ = conn.Close()
	}
	if c.closed.Load() {
		c.closePreopened()
	}
}

// closeStale replaces connections that have waited for too long.
func (c *targetClient) closeStale() {
	for range len(c.preopened) {
		select {
		case w := <-c.preopened:
			if time.Since(w.opened) < maxPreopenedAge/2 {
				c.preopened <- w
				continue
			}
			_ = w.Close()
		default:
			return
		}
	}
}

// close closes the connections that no request uses.
func (c *targetClient) close() {
	c.closed.Store(true)
	c.closePreopened()
	c.transport.CloseIdleConnections()
}

func (c *targetClient) closePreopened() {
	for {
		select {
		case w := <-c.preopened:
			_ = w.Close()
		default:
			return
		}
	}
}

// countedConn tells when it is closed, once.
type countedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.closed)
	return err
}
