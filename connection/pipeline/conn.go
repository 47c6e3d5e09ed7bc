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
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/internal/neterr"
)

const (
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 2 << 10
	// maxPipelined bounds the queue of pending responses of a connection, and so
	// the requests that it handles concurrently.
	maxPipelined = 32
	// writeTimeout bounds the time to write one response, in case the caller does
	// not read it.
	writeTimeout = 10 * time.Second
	// lingerTimeout and lingerBytes bound how long and how much is read from a
	// connection after a request was rejected. Callers may send a whole long body before
	// they read the response.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 64 << 20
)

// pendingResponse is an entry in a connection's queue of responses. The entries
// have the order of the requests.
type pendingResponse struct {
	method string
	// written is closed when this response is written or has failed.
	written chan struct{}
	// response receives one response, from the handler or for a rejected request.
	response chan *Response
	// closeAfter is set if this is the last response of the connection.
	closeAfter bool
}

// serverConn is a connection of a caller.
type serverConn struct {
	server        *Server
	conn          net.Conn
	limitedReader *io.LimitedReader
	recorder      *headRecorder
	reader        *bufio.Reader
	responses     chan *pendingResponse
	// lifecycle decides which requests are still read.
	lifecycle lifecycle
	// ctx is the context of all handlers of the connection.
	ctx    context.Context
	cancel context.CancelFunc
}

func newServerConn(s *Server, c net.Conn) *serverConn {
	limitedReader := &io.LimitedReader{R: c, N: math.MaxInt64}
	recorder := &headRecorder{Reader: limitedReader}
	ctx, cancel := context.WithCancel(context.Background())
	return &serverConn{
		server:        s,
		conn:          c,
		limitedReader: limitedReader,
		recorder:      recorder,
		reader:        bufio.NewReaderSize(recorder, readBufferSize),
		responses:     make(chan *pendingResponse, maxPipelined),
		lifecycle:     lifecycle{conn: c},
		ctx:           ctx,
		cancel:        cancel,
	}
}

// serve reads requests until the caller disconnects or asks to close the
// connection, a request is rejected, the connection is idle for too long, or the
// server closes it. It then waits until the responses are written, and closes the
// connection.
func (c *serverConn) serve() {
	written := make(chan struct{})
	go func() {
		c.writeResponses()
		close(written)
	}()
	precedingAnswered := closedChannel()
	var err error
	for err == nil {
		precedingAnswered, err = c.readNext(precedingAnswered)
	}
	close(c.responses)
	<-written
	c.cancel()
	if errors.Is(err, errRejected) || errors.Is(err, errClosing) {
		c.linger()
	}
	_ = c.conn.Close() // the responses are written, so the error doesn't matter
}

// linger reads and discards more bytes after a rejection, or after a response that
// announced the close. Closing a connection with unread bytes resets it, and the caller
// might then lose the response.
func (c *serverConn) linger() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails only if the connection is already closed
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout)) // the copy below fails on a closed connection
	_, _ = io.CopyN(io.Discard, c.conn, lingerBytes)          // neither the bytes nor the error are needed
}

func closedChannel() chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}

// errRejected ends the reading of a connection after a request that is malformed,
// too large or too slow, or whose body finds no memory.
var errRejected = errors.New("request rejected")

// errClosing ends the reading of a connection that the server closes.
var errClosing = errors.New("connection closes")

// readNext reads one request and starts its handler. It returns the channel that
// is closed when the response to this request is written. If the caller has
// disconnected, it cancels the context of the connection's handlers.
func (c *serverConn) readNext(precedingAnswered chan struct{}) (chan struct{}, error) {
	if err := c.awaitFirstByte(); err != nil {
		c.cancel()
		return nil, err
	}
	if !c.lifecycle.begin() {
		return nil, errClosing
	}
	arrivedAt := time.Now()
	limits := c.server.Limits()
	pending := &pendingResponse{written: make(chan struct{}), response: make(chan *Response, 1)}
	_ = c.conn.SetReadDeadline(arrivedAt.Add(limits.HeaderTimeout)) // the read below fails on a closed connection
	request, rejection, err := c.read(limits, precedingAnswered)
	if rejection != nil {
		pending.closeAfter = true
		pending.response <- rejection
		c.responses <- pending
		return nil, errRejected
	}
	if err != nil {
		c.lifecycle.end(limits.IdleTimeout)
		c.cancel()
		return nil, err
	}
	_ = c.conn.SetReadDeadline(time.Time{}) // the next read fails on a closed connection
	request.ArrivedAt = arrivedAt
	pending.method = request.Method
	pending.closeAfter = wantsClose(request.Header)
	c.responses <- pending
	go func() {
		response := c.server.Handler(c.ctx, request)
		request.memory.Release()
		pending.response <- response
	}()
	if pending.closeAfter {
		c.watchForDisconnect()
		return nil, io.EOF
	}
	return pending.written, nil
}

