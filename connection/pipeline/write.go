package pipeline

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"
)

// writeResponses writes the answers in the order of their requests until the
// last slot.
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
		c.markAnswered()
		if err != nil {
			c.cancel()
			_ = c.conn.Close() // wakes the reader; the write error is what counts
		}
	}
}

// markAnswered counts an answer, and starts the idle timeout behind the last one.
func (c *serverConn) markAnswered() {
	if c.pending.Add(-1) == 0 {
		_ = c.conn.SetReadDeadline(time.Now().Add(c.server.Limits().IdleTimeout)) // a closed connection is as good
	}
}

// writeResponse writes one answer. The connection is closed behind it if the caller
// asked for that, or if the server drains and no further request was read.
func (c *serverConn) writeResponse(pending *pendingResponse, response *Response) error {
	closeAfter := pending.closeAfter || (c.server.draining.Load() && c.pending.Load() == 1)
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
	if closeAfter && !pending.closeAfter {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0)) // ends the reading of a drained connection
	}
	return err
}

// excludedHeaders are headers of a single connection, which the server
// writes itself.
var excludedHeaders = map[string]bool{
	"Connection": true, "Content-Length": true, "Transfer-Encoding": true, "Keep-Alive": true,
	"Trailer": true, "Upgrade": true, "Te": true, "Proxy-Connection": true,
}

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
