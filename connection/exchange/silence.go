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

// SilenceCheck sets when a connection is found silent: it is open, but what is sent over
// it is never acknowledged, while new connections to the same address work.
type SilenceCheck struct {
	// CheckAfter is how long a request may stay unacknowledged before another connection
	// is opened to see whether that works.
	CheckAfter time.Duration
	// GiveUpAfter is how long the request may stay unacknowledged although another
	// connection was opened meanwhile. It leaves room for the retransmission of one lost
	// packet.
	GiveUpAfter time.Duration
}

var (
	// errSilent is the cause of a KindSilent error, and errUnreachable that of a
	// KindUnreachable error.
	errSilent      = errors.New("sent bytes are not acknowledged, while a new connection works")
	errUnreachable = errors.New("sent bytes are not acknowledged, and no new connection works")
)

// silenceWatch checks a connection while it carries one request.
type silenceWatch struct {
	pool   *Pool
	conn   *conn
	sentAt time.Time
	timer  *time.Timer
	done   chan struct{}
	// leaveUnreachable is Request.LeaveUnreachable.
	leaveUnreachable bool

	mu sync.Mutex
	// ended is set when the request has ended. The connection may carry another one then.
	ended bool
}

// watchForSilence starts the check of a connection that carries a request from now on. It
// returns nil if the pool makes no checks.
func (p *Pool) watchForSilence(ctx context.Context, c *conn, leaveUnreachable bool) *silenceWatch {
	if p.options.Silence.CheckAfter <= 0 {
		return nil
	}
	w := &silenceWatch{pool: p, conn: c, sentAt: time.Now(), done: make(chan struct{}), leaveUnreachable: leaveUnreachable}
	w.timer = time.AfterFunc(p.options.Silence.CheckAfter, func() { w.check(ctx) })
	return w
}

// check gives up the connection if it is silent. On a slow link, opening another
// connection takes as long as an acknowledgement does, so the connection is not taken for
// a silent one.
func (w *silenceWatch) check(ctx context.Context) {
	if !w.pool.hasUnacknowledged(w.conn.Conn) {
		return
	}
	fresh, err := w.pool.dial(ctx)
	kind := KindSilent
	if err == nil {
		w.pool.putIdle(fresh)
	} else if failure := AsError(err); w.leaveUnreachable && failure != nil && failure.Kind == KindDial {
		kind = KindUnreachable
	} else {
		return // the server is out of reach, so the connection shows nothing else
	}
	select {
	case <-w.done:
		return
	case <-time.After(time.Until(w.sentAt.Add(w.pool.options.Silence.GiveUpAfter))):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended && w.pool.hasUnacknowledged(w.conn.Conn) {
		w.conn.giveUp(kind)
	}
}

// stop ends the check. It may be called on nil.
func (w *silenceWatch) stop() {
	if w == nil {
		return
	}
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	close(w.done)
}

// hasUnacknowledged reports whether sent packets of a connection have not been
// acknowledged yet. Bytes that wait for the peer to read do not count.
func hasUnacknowledged(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	unacknowledged := false
	err = rc.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		unacknowledged = infoErr == nil && info.Unacked > 0
	})
	return err == nil && unacknowledged
}

// giveUp fails the pending reads and writes of a connection that was found silent, or
// whose server was found out of reach.
func (c *conn) giveUp(kind Kind) {
	c.givenUp.Store(&kind)
	c.cancel()
}

// errorOfGivenUp returns the error of an exchange whose connection was given up.
func (p *Pool) errorOfGivenUp(kind Kind) *Error {
	cause := errSilent
	if kind == KindUnreachable {
		cause = errUnreachable
	}
	return &Error{Kind: kind, RemoteAddr: p.address, MaybeSent: true, Cause: cause}
}

// DropIdleSince closes the idle connections that have carried no response since a time.
// After a connection was found silent, those of the same age probably are, too.
func (p *Pool) DropIdleSince(since time.Time) int {
	return p.dropIdle(func(c *conn) bool { return c.idleSince.Before(since) })
}
