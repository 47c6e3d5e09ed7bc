package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/connection/httpcheck"
	"verbenatrestle/internal/neterr"
)

const (
	// readBufferSize is the size of a connection's read buffer in bytes. The
	// headers of most responses fit, and idle connections use little memory.
	readBufferSize = 2 << 10
	// maxInlineBodyBytes is the longest request body in bytes that is written
	// before the response is read. During the write of a longer one the response
	// is already read, since both TCP windows might fill up otherwise while the
	// server responds.
	maxInlineBodyBytes = 8 << 10
	// maxSkippedResponses is the number of responses to other requests after
	// which a request fails.
	maxSkippedResponses = 8
	// maxInterimResponses bounds the 1xx responses before the final one.
	maxInterimResponses = 16
	// bodyWriteGrace is how long the server may take to receive the rest of a
	// request after an early response. The connection is closed after that.
	bodyWriteGrace = 2 * time.Second
)

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is the time when the last response was complete, or the connection was opened.
	idleSince time.Time
	// keepAlive is the idle timeout that the server announced in the Keep-Alive
	// header of its last response, or zero if there was none.
	keepAlive time.Duration
	// used is set once the connection has carried a response.
	used bool
	// resets tells the end of a response without a length from a reset.
	resets httpcheck.ResetWatch
	// givenUp is KindSilent or KindUnreachable once the connection was given up for that.
	givenUp atomic.Pointer[Kind]

	// deadlineMu guards cancelled and the deadlines, which are set by the goroutine
	// that reads and at the end of the context.
	deadlineMu sync.Mutex
	// cancelled is set when the context of the request has ended.
	cancelled bool
	// readTimeout is Request.ReadTimeout of the request.
	readTimeout time.Duration
	// readingHead is set while the head of a response is read, and headBytes is how many
	// bytes may come until it ends.
	readingHead bool
	headBytes   int
	// readErr is the error of the first read that failed. Further reads return it,
	// since closing the body of a response would otherwise wait for the rest of it.
	readErr error
}

func newConn(c net.Conn) *conn {
	wrapped := &conn{Conn: c, idleSince: time.Now()}
	wrapped.reader = bufio.NewReaderSize(wrapped, readBufferSize)
	return wrapped
}

// Read implements net.Conn. It applies the read timeout of the request.
func (c *conn) Read(p []byte) (int, error) {
	c.deadlineMu.Lock()
	if c.readTimeout > 0 && !c.cancelled {
		_ = c.SetReadDeadline(time.Now().Add(c.readTimeout)) // the read below fails on a closed connection
	}
	c.deadlineMu.Unlock()
	if c.readErr != nil {
		return 0, c.readErr
	}
	if c.readingHead {
		if c.headBytes <= 0 {
			c.readErr = errors.Wrapf(errMalformedResponse, "head is longer than %d bytes", maxHeadBytes)
			return 0, c.readErr
		}
		p = p[:min(len(p), c.headBytes)]
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		err = c.resets.ReadError(c.Conn, err)
	}
	c.headBytes -= n
	c.readErr = err
	return n, err
}

// stopReading makes further reads fail with an error, so that closing the body of a
// response does not read on.
func (c *conn) stopReading(err error) {
	if c.readErr == nil {
		c.readErr = err
	}
}

// begin prepares the connection for a request.
func (c *conn) begin(readTimeout time.Duration) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.cancelled, c.readTimeout = false, readTimeout
}

// cancel fails pending and further reads and writes of the request.
func (c *conn) cancel() {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.cancelled = true
	_ = c.SetDeadline(time.Unix(1, 0)) // fails only if the connection is already closed
}

// isUsable reports whether the connection can carry another request: it is
// still open, and the server has sent nothing since the last response.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = rc.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && usable
}

// roundTrip sends the request and reads its response. The second result reports
// whether the connection may be used again, once the channel receives nil if there is one:
// then the request is still being written. The end of ctx fails pending reads and writes.
func (c *conn) roundTrip(ctx context.Context, request *Request, options *Options) (*Response, bool, <-chan error, error) {
	c.begin(request.ReadTimeout)
	stop := context.AfterFunc(ctx, c.cancel)
	defer stop()
	requestWritten, err := c.writeRequest(request)
	if err != nil {
		return nil, false, nil, errors.Wrap(err, "write request")
	}
	response, reusable, err := c.readMatchingResponse(request, options)
	if err != nil {
		return nil, false, nil, err
	}
	c.idleSince = time.Now()
	if !stop() || request.ReadTimeout > 0 && c.SetReadDeadline(time.Time{}) != nil {
		reusable = false
	}
	return response, reusable, requestWritten, nil
}