// wantsClose reports whether the caller asks to close the connection after the
// response.
func wantsClose(header http.Header) bool {
	for _, value := range header["Connection"] {
		if strings.Contains(strings.ToLower(value), "close") {
			return true
		}
	}
	return false
}

// watchForDisconnect keeps reading after the last request of the connection, and
// cancels the context of the handlers if the caller disconnects before the
// response is written.
func (c *serverConn) watchForDisconnect() {
	go func() {
		_, err := c.reader.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
	}()
}

// awaitFirstByte waits for the first byte of the next request. The idle timeout
// applies only while no request is pending.
func (c *serverConn) awaitFirstByte() error {
	for {
		c.lifecycle.awaitRequest(c.server.Limits().IdleTimeout)
		c.limitedReader.N = math.MaxInt64
		_, err := c.reader.Peek(1)
		if err == nil {
			return nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && c.lifecycle.ignoreIdleTimeout() {
			continue
		}
		if c.lifecycle.isClosing() {
			return errClosing
		}
		return err
	}
}

// read reads a request with its whole body. If the request must be rejected, it
// returns the response to send instead. If the connection has failed, it returns
// an error and no response.
func (c *serverConn) read(limits Limits, precedingAnswered <-chan struct{}) (*Request, *Response, error) {
	c.limitedReader.N = limits.MaxHeaderBytes + readBufferSize
	headerDeadline := time.Now().Add(limits.HeaderTimeout)
	c.recorder.begin(c.reader)
	parsed, err := http.ReadRequest(c.reader)
	head := c.recorder.end(c.reader)
	tooLong := c.limitedReader.N <= 0
	c.limitedReader.N = math.MaxInt64
	if err != nil {
		return nil, c.headErrorResponse(err, tooLong, !time.Now().Before(headerDeadline)), err
	}
	if rejection := c.checkHead(head, parsed, limits); rejection != nil {
		return nil, rejection, nil
	}
	memory := c.server.Memory.Body()
	body, rejection, err := c.readBody(parsed, limits, &memory, precedingAnswered)
	if rejection != nil || err != nil {
		memory.Release()
		return nil, rejection, err
	}
	target := originForm(parsed)
	return &Request{
		Method:            parsed.Method,
		RequestURI:        target,
		Path:              pathOf(target),
		Host:              parsed.Host,
		Header:            parsed.Header,
		Body:              body,
		RemoteAddr:        c.conn.RemoteAddr().String(),
		PrecedingAnswered: precedingAnswered,
		memory:            memory,
	}, nil, nil
}

// originForm returns the request target without the scheme, credentials and host of a whole URL.
// They tell nothing that Host doesn't, but for the credentials, which must not be logged.
func originForm(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	if r.Method == http.MethodConnect {
		return r.URL.Host
	}
	_, rest, found := strings.Cut(r.RequestURI, "://")
	if !found || r.URL.Host == "" {
		return r.RequestURI
	}
	start := strings.IndexAny(rest, "/?")
	switch {
	case start < 0:
		return "/"
	case rest[start] == '?':
		return "/" + rest[start:]
	}
	return rest[start:]
}

// pathOf returns the path of a request target, without the query and not decoded.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// headerSize returns the approximate size in bytes of the request line and the
// headers.
func headerSize(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(size)
}

// headErrorResponse returns the response for an error of http.ReadRequest, or nil
// if the caller has disconnected. Callers may match the reasons, so the texts up to the
// colon must not change. The reasons are logged, so none may quote the request.
func (c *serverConn) headErrorResponse(err error, tooLong, timedOut bool) *Response {
	switch {
	case tooLong:
		return c.server.Reject(http.StatusRequestHeaderFieldsTooLarge, "headers are too long")
	case timedOut:
		return c.server.Reject(http.StatusRequestTimeout, "headers did not come in time")
	case neterr.IsConnection(err):
		return nil
	}
	return c.server.Reject(http.StatusBadRequest, "malformed request: "+neterr.MalformedPart(err))
}

// closeIfIdle makes serve close the connection if no request is pending.
func (c *serverConn) closeIfIdle() { c.lifecycle.closeAfterLast(0) }

// abort closes the connection without waiting for pending requests, and cancels
// the context of their handlers.
func (c *serverConn) abort() {
	c.cancel()
	_ = c.conn.Close() // pending responses are lost anyway, so the error doesn't matter
}
