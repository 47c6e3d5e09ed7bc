package node

import (
	"context"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"verbenatrestle/internal/wait"
)

const (
	// unusedBeforeClose is how long a connection must have been without a request
	// before a stopping node closes it. It is well above the time that a request
	// takes from the caller to the handler on a busy VM.
	unusedBeforeClose = time.Second
	// handshakeWait is how long a stopping node waits for handshakes that have begun
	// when it stops taking new ones. It is above the round trip of a caller and below
	// the second after which a caller begins again, which is then refused at once.
	handshakeWait = 300 * time.Millisecond
	// unusedPoll is the interval at which a stopping node checks its connections.
	unusedPoll = 20 * time.Millisecond
)

// drainingListener can stop listening without resetting connections in the accept
// queue of the kernel.
type drainingListener struct {
	*net.TCPListener
}

// listenDraining opens a listener. It has no multipath TCP, whose sockets take no filter.
func listenDraining(address string) (*drainingListener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &drainingListener{TCPListener: listener.(*net.TCPListener)}, nil
}

// drain makes the kernel ignore new handshakes, waits for those that have begun, and then
// makes Accept return the connections in the accept queue and then net.ErrClosed. A handshake
// that ended between the last accept and the close of the socket would be reset, and with it
// a request that the caller has sent. A caller whose handshake is ignored begins again and
// is refused. If the filter can't be set, drain goes on without it and returns the error.
func (l *drainingListener) drain(ctx context.Context) error {
	err := l.ignoreHandshakes()
	wait.For(ctx, handshakeWait)
	if deadlineErr := l.SetDeadline(time.Now()); deadlineErr != nil {
		err = deadlineErr
	}
	return errors.Wrapf(err, "drain listener %s", l.Addr())
}

// ignoreHandshakes makes the kernel drop the first packet of a handshake.
func (l *drainingListener) ignoreHandshakes() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	filter := firstPacketFilter()
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	var filterErr error
	err = raw.Control(func(fd uintptr) {
		filterErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err == nil {
		err = filterErr
	}
	return err
}

const (
	// tcpFlagsOffset is the offset of the flags in the TCP header, in bytes.
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
	tcpFlagACK     = 0x10
	// wholePacket is the length that a filter returns to keep a packet.
	wholePacket = math.MaxUint32
)

// firstPacketFilter returns the socket filter that drops packets with the flag SYN and
// without ACK, which begin handshakes, and keeps all others.
func firstPacketFilter() []unix.SockFilter {
	return []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpFlagSYN | tcpFlagACK},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: tcpFlagSYN},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: wholePacket},
	}
}

// Accept returns the next connection, or net.ErrClosed once the listener is
// drained.
func (l *drainingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return l.acceptWaiting()
	}
	return conn, err
}

// acceptWaiting returns a connection from the accept queue. If the queue is empty,
// it shuts the socket down in the same step, because a connection that arrived in
// between would be reset.
func (l *drainingListener) acceptWaiting() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var accepted int
	var acceptErr error
	err = raw.Control(func(fd uintptr) {
		accepted, _, acceptErr = unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if errors.Is(acceptErr, unix.EAGAIN) {
			acceptErr = net.ErrClosed
			// This fails only if the socket no longer listens.
			_ = unix.Shutdown(int(fd), unix.SHUT_RDWR)
		}
	})
	if err != nil {
		return nil, err
	}
	if acceptErr != nil {
		return nil, acceptErr
	}
	file := os.NewFile(uintptr(accepted), "caller connection")
	defer file.Close()
	return net.FileConn(file)
}

// callerConns tracks the connections of a server to determine when they can be
// closed without losing a request. http.Server.Shutdown alone drops requests that
// it reads after it was called.
type callerConns struct {
	mu sync.Mutex
	// unusedSince holds the time since which each open connection has been unused.
	// It is zero while a request is being served.
	unusedSince map[net.Conn]time.Time
}

// connState is the ConnState hook of the server.
func (c *callerConns) connState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.unusedSince[conn] = time.Now()
	case http.StateActive:
		c.unusedSince[conn] = time.Time{}
	case http.StateClosed, http.StateHijacked:
		delete(c.unusedSince, conn)
	}
}

// unused reports whether every connection has been unused for long enough.
func (c *callerConns) unused(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, since := range c.unusedSince {
		if since.IsZero() || now.Sub(since) < unusedBeforeClose {
			return false
		}
	}
	return true
}

// awaitUnused blocks until every connection is unused or the context ends.
func (c *callerConns) awaitUnused(ctx context.Context) {
	for !c.unused(time.Now()) && wait.For(ctx, unusedPoll) {
	}
}