// writeRequest writes the request. A body longer than maxInlineBodyBytes is
// written in the background, so that the response can be read at the same time;
// the returned channel, which is nil otherwise, then receives the result of the write.
func (c *conn) writeRequest(request *Request) (<-chan error, error) {
	head := request.head()
	if len(request.Body) <= maxInlineBodyBytes {
		buffers := net.Buffers{head, request.Body}
		_, err := buffers.WriteTo(c.Conn)
		return nil, err
	}
	written := make(chan error, 1)
	go func() {
		buffers := net.Buffers{head, request.Body}
		_, err := buffers.WriteTo(c.Conn)
		c.resets.Wrote(err)
		written <- err
	}()
	return written, nil
}

// readMatchingResponse reads the response to the request, and skips responses
// to other requests. After one without the ID, the connection may not be used again:
// a second copy of it would be taken for the response to the next request.
func (c *conn) readMatchingResponse(request *Request, options *Options) (*Response, bool, error) {
	for range maxSkippedResponses {
		trustMissingID := options.TrustMissingID || !c.used
		response, reusable, err := c.readResponse(request.Method, options)
		if err != nil {
			return nil, false, err
		}
		if repeatsID(response, request.ID, options.IDHeader) {
			return response, reusable, nil
		}
		if isErrorWithoutID(response, options.IDHeader) {
			if !trustMissingID {
				return nil, false, errors.Wrap(errMalformedResponse, "error without an ID on a kept connection")
			}
			return response, false, nil
		}
		if !reusable {
			return nil, false, &mismatchedIDError{id: response.Header.Get(options.IDHeader)}
		}
	}
	return nil, false, errors.Wrap(errMalformedResponse, "too many answers to other requests")
}

// isErrorWithoutID reports whether a response is an error without an ID: a target may refuse a
// request before it has read its headers. On a connection that has carried a response, it may be
// a late copy for an earlier request, too.
func isErrorWithoutID(response *Response, idHeader string) bool {
	return response.Header.Get(idHeader) == "" && response.Status >= http.StatusBadRequest
}

// repeatsID reports whether a response repeats the ID of the request, if it has one.
func repeatsID(response *Response, id, idHeader string) bool {
	return id == "" || response.Header.Get(idHeader) == id
}

// errMalformedResponse is the cause of all errors about responses that violate
// the protocol.
var errMalformedResponse = httpcheck.ErrInvalidHead

// mismatchedIDError means that the last response of a connection belongs to
// another request.
type mismatchedIDError struct{ id string }

// Error implements error.
func (e *mismatchedIDError) Error() string {
	return "the connection ended with the answer to request " + strconv.Quote(e.id)
}

// readResponse reads one final response with its whole body. The second result
// reports whether the connection stays open.
func (c *conn) readResponse(method string, options *Options) (*Response, bool, error) {
	response, err := c.readHead(method)
	if err != nil {
		return nil, false, err
	}
	defer response.Body.Close()
	body, err := readBody(response, options)
	if err != nil {
		err = errors.Wrap(err, "read body of answer")
		c.stopReading(err)
		return nil, false, err
	}
	c.keepAlive = parseKeepAlive(response.Header.Get("Keep-Alive"))
	c.used = true
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body}, !response.Close, nil
}

// readBody reads the whole body of a response.
func readBody(response *http.Response, options *Options) ([]byte, error) {
	if response.ContentLength > options.MaxBodyBytes {
		return nil, errors.Wrapf(errMalformedResponse, "body of %d bytes", response.ContentLength)
	}
	body, err := options.Memory.readAll(response.Body, options.MaxBodyBytes)
	if err != nil && !neterr.IsConnection(err) && !errors.Is(err, errMemoryExhausted) {
		return nil, malformed(err)
	}
	return body, err
}

// readHead reads the status line and headers of the final response, and skips
// interim responses.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.readingHead, c.headBytes = true, maxHeadBytes
	defer func() { c.readingHead = false }()
	for range maxInterimResponses {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, classifyParseError(err)
		}
		if err := httpcheck.CheckHead(response); err != nil {
			c.stopReading(err)
			_ = response.Body.Close() // the connection is not used any more
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.Wrap(errMalformedResponse, "too many interim answers")
}

// classifyParseError wraps an error of http.ReadResponse. Errors of the parser
// get errMalformedResponse as their cause; errors of the connection don't.
func classifyParseError(err error) error {
	if neterr.IsConnection(err) {
		return errors.Wrap(err, "read head of answer")
	}
	return errors.Wrap(malformed(err), "read head of answer")
}

// malformed returns the error of a response that could not be parsed. It does not quote the
// response, since a faulty target may have sent that of another caller.
func malformed(err error) error {
	if errors.Is(err, errMalformedResponse) {
		return errors.Wrap(errMalformedResponse, err.Error())
	}
	return errors.Wrap(errMalformedResponse, neterr.MalformedPart(err))
}

// parseKeepAlive returns the timeout parameter of a Keep-Alive header, or zero
// if there is none or it is invalid.
func parseKeepAlive(header string) time.Duration {
	for _, parameter := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds <= 0 {
			return 0
		}
		return time.Duration(seconds) * time.Second
	}
	return 0
}
