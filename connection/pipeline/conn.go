package pipeline

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 2 << 10
	// maxAhead bounds the requests of a connection that run side by side.
	maxAhead = 32
	// writeTimeout bounds the writing of one answer to a caller that does not
	// read.
	writeTimeout = 10 * time.Second
	// lingerTimeout and lingerBytes bound what is read behind a rejection.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
)

// slot is the place of one request in the order of answers.
type slot struct {
	method string
	// turn is closed when the answers before it are written.
	turn chan struct{}
	// answer receives the answer, once.
	answer chan *Response
	// last tells that no request is read behind this one.
	last bool
}

// serverConn is one connection of a caller.
type serverConn struct {
	server *Server
	conn   net.Conn
	limit  *io.LimitedReader
	reader *bufio.Reader
	slots  chan *slot
	// pending counts requests that were read, or began to be, and are not
	// answered.
	pending atomic.Int32
	ctx     context.Context
	cancel  context.CancelFunc
}

func newServerConn(s *Server, c net.Conn) *serverConn {
	limit := &io.LimitedReader{R: c, N: math.MaxInt64}
	ctx, cancel := context.WithCancel(context.Background())
	return &serverConn{
		server: s,
		conn:   c,
		limit:  limit,
		reader: bufio.NewReaderSize(limit, bufferBytes),
		slots:  make(chan *slot, maxAhead),
		ctx:    ctx,
		cancel: cancel,
	}
}

// serve reads requests until the caller leaves, then waits for the answers.
func (c *serverConn) serve() {
	written := make(chan struct{})
	go func() {
		c.writeAnswers()
		close(written)
	}()
	turn := closedTurn()
	var err error
	for err == nil {
		turn, err = c.readOne(turn)
	}
	close(c.slots)
	<-written
	c.cancel()
	if errors.Is(err, errRejected) {
		c.linger()
	}
	_ = c.conn.Close() // the answers are written; nothing is left to lose
}

// linger reads on for a moment behind a rejection: closing with unread bytes
// resets the connection, and the caller might lose the answer.
func (c *serverConn) linger() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // the caller is gone if this fails
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout)) // fails the copy below if closed
	_, _ = io.CopyN(io.Discard, c.conn, lingerBytes)          // the bytes and their end are of no use
}

func closedTurn() chan struct{} {
	turn := make(chan struct{})
	close(turn)
	return turn
}

// errRejected ends the reading of a connection after a request that can't be
// read.
var errRejected = errors.New("request rejected")

// readOne reads one request and starts its handler. It returns the turn of the
// next one. A caller that has left ends the work of its requests.
func (c *serverConn) readOne(turn chan struct{}) (chan struct{}, error) {
	limits := c.server.Limits()
	if err := c.awaitFirstByte(limits); err != nil {
		c.cancel()
		return nil, err
	}
	arrived := time.Now()
	c.pending.Add(1)
	s := &slot{turn: make(chan struct{}), answer: make(chan *Response, 1)}
	_ = c.conn.SetReadDeadline(arrived.Add(limits.HeaderTimeout)) // a closed connection fails the read below
	request, failure, err := c.read(limits, turn)
	if failure != nil {
		s.last = true
		s.answer <- failure
		c.slots <- s
		return nil, errRejected
	}
	if err != nil {
		c.pending.Add(-1)
		c.cancel()
		return nil, err
	}
	_ = c.conn.SetReadDeadline(time.Time{}) // as above
	request.ArrivedAt = arrived
	s.method = request.Method
	s.last = closeAsked(request.Header)
	c.slots <- s
	go func() { s.answer <- c.server.Handler(c.ctx, request) }()
	if s.last {
		c.watchForLeave()
		return nil, io.EOF
	}
	return s.turn, nil
}

// closeAsked reports whether the caller sends nothing behind the request.
func closeAsked(header http.Header) bool {
	for _, value := range header["Connection"] {
		if strings.Contains(strings.ToLower(value), "close") {
			return true
		}
	}
	return false
}

