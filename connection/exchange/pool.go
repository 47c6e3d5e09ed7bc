package exchange

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// keepAliveMargin is taken off the time for which a peer keeps a connection,
	// for a request that is on its way when the peer closes.
	keepAliveMargin = 500 * time.Millisecond
	// defaultMaxBodyBytes bounds an answer when the pool's options name no bound.
	defaultMaxBodyBytes = 64 << 20
)

// errPoolExhausted is the cause of a KindFull error.
var errPoolExhausted = errors.New("too many open connections")

// Options are what a Pool needs to know.
type Options struct {
	// IDHeader names the header in which an answer repeats its request's id.
	IDHeader string
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// TCPUserTimeout bounds how long sent bytes may stay unacknowledged, which is
	// how a peer that fell silent is noticed. Zero leaves the system's own.
	TCPUserTimeout time.Duration
	// IdleTimeout is how long a connection is kept without a request.
	IdleTimeout time.Duration
	// MaxOpenConnections bounds the open connections. Zero means no bound.
	MaxOpenConnections int
	// MaxBodyBytes bounds the body of an answer, in bytes.
	MaxBodyBytes int64
	// Opened, if set, is told of each connection that was opened.
	OnOpen func()
}

// Pool holds the connections to one address.
type Pool struct {
	address string
	options Options
	dialer  net.Dialer

	mu              sync.Mutex
	idle            []*conn
	openConnections int
	closed          bool
}

// NewPool returns a pool without connections.
func NewPool(address string, options Options) *Pool {
	if options.MaxBodyBytes <= 0 {
		options.MaxBodyBytes = defaultMaxBodyBytes
	}
	p := &Pool{address: address, options: options}
	p.dialer = net.Dialer{Timeout: options.DialTimeout, Control: p.setTCPUserTimeout, KeepAlive: -1}
	return p
}

// Address returns the address of the peer.
func (p *Pool) Address() string { return p.address }

func (p *Pool) setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	if p.options.TCPUserTimeout <= 0 {
		return nil
	}
	var setErr error
	err := raw.Control(func(fd uintptr) {
		millis := int(p.options.TCPUserTimeout.Milliseconds())
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, millis)
	})
	if err != nil {
		return err
	}
	return setErr
}

// Do sends the request and returns its whole answer. MaxIdle, if it is above
// zero, bounds how long a kept connection may have been idle. The error is an
// *Error.
func (p *Pool) Do(ctx context.Context, request *Request, maxIdle time.Duration) (*Response, error) {
	c, err := p.acquire(ctx, maxIdle)
	if err != nil {
		return nil, err
	}
	response, reusable, err := c.roundTrip(ctx, request, p.options.IDHeader, p.options.MaxBodyBytes)
	if err != nil {
		p.discard(c)
		return nil, &Error{Kind: p.classify(ctx, err), RemoteAddr: p.address, MaybeSent: true, Cause: err}
	}
	if reusable {
		p.putIdle(c)
	} else {
		p.discard(c)
	}
	return response, nil
}

func (p *Pool) classify(ctx context.Context, err error) Kind {
	if errors.Is(err, errMalformedResponse) {
		return KindMalformed
	}
	return classify(ctx, err, KindBroken)
}

// acquire returns an idle connection that is still good, or opens one.
func (p *Pool) acquire(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	now := time.Now()
	for {
		c := p.popIdle()
		if c == nil {
			return p.dial(ctx)
		}
		if p.isFresh(c, now, maxIdle) && c.isUsable() {
			return c, nil
		}
		p.discard(c)
	}
}

// isFresh reports whether an idle connection is young enough.
func (p *Pool) isFresh(c *conn, now time.Time, maxIdle time.Duration) bool {
	idle := now.Sub(c.idleSince)
	limit := p.options.IdleTimeout
	if c.keepAlive > 0 {
		limit = min(limit, c.keepAlive-keepAliveMargin)
	}
	if maxIdle > 0 {
		limit = min(limit, maxIdle)
	}
	return idle < limit
}

// popIdle takes the connection that was used last, or nil.
func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	if !p.reserveConnection() {
		return nil, &Error{Kind: KindPoolExhausted, RemoteAddr: p.address, Cause: errPoolExhausted}
	}
	c, err := p.dialer.DialContext(ctx, "tcp4", p.address)
	if err != nil {
		p.releaseConnection()
		return nil, &Error{Kind: classifyDialError(ctx), RemoteAddr: p.address, Cause: errors.Wrap(err, "open connection")}
	}
	if p.options.OnOpen != nil {
		p.options.OnOpen()
	}
	return newConn(c), nil
}

// classifyDialError sorts a failed dial: one that the caller gave up tells nothing of
// the peer.
func classifyDialError(ctx context.Context) Kind {
	if errors.Is(ctx.Err(), context.Canceled) {
		return KindCancelled
	}
	return KindDial
}

func (p *Pool) reserveConnection() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.options.MaxOpenConnections > 0 && p.openConnections >= p.options.MaxOpenConnections {
		return false
	}
	p.openConnections++
	return true
}

func (p *Pool) releaseConnection() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConnections--
}

// putIdle keeps a connection for the next request.
func (p *Pool) putIdle(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

func (p *Pool) discard(c *conn) {
	_ = c.Close() // nothing is lost with a connection that is given up
	p.releaseConnection()
}

// OpenConnections returns the number of open connections.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConnections
}

// CloseExpired closes idle connections that are too old to be used again.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	kept := p.idle[:0]
	var old []*conn
	for _, c := range p.idle {
		if p.isFresh(c, now, 0) {
			kept = append(kept, c)
		} else {
			old = append(old, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}

// Close closes the idle connections, and each of the others at its end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}
