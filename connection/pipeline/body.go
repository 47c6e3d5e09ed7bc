package pipeline

import (
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/internal/neterr"
)

// readBody reads the whole body into memory. For a request with "Expect: 100-continue" it
// sends the 100 response first, once the responses to earlier requests are
// written.
func (c *serverConn) readBody(r *http.Request, limits Limits, memory *exchange.BodyMemory, precedingAnswered <-chan struct{}) ([]byte, *Response, error) {
	if r.ContentLength > limits.MaxBodyBytes {
		return nil, c.server.Reject(http.StatusRequestEntityTooLarge, "body is too long"), nil
	}
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	if !memory.Grow(r.ContentLength) {
		return nil, c.server.RejectBusy(r.Header), nil
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		<-precedingAnswered
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, errors.Wrap(err, "write interim response")
		}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout)) // the read below fails on a closed connection
	body, err := memory.Read(r.Body, r.ContentLength, limits.MaxBodyBytes)
	switch {
	case err == nil:
		return body, nil, nil
	case errors.Is(err, exchange.ErrBodyTooLong):
		return nil, c.server.Reject(http.StatusRequestEntityTooLarge, "body is too long"), nil
	case exchange.IsMemoryExhausted(err):
		return nil, c.server.RejectBusy(r.Header), nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, c.server.Reject(http.StatusRequestTimeout, "body did not come in time"), nil
	case neterr.IsConnection(err):
		return nil, nil, errors.Wrap(err, "read body")
	}
	return nil, c.server.Reject(http.StatusBadRequest, "malformed body: "+neterr.MalformedPart(err)), nil
}
