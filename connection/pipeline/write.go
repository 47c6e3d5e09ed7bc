package pipeline

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"
)

// writeResponses writes the responses in the order of their requests until the
// queue is closed. After a failed write it closes the connection, and only calls
// OnWritten with the error for the remaining responses.
func (c *serverConn) writeResponses() {
	var err error
	for pending := range c.responses {
		response := <-pending.response
		if err == nil {
			err = c.writeResponse(pending, response)
		}
		if response.OnWritten != nil {
			response.OnWritten(err)
		}
		close(pending.written)
		c.lifecycle.end(c.server.Limits().IdleTimeout)
		if err != nil {
			c.cancel()
			_ = c.conn.Close() // unblocks the reader; the write error was reported above
		}
	}
}

// writeResponse writes one response. The connection is closed after it if it is
// marked so, or if the server drains and no other request is pending.
func (c *serverConn) writeResponse(pending *pendingResponse, response *Response) error {
	closeAfter := pending.closeAfter || c.server.draining.Load() && c.lifecycle.closeAfterLast(1)
	var head bytes.Buffer
	writeHead(&head, pending.method, response, closeAfter)
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	buffers := net.Buffers{head.Bytes()}
	if pending.method != http.MethodHead && len(response.Body) > 0 {
		buffers = append(buffers, response.Body)
	}
	_, err := buffers.WriteTo(c.conn)
	return err
}

// excludedHeaders are headers that concern a single connection or the framing of
// a message. The handler's values are dropped, and writeHead writes those that
// are needed.
var excludedHeaders = map[string]bool{
	"Connection": true, "Content-Length": true, "Transfer-Encoding": true, "Keep-Alive": true,
	"Trailer": true, "Upgrade": true, "Te": true, "Proxy-Connection": true,
}

// writeHead writes the status line and the headers of a response.
func writeHead(b *bytes.Buffer, method string, r *Response, closeAfter bool) {
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(r.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(r.Status))
	b.WriteString("\r\n")
	_ = r.Header.WriteSubset(b, excludedHeaders) // a bytes.Buffer never fails
	switch {
	case method == http.MethodHead:
		if length := r.Header.Get("Content-Length"); length != "" {
			b.WriteString("Content-Length: " + length + "\r\n")
		}
	case r.Status != http.StatusNoContent && r.Status != http.StatusNotModified:
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if closeAfter {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
}
