package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/internal/wait"
)

const (
	// earlyMark is part of the ids of requests that targets answer before they read the body.
	earlyMark = "-early-"
	// earlyInterval is the interval of these requests, and minEarlyBody and maxEarlyBody bound
	// their bodies in bytes. The buffers of a connection hold less than most of them.
	earlyInterval              = 250 * time.Millisecond
	minEarlyBody, maxEarlyBody = 300 << 10, 1 << 20
	// targetReadBuffer is the size of the read buffer of a target's connection in bytes, and
	// targetSegment that of a TCP segment, as on Ethernet. With those of the loopback
	// interface, the buffers of a connection hold a whole body.
	targetReadBuffer = 4 << 10
	targetSegment    = 1400
)

// AnswersEarly reports whether targets answer a request before they read its body.
func AnswersEarly(id string) bool { return strings.Contains(id, earlyMark) }

// sendEarlyAnswered sends requests that targets answer early until the context ends.
func (c *Callers) sendEarlyAnswered(ctx context.Context, client *http.Client) {
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; wait.For(ctx, earlyInterval); i++ {
		record := CallerRecord{ID: fmt.Sprint(c.IDPrefix, earlyMark, i), Node: c.Nodes[rand.IntN(len(c.Nodes))], Early: true}
		service := c.Services[rand.IntN(len(c.Services))]
		record.NonIdempotent = strings.HasPrefix(service, "once")
		m := message{method: http.MethodPut, path: "/" + service + "/" + record.ID, body: uniqueBody(record.ID, minEarlyBody+rand.IntN(maxEarlyBody-minEarlyBody))}
		group.Go(func() { c.send(client, m, lastingIdentity(steadyOrganisation), record) })
	}
}

// checkArrival checks what arrived at a target, whether it ran or not.
func (r *Result) checkArrival(run *RunRecord, known bool) {
	switch {
	case run.Malformed:
		r.addViolation("unasked: bytes that are no request came to %s in place of one", run.Instance)
	case !known:
		r.addViolation("unasked: %s ran at %s, no caller sent it", run.ID, run.Instance)
	case run.WrongRest:
		r.addViolation("unasked: other bytes came to %s in place of the rest of the body of %s", run.Instance, run.ID)
	}
}

// ListenTarget listens on the address of a target, "IP:port". The listener is for an http.Server;
// onMalformed is called when that refuses bytes that are no request.
func ListenTarget(ctx context.Context, address string, onMalformed func()) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			if setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, targetReadBuffer); setErr == nil {
				setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, targetSegment)
			}
		})
		if err == nil {
			err = setErr
		}
		return errors.Wrap(err, "set the buffers of a target")
	}}
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &targetListener{Listener: listener, onMalformed: onMalformed}, nil
}

type targetListener struct {
	net.Listener
	onMalformed func()
}

// Accept implements net.Listener.
func (l *targetListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &targetConn{Conn: conn, onMalformed: l.onMalformed}, nil
}

// targetConn is a connection of an http.Server, which has no hook for malformed requests.
type targetConn struct {
	net.Conn
	onMalformed func()
	// ended is set when a read has failed. A request that is cut off then is not malformed.
	ended atomic.Bool
}

// SetLinger sets how a close ends the connection, as that of net.TCPConn.
func (c *targetConn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.New("no TCP connection")
	}
	return tcp.SetLinger(seconds)
}

// refusalHeader is what follows the status in the response of an http.Server to a malformed
// request. Those of handlers have a date.
var refusalHeader = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// Read implements net.Conn.
func (c *targetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.ended.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *targetConn) Write(p []byte) (int, error) {
	if !c.ended.Load() && bytes.Contains(p, refusalHeader) {
		c.onMalformed()
	}
	return c.Conn.Write(p)
}
