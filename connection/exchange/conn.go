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
	// readBuffer is the buffer of a connection, in bytes. Most heads of answers
	// fit, and idle connections stay cheap.
	readBuffer = 2 << 10
	// inlineBody is the longest body, in bytes, that is written before the
	// answer is read. Longer ones might fill the windows while the peer answers.
	inlineBody = 8 << 10
	// maxSkipped bounds the foreign answers that one request reads past.
	maxSkipped = 8
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 16
	// bodyLinger is how long an early answer's connection may take to accept the
	// rest of the request before it is dropped.
	bodyLinger = 2 * time.Second
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
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}
}

// quiet reports whether the connection is open and holds no bytes that nobody
// asked for.
func (c *conn) quiet() bool {
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
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// exchange sends the request and reads its answer. The second result tells
// whether the connection may be used again.
func (c *conn) exchange(ctx context.Context, request *Request, idHeader string, maxBody int64) (*Response, bool, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	written, err := c.send(request)
	if err != nil {
		return nil, false, errors.Wrap(err, "write request")
	}
	answer, reusable, err := c.receive(request, idHeader, maxBody)
	if err != nil {
		return nil, false, err
	}
	if !stop() {
		reusable = false
	}
	return answer, reusable && c.finish(written), nil
}

// send writes the request. A long body goes on being written while the answer
// is read; the channel then gives its end.
func (c *conn) send(request *Request) (<-chan error, error) {
	head := request.head()
	if len(request.Body) <= inlineBody {
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

// finish waits until the whole request is written, so that the next one does
// not start within its body.
func (c *conn) finish(written <-chan error) bool {
	if written == nil {
		return true
	}
	select {
	case err := <-written:
		return err == nil
	case <-time.After(bodyLinger):
		return false
	}
}

// receive reads answers until the one to the request.
func (c *conn) receive(request *Request, idHeader string, maxBody int64) (*Response, bool, error) {
	for range maxSkipped {
		answer, reusable, err := c.readAnswer(request.Method, maxBody)
		if err != nil {
			return nil, false, err
		}
		if belongs(answer, request.ID, idHeader) {
			return answer, reusable, nil
		}
		if !reusable {
			return nil, false, &foreignError{id: answer.Header.Get(idHeader)}
		}
	}
	return nil, false, errors.Wrap(errMalformed, "too many answers to other requests")
}

// belongs reports whether an answer is the one to the request of that id. A
// refusal may come without an id, since a target may make it unread.
func belongs(answer *Response, id, idHeader string) bool {
	got := answer.Header.Get(idHeader)
	return id == "" || got == id || got == "" && answer.Status >= http.StatusBadRequest
}

// errMalformed is the cause of errors of answers that break the protocol.
var errMalformed = errors.New("malformed answer")

// foreignError tells that the connection ended with another request's answer.
type foreignError struct{ id string }

// Error implements error.
func (e *foreignError) Error() string {
	return "the connection ended with the answer to request " + strconv.Quote(e.id)
}

// readAnswer reads one final answer, whole.
func (c *conn) readAnswer(method string, maxBody int64) (*Response, bool, error) {
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
		return nil, false, errors.Wrapf(errMalformed, "body is longer than %d bytes", maxBody)
	}
	c.keepAlive = parseKeepAlive(response.Header.Get("Keep-Alive"))
	c.used = true
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body}, !response.Close, nil
}

// readHead reads the head of the final answer, past interim ones.
func (c *conn) readHead(method string) (*http.Response, error) {
	for range maxInterim {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, asMalformed(err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.Wrap(errMalformed, "protocol switched unasked")
		}
	}
	return nil, errors.Wrap(errMalformed, "too many interim answers")
}

// asMalformed marks an error of the parser, but not one of the connection.
func asMalformed(err error) error {
	var op *net.OpError
	if errors.As(err, &op) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return errors.Wrap(err, "read head of answer")
	}
	return errors.Wrapf(errMalformed, "read head of answer: %v", err)
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
