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
	// maxKeptBytes bounds an answer when the pool's options name no bound.
	maxKeptBytes = 64 << 20
)

// errFull is the cause of a KindFull error.
var errFull = errors.New("too many open connections")

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

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// NewPool returns a pool without connections.
func NewPool(address string, options Options) *Pool {
	if options.MaxBodyBytes <= 0 {
		options.MaxBodyBytes = maxKeptBytes
	}
	p := &Pool{address: address, options: options}
	p.dialer = net.Dialer{Timeout: options.DialTimeout, Control: p.setUserTimeout, KeepAlive: -1}
	return p
}

// Address returns the address of the peer.
func (p *Pool) Address() string { return p.address }

func (p *Pool) setUserTimeout(_, _ string, raw syscall.RawConn) error {
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
	c, err := p.take(ctx, maxIdle)
	if err != nil {
		return nil, err
	}
	answer, reusable, err := c.exchange(ctx, request, p.options.IDHeader, p.options.MaxBodyBytes)
	if err != nil {
		p.drop(c)
		return nil, &Error{Kind: p.kind(ctx, err), RemoteAddr: p.address, MaybeSent: true, Cause: err}
	}
	if reusable {
		p.put(c)
	} else {
		p.drop(c)
	}
	return answer, nil
}

func (p *Pool) kind(ctx context.Context, err error) Kind {
	if errors.Is(err, errMalformed) {
		return KindMalformed
	}
	return kindOf(ctx, err, KindBroken)
}

// take returns an idle connection that is still good, or opens one.
func (p *Pool) take(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx)
		}
		if p.fit(c, now, maxIdle) && c.quiet() {
			return c, nil
		}
		p.drop(c)
	}
}

// fit reports whether an idle connection is young enough.
func (p *Pool) fit(c *conn, now time.Time, maxIdle time.Duration) bool {
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

// pop takes the connection that was used last, or nil.
func (p *Pool) pop() *conn {
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
	if !p.reserve() {
		return nil, &Error{Kind: KindPoolExhausted, RemoteAddr: p.address, Cause: errFull}
	}
	c, err := p.dialer.DialContext(ctx, "tcp4", p.address)
	if err != nil {
		p.release()
		return nil, &Error{Kind: dialKind(ctx), RemoteAddr: p.address, Cause: errors.Wrap(err, "open connection")}
	}
	if p.options.OnOpen != nil {
		p.options.OnOpen()
	}
	return newConn(c), nil
}

// dialKind sorts a failed dial: one that the caller gave up tells nothing of
// the peer.
func dialKind(ctx context.Context) Kind {
	if errors.Is(ctx.Err(), context.Canceled) {
		return KindCancelled
	}
	return KindDial
}

func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.options.MaxOpenConnections > 0 && p.open >= p.options.MaxOpenConnections {
		return false
	}
	p.open++
	return true
}

func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.drop(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

func (p *Pool) drop(c *conn) {
	_ = c.Close() // nothing is lost with a connection that is given up
	p.release()
}

// OpenConnections returns the number of open connections.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// CloseExpired closes idle connections that are too old to be used again.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	kept := p.idle[:0]
	var old []*conn
	for _, c := range p.idle {
		if p.fit(c, now, 0) {
			kept = append(kept, c)
		} else {
			old = append(old, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		p.drop(c)
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
		p.drop(c)
	}
}
