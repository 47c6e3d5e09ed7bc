package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// readBufferSize is the buffer of a connection, in bytes. Most heads of answers
	// fit, and idle connections stay cheap.
	readBufferSize = 2 << 10
	// maxInlineBodyBytes is the longest body, in bytes, that is written before the
	// answer is read. Longer ones might fill the windows while the peer answers.
	maxInlineBodyBytes = 8 << 10
	// maxSkippedResponses bounds the foreign answers that one request reads past.
	maxSkippedResponses = 8
	// maxInterimResponses bounds the 1xx answers before the final one.
	maxInterimResponses = 16
	// bodyWriteGrace is how long an early answer's connection may take to accept the
	// rest of the request before it is dropped.
	bodyWriteGrace = 2 * time.Second
)

// conn is one connection. One request at a time uses it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is when the last answer was complete.
	idleSince time.Time
	// keepAlive is how long the peer keeps the connection idle. Zero means that
	// it did not say.
	keepAlive time.Duration
	// used tells that an answer came on the connection before.
	used bool
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferSize)}
}

// isUsable reports whether the connection is open and holds no bytes that nobody
// asked for.
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

// roundTrip sends the request and reads its answer. The second result tells
// whether the connection may be used again.
func (c *conn) roundTrip(ctx context.Context, request *Request, idHeader string, maxBody int64) (*Response, bool, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	requestWritten, err := c.writeRequest(request)
	if err != nil {
		return nil, false, errors.Wrap(err, "write request")
	}
	response, reusable, err := c.readMatchingResponse(request, idHeader, maxBody)
	if err != nil {
		return nil, false, err
	}
	if !stop() {
		reusable = false
	}
	return response, reusable && c.awaitRequestWritten(requestWritten), nil
}

// writeRequest writes the request. A long body goes on being written while the answer
// is read; the channel then gives its end.
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
		written <- err
	}()
	return written, nil
}

// awaitRequestWritten waits until the whole request is written, so that the next one does
// not start within its body.
func (c *conn) awaitRequestWritten(requestWritten <-chan error) bool {
	if requestWritten == nil {
		return true
	}
	select {
	case err := <-requestWritten:
		return err == nil
	case <-time.After(bodyWriteGrace):
		return false
	}
}

// readMatchingResponse reads answers until the one to the request.
func (c *conn) readMatchingResponse(request *Request, idHeader string, maxBody int64) (*Response, bool, error) {
	for range maxSkippedResponses {
		response, reusable, err := c.readResponse(request.Method, maxBody)
		if err != nil {
			return nil, false, err
		}
		if matchesRequest(response, request.ID, idHeader) {
			return response, reusable, nil
		}
		if !reusable {
			return nil, false, &mismatchedIDError{id: response.Header.Get(idHeader)}
		}
	}
	return nil, false, errors.Wrap(errMalformedResponse, "too many answers to other requests")
}

// matchesRequest reports whether an answer is the one to the request of that id. A
// refusal may come without an id, since a target may make it unread.
func matchesRequest(response *Response, id, idHeader string) bool {
	responseID := response.Header.Get(idHeader)
	return id == "" || responseID == id || responseID == "" && response.Status >= http.StatusBadRequest
}

// errMalformedResponse is the cause of errors of answers that break the protocol.
var errMalformedResponse = errors.New("malformed answer")

// mismatchedIDError tells that the connection ended with another request's answer.
type mismatchedIDError struct{ id string }

// Error implements error.
func (e *mismatchedIDError) Error() string {
	return "the connection ended with the answer to request " + strconv.Quote(e.id)
}

// readResponse reads one final answer, whole.
func (c *conn) readResponse(method string, maxBody int64) (*Response, bool, error) {
	response, err := c.readHead(method)
	if err != nil {
		return nil, false, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody+1))
	if err != nil {
		return nil, false, errors.Wrap(err, "read body of answer")
	}
	if int64(len(body)) > maxBody {
		return nil, false, errors.Wrapf(errMalformedResponse, "body is longer than %d bytes", maxBody)
	}
	c.keepAlive = parseKeepAlive(response.Header.Get("Keep-Alive"))
	c.used = true
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body}, !response.Close, nil
}

// readHead reads the head of the final answer, past interim ones.
func (c *conn) readHead(method string) (*http.Response, error) {
	for range maxInterimResponses {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, classifyParseError(err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.Wrap(errMalformedResponse, "protocol switched unasked")
		}
	}
	return nil, errors.Wrap(errMalformedResponse, "too many interim answers")
}

// classifyParseError marks an error of the parser, but not one of the connection.
func classifyParseError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return errors.Wrap(err, "read head of answer")
	}
	return errors.Wrapf(errMalformedResponse, "read head of answer: %v", err)
}

// parseKeepAlive returns the timeout of a Keep-Alive header, or zero.
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
