package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"verbenatrestle/connection/httpcheck"
	"verbenatrestle/process/admission"
	"verbenatrestle/version"
)

const (
	// maxPreopenedAge is how long a preopened connection may wait for its first
	// use.
	maxPreopenedAge = 20 * time.Second
	// maxResponseHeaderBytes bounds the head of a target's response.
	maxResponseHeaderBytes = 256 << 10
	// targetIdleTimeout is how long a connection may be idle after a request.
	targetIdleTimeout = 5 * time.Minute
	// staleCheckTimeout is the timeout of the read that checks, before the first
	// use of a preopened connection, whether the target has closed it.
	staleCheckTimeout = 20 * time.Microsecond
)

// targetClient holds the connections to one instance of the target.
type targetClient struct {
	// service is the service that the instance announced.
	service version.ServiceID
	// instance is the announced instance, which new connections must reach. If it is
	// empty, they are not checked.
	instance string
	// checkTimeout bounds the check of a new connection.
	checkTimeout time.Duration
	// uncheckable is set once the target has named no instance or ended a connection
	// after its answer. Further connections are not checked then.
	uncheckable atomic.Bool
	// onOtherInstance is called if a new connection reaches another instance.
	onOtherInstance func()
	address         string
	// base is the URL of the target, without a path.
	base string
	// transport is used without an http.Client, which would copy the headers
	// and follow redirects.
	transport *http.Transport
	dialer    net.Dialer
	// preopened holds connections that were opened before they are needed, so
	// that a request needn't wait for a new one.
	preopened chan preopenedConn
	// openCount is the number of open connections, preopened ones included.
	openCount atomic.Int64
	// onOpenCount is called when openCount has changed, until close.
	onOpenCount func(open int)
	closed      atomic.Bool
}

// preopenedConn is an open connection that no request has used.
type preopenedConn struct {
	net.Conn
	opened time.Time
}

func newTargetClient(service version.ServiceID, address string, connections int, onOpenCount func(open int)) *targetClient {
	c := &targetClient{
		service:     service,
		address:     address,
		base:        "http://" + address,
		dialer:      net.Dialer{Timeout: dialTimeout},
		preopened:   make(chan preopenedConn, connections),
		onOpenCount: onOpenCount,
	}
	c.transport = &http.Transport{
		DialContext:         c.dial,
		DisableCompression:  true,
		IdleConnTimeout:     targetIdleTimeout,
		MaxIdleConns:        connections,
		MaxIdleConnsPerHost: connections,
		MaxConnsPerHost:     connections,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return c
}

// dial returns a preopened connection, or opens a new one. It is the DialContext
// of the transport.
func (c *targetClient) dial(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		select {
		case conn := <-c.preopened:
			if conn.usable() {
				return conn.Conn, nil
			}
			_ = conn.Close()
		default:
			return c.openConn(ctx, network, address)
		}
	}
}

// openConn opens a connection, which counts as open until it is closed.
func (c *targetClient) openConn(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.openChecked(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.addOpen(1)
	return &countedConn{Conn: httpcheck.DetectResets(conn), closed: func() { c.addOpen(-1) }}, nil
}

// addOpen changes openCount and calls onOpenCount unless the client is closed.
func (c *targetClient) addOpen(change int64) {
	open := c.openCount.Add(change)
	if !c.closed.Load() {
		c.onOpenCount(int(open))
	}
}

// usable reports whether a preopened connection is recent enough and was not
// closed by the target.
func (p preopenedConn) usable() bool {
	if time.Since(p.opened) > maxPreopenedAge {
		return false
	}
	_ = p.SetReadDeadline(time.Now().Add(staleCheckTimeout))
	_, err := p.Read(make([]byte, 1))
	_ = p.SetReadDeadline(time.Time{})
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// preopen opens connections that are missing from the plan, at most
// plan.MaxConnecting of them, and waits until they are open or have failed.
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

// closeStale closes preopened connections that have waited for more than half of
// maxPreopenedAge. The next preopen replaces them.
func (c *targetClient) closeStale() {
	for range len(c.preopened) {
		select {
		case conn := <-c.preopened:
			if time.Since(conn.opened) < maxPreopenedAge/2 {
				c.preopened <- conn
				continue
			}
			_ = conn.Close()
		default:
			return
		}
	}
}

// close closes the connections that no request is using.
func (c *targetClient) close() {
	c.closed.Store(true)
	c.closePreopened()
	c.transport.CloseIdleConnections()
}

func (c *targetClient) closePreopened() {
	for {
		select {
		case conn := <-c.preopened:
			_ = conn.Close()
		default:
			return
		}
	}
}

// countedConn calls closed when it is closed for the first time.
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
