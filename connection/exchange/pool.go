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
	// keepAliveMargin is subtracted from the idle timeout that a server
	// announced. Without it, a request could still be on its way when the server
	// closes the connection.
	keepAliveMargin = 500 * time.Millisecond
	// defaultMaxBodyBytes is the default of Options.MaxBodyBytes.
	defaultMaxBodyBytes = 32 << 20
)

// errPoolExhausted is the cause of a KindPoolExhausted error.
var errPoolExhausted = errors.New("too many open connections")

// Options configure a Pool.
type Options struct {
	// IDHeader is the name of the header in which a response repeats the ID of
	// its request.
	IDHeader string
	// TrustMissingID means that the server sends nothing but one response to each request,
	// so that an error response without an ID belongs to the request that waits also on a
	// connection that has carried a response before.
	TrustMissingID bool
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// TCPUserTimeout bounds how long sent bytes may stay unacknowledged before
	// the kernel closes the connection (the socket option TCP_USER_TIMEOUT). It
	// detects a server that stopped responding on the network. Zero keeps the
	// system's default.
	TCPUserTimeout time.Duration
	// Silence sets when a connection is found silent. Zero means never.
	Silence SilenceCheck
	// IdleTimeout bounds how long a connection stays open without a request.
	IdleTimeout time.Duration
	// MaxOpenConnections bounds the open connections, idle or in use. Zero means
	// no bound.
	MaxOpenConnections int
	// MaxBodyBytes bounds the body of a response. Zero means 32 MiB.
	MaxBodyBytes int64
	// Memory bounds the bodies that are being received, together with those of other
	// pools. Nil means that they are not bounded together.
	Memory *MemoryBudget
	// OnOpen, if set, is called after a connection was opened.
	OnOpen func()
}

// Pool holds the connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	options Options
	dialer  net.Dialer
	// hasUnacknowledged is a variable for tests: on loopback every packet is
	// acknowledged.
	hasUnacknowledged func(net.Conn) bool

	mu              sync.Mutex
	idle            []*conn
	openConnections int
	closed          bool
}

// NewPool returns a pool for an address, host:port, without connections.
func NewPool(address string, options Options) *Pool {
	if options.MaxBodyBytes <= 0 {
		options.MaxBodyBytes = defaultMaxBodyBytes
	}
	p := &Pool{address: address, options: options, hasUnacknowledged: hasUnacknowledged}
	p.dialer = net.Dialer{Timeout: options.DialTimeout, Control: p.setTCPUserTimeout, KeepAlive: -1}
	return p
}

// Address returns the address of the server, host:port.
func (p *Pool) Address() string { return p.address }

// SetMaxOpenConnections changes Options.MaxOpenConnections. Open connections beyond a
// lower limit are closed when their request ends.
func (p *Pool) SetMaxOpenConnections(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.options.MaxOpenConnections = limit
}

// setTCPUserTimeout is the Control function of the dialer.
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

// Do sends the request and returns its whole response. If maxIdle is above zero,
// only connections that have been idle for less than maxIdle are reused. The
// error is an *Error.
func (p *Pool) Do(ctx context.Context, request *Request, maxIdle time.Duration) (*Response, error) {
	c, err := p.acquire(ctx, maxIdle)
	if err != nil {
		return nil, err
	}
	watch := p.watchForSilence(ctx, c, request.LeaveUnreachable)
	response, reusable, requestWritten, err := c.roundTrip(ctx, request, &p.options)
	watch.stop()
	if err != nil {
		p.discard(c)
		if kind := c.givenUp.Load(); kind != nil && ctx.Err() == nil {
			return nil, p.errorOfGivenUp(*kind)
		}
		return nil, &Error{Kind: p.classify(ctx, err), RemoteAddr: p.address, MaybeSent: true, Cause: err}
	}
	switch {
	case !reusable || c.givenUp.Load() != nil:
		p.discard(c)
	case requestWritten != nil:
		p.keepOnceWritten(c, requestWritten, len(request.Body))
	default:
		p.putIdle(c)
	}
	return response, nil
}

// keepOnceWritten keeps a connection for the next request once the whole last one is written,
// so that the next one does not start in the middle of a body. A server that has responded early
// may take bodyWriteGrace to read the rest. Meanwhile, the body counts for Options.Memory.
func (p *Pool) keepOnceWritten(c *conn, requestWritten <-chan error, bodyBytes int) {
	select {
	case err := <-requestWritten:
		p.keepIf(c, err == nil)
		return
	default:
	}
	memory := p.options.Memory.Body()
	if !memory.Grow(int64(bodyBytes)) {
		p.discard(c)
		return
	}
	go func() {
		defer memory.Release()
		select {
		case err := <-requestWritten:
			p.keepIf(c, err == nil)
		case <-time.After(bodyWriteGrace):
			p.discard(c)
		}
	}()
}

// keepIf keeps a connection for the next request, or closes it.
func (p *Pool) keepIf(c *conn, usable bool) {
	if usable {
		p.putIdle(c)
	} else {
		p.discard(c)
	}
}

// classify returns the Kind of an error on a connection that was used with ctx.
func (p *Pool) classify(ctx context.Context, err error) Kind {
	if errors.Is(err, errMalformedResponse) {
		return KindMalformed
	}
	if errors.Is(err, errMemoryExhausted) {
		return KindMemoryExhausted
	}
	return classify(ctx, err, KindBroken)
}

// acquire returns an idle connection that is still usable, or opens one.
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

// isFresh reports whether a connection has been idle for less than the idle
// timeouts of the pool and of the server, and than maxIdle if it is above zero.
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

// popIdle removes and returns the most recently used idle connection, or nil if
// there is none.
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

// dial opens a connection within the limit of open connections.
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

// classifyDialError returns the Kind of a failed dial. A dial that the caller
// cancelled is no evidence that the server is unreachable.
func classifyDialError(ctx context.Context) Kind {
	if errors.Is(ctx.Err(), context.Canceled) {
		return KindCancelled
	}
	return KindDial
}

// reserveConnection counts one more open connection, or returns false if the limit
// is reached.
func (p *Pool) reserveConnection() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.options.MaxOpenConnections > 0 && p.openConnections >= p.options.MaxOpenConnections {
		return false
	}
	p.openConnections++
	return true
}

// releaseConnection counts one open connection less.
func (p *Pool) releaseConnection() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConnections--
}

// putIdle keeps a connection for the next request, or closes it if the pool is
// closed or has too many.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	if limit := p.options.MaxOpenConnections; p.closed || limit > 0 && p.openConnections > limit {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// discard closes a connection instead of keeping it for another request.
func (p *Pool) discard(c *conn) {
	_ = c.Close() // the connection isn't used any more, so its error doesn't matter
	p.releaseConnection()
}

// OpenConnections returns the number of open connections, idle, in use or being
// dialled.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConnections
}

// CloseExpired closes connections that have been idle for too long at the time
// now.
func (p *Pool) CloseExpired(now time.Time) {
	p.dropIdle(func(c *conn) bool { return !p.isFresh(c, now, 0) })
}

// dropIdle closes the idle connections for which the condition holds and returns their
// number.
func (p *Pool) dropIdle(drops func(*conn) bool) int {
	p.mu.Lock()
	kept := p.idle[:0]
	var dropped []*conn
	for _, c := range p.idle {
		if drops(c) {
			dropped = append(dropped, c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, c := range dropped {
		p.discard(c)
	}
	return len(dropped)
}

// Close closes the idle connections. Connections in use are closed when their
// request is done.
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