// watchForLeave keeps reading behind the last request, to notice that the
// caller leaves before it is answered.
func (c *serverConn) watchForLeave() {
	go func() {
		_, err := c.reader.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
	}()
}

// awaitFirstByte waits for the next request. The idle timeout counts only
// while nothing is pending.
func (c *serverConn) awaitFirstByte(limits Limits) error {
	for {
		if c.pending.Load() == 0 {
			_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout)) // fails the peek if closed
		}
		c.limit.N = math.MaxInt64
		_, err := c.reader.Peek(1)
		if err == nil {
			return nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && c.pending.Load() > 0 {
			_ = c.conn.SetReadDeadline(time.Time{})
			continue
		}
		return err
	}
}

// read reads one request whole. The response, if there is one, says why it
// can't be served.
func (c *serverConn) read(limits Limits, turn <-chan struct{}) (*Request, *Response, error) {
	c.limit.N = limits.MaxHeaderBytes + bufferBytes
	due := time.Now().Add(limits.HeaderTimeout)
	parsed, err := http.ReadRequest(c.reader)
	overlong := c.limit.N <= 0
	c.limit.N = math.MaxInt64
	if err != nil {
		return nil, c.headFailure(err, overlong, !time.Now().Before(due)), err
	}
	if headerSize(parsed) > limits.MaxHeaderBytes {
		return nil, c.server.Reject(http.StatusRequestHeaderFieldsTooLarge, "headers are too long"), nil
	}
	body, failure, err := c.readBody(parsed, limits, turn)
	if failure != nil || err != nil {
		return nil, failure, err
	}
	return &Request{
		Method:            parsed.Method,
		RequestURI:        parsed.RequestURI,
		Path:              pathOf(parsed.RequestURI),
		Host:              parsed.Host,
		Header:            parsed.Header,
		Body:              body,
		RemoteAddr:        c.conn.RemoteAddr().String(),
		PrecedingAnswered: turn,
	}, nil, nil
}

// pathOf returns the path of a request target, as sent.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

func headerSize(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(size)
}

// headFailure returns the answer to a head that can't be read, or nil if the
// caller has left.
func (c *serverConn) headFailure(err error, overlong, late bool) *Response {
	switch {
	case overlong:
		return c.server.Reject(http.StatusRequestHeaderFieldsTooLarge, "headers are too long")
	case late:
		return c.server.Reject(http.StatusRequestTimeout, "headers did not come in time")
	case isConnError(err):
		return nil
	}
	return c.server.Reject(http.StatusBadRequest, "malformed request: "+err.Error())
}

func isConnError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// readBody reads the whole body. A caller that waits for leave to send it is
// given leave once its answer would be next.
func (c *serverConn) readBody(r *http.Request, limits Limits, turn <-chan struct{}) ([]byte, *Response, error) {
	if r.ContentLength > limits.MaxBodyBytes {
		return nil, c.server.Reject(http.StatusRequestEntityTooLarge, "body is too long"), nil
	}
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		<-turn
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, errors.Wrap(err, "write interim answer")
		}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout)) // fails the read below if closed
	body, err := io.ReadAll(io.LimitReader(r.Body, limits.MaxBodyBytes+1))
	switch {
	case int64(len(body)) > limits.MaxBodyBytes:
		return nil, c.server.Reject(http.StatusRequestEntityTooLarge, "body is too long"), nil
	case err == nil:
		return body, nil, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, c.server.Reject(http.StatusRequestTimeout, "body did not come in time"), nil
	case isConnError(err):
		return nil, nil, errors.Wrap(err, "read body")
	}
	return nil, c.server.Reject(http.StatusBadRequest, "malformed body: "+err.Error()), nil
}

// closeIfIdle ends the reading of a connection without pending requests.
func (c *serverConn) closeIfIdle() {
	if c.pending.Load() == 0 {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0)) // a closed connection is as good
	}
}

// cut ends the connection at once.
func (c *serverConn) cut() {
	c.cancel()
	_ = c.conn.Close() // whatever is pending is given up
}
