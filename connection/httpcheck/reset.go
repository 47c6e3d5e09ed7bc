// Package httpcheck tells apart what net/http's HTTP/1.1 client takes for a whole and valid
// response although it is none.
package httpcheck

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// tcpClose is the state of a socket whose connection is gone (TCP_CLOSE). After the peer has
// only ended its side, the state is another one.
const tcpClose = 7

// ResetWatch tells the end of a stream from a reset of its connection. The kernel reports a
// reset once, to the read or the write that comes first. If a request is being written while
// the response is read, the read may so find nothing but an end, as of a response without a
// length that is complete.
//
// A reset that follows the end of the stream is not told apart from one in its place, so a
// whole response may be taken for a part, but never the reverse.
type ResetWatch struct {
	// writeFailed is set once a write has found the connection reset.
	writeFailed atomic.Bool
}

// Wrote records the result of a write.
func (w *ResetWatch) Wrote(err error) {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		w.writeFailed.Store(true)
	}
}

// ReadError returns the error of a read of the connection: that of a reset in place of io.EOF
// if the connection was reset.
func (w *ResetWatch) ReadError(conn net.Conn, err error) error {
	// In this order: a writer that has failed may close the connection, whose state can't be read then.
	if err != io.EOF || !isGone(conn) && !w.writeFailed.Load() {
		return err
	}
	return &net.OpError{
		Op: "read", Net: "tcp", Source: conn.LocalAddr(), Addr: conn.RemoteAddr(),
		Err: os.NewSyscallError("read", syscall.ECONNRESET),
	}
}

// isGone reports whether the kernel has dropped the connection.
func isGone(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	err = rc.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		gone = infoErr == nil && info.State == tcpClose
	})
	return err == nil && gone
}

// DetectResets returns a connection whose reads fail if it was reset, also where a write has
// been told so first.
func DetectResets(conn net.Conn) net.Conn { return &resetDetectingConn{Conn: conn} }

type resetDetectingConn struct {
	net.Conn
	watch ResetWatch
}

// Read implements net.Conn.
func (c *resetDetectingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		err = c.watch.ReadError(c.Conn, err)
	}
	return n, err
}

// Write implements net.Conn.
func (c *resetDetectingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.watch.Wrote(err)
	}
	return n, err
}
