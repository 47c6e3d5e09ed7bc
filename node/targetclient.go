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
	// warmConnectionAge is how long a connection may wait for its first use.
	warmConnectionAge = 20 * time.Second
	// targetIdleTimeout is how long a used connection may idle.
	targetIdleTimeout = 5 * time.Minute
	// staleCheck is how long a connection is checked for being closed by the
	// target before its first use.
	staleCheck = 20 * time.Microsecond
)

// targetClient holds the connections to one life of the target's address.
type targetClient struct {
	address string
	base    string
	// transport is used without an http.Client, which would copy the headers
	// and follow redirects.
	transport *http.Transport
	dialer    net.Dialer
	// warm holds connections that were opened ahead of use.
	warm chan warmConnection
	// open counts open connections, used or not.
	open    atomic.Int64
	onCount func(open int)
	closed  atomic.Bool
}

// warmConnection is an open connection that no request has used.
type warmConnection struct {
	net.Conn
	opened time.Time
}

func newTargetClient(address string, connections int, onCount func(open int)) *targetClient {
	c := &targetClient{
		address: address,
		base:    "http://" + address,
		dialer:  net.Dialer{Timeout: dialTimeout},
		warm:    make(chan warmConnection, connections),
		onCount: onCount,
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
		case w := <-c.warm:
			if w.usable() {
				return w.Conn, nil
			}
			_ = w.Close()
		default:
			return c.openOne(ctx, network, address)
		}
	}
}

// openOne opens a connection and counts it until it is closed.
func (c *targetClient) openOne(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.count(1)
	return &countedConn{Conn: conn, closed: func() { c.count(-1) }}, nil
}

// count tells of a change of the open connections, until close.
func (c *targetClient) count(change int64) {
	open := c.open.Add(change)
	if !c.closed.Load() {
		c.onCount(int(open))
	}
}

// usable reports whether a connection that waited is young and still open.
func (w warmConnection) usable() bool {
	if time.Since(w.opened) > warmConnectionAge {
		return false
	}
	_ = w.SetReadDeadline(time.Now().Add(staleCheck))
	_, err := w.Read(make([]byte, 1))
	_ = w.SetReadDeadline(time.Time{})
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// prepare opens connections towards the plan, a few at a time.
func (c *targetClient) prepare(ctx context.Context, plan admission.ConnectionPlan) {
	missing := min(plan.Wanted, cap(c.warm)) - int(c.open.Load())
	var group sync.WaitGroup
	for range min(missing, plan.MaxConnecting) {
		group.Go(func() { c.prepareOne(ctx) })
	}
	group.Wait()
}

func (c *targetClient) prepareOne(ctx context.Context) {
	conn, err := c.openOne(ctx, "tcp", c.address)
	if err != nil {
		return
	}
	select {
	case c.warm <- warmConnection{Conn: conn, opened: time.Now()}:
	default:
		_ = conn.Close()
	}
	if c.closed.Load() {
		c.drop()
	}
}

// refresh replaces connections that have waited for too long.
func (c *targetClient) refresh() {
	for range len(c.warm) {
		select {
		case w := <-c.warm:
			if time.Since(w.opened) < warmConnectionAge/2 {
				c.warm <- w
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
	c.drop()
	c.transport.CloseIdleConnections()
}

func (c *targetClient) drop() {
	for {
		select {
		case w := <-c.warm:
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
