package pipeline

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"
)

// writeAnswers writes the answers in the order of their requests until the
// last slot.
func (c *serverConn) writeAnswers() {
	var err error
	for s := range c.slots {
		response := <-s.answer
		if err == nil {
			err = c.write(s, response)
		}
		if response.OnWritten != nil {
			response.OnWritten(err)
		}
		close(s.turn)
		c.answered()
		if err != nil {
			c.cancel()
			_ = c.conn.Close() // wakes the reader; the write error is what counts
		}
	}
}

// answered counts an answer, and starts the idle timeout behind the last one.
func (c *serverConn) answered() {
	if c.pending.Add(-1) == 0 {
		_ = c.conn.SetReadDeadline(time.Now().Add(c.server.Limits().IdleTimeout)) // a closed connection is as good
	}
}

// write writes one answer. The connection is closed behind it if the caller
// asked for that, or if the server drains and no further request was read.
func (c *serverConn) write(s *slot, response *Response) error {
	closing := s.last || (c.server.draining.Load() && c.pending.Load() == 1)
	var head bytes.Buffer
	writeHead(&head, s.method, response, closing)
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	buffers := net.Buffers{head.Bytes()}
	if s.method != http.MethodHead && len(response.Body) > 0 {
		buffers = append(buffers, response.Body)
	}
	_, err := buffers.WriteTo(c.conn)
	if closing && !s.last {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0)) // ends the reading of a drained connection
	}
	return err
}

// connectionHeaders are headers of a single connection, which the server
// writes itself.
var connectionHeaders = map[string]bool{
	"Connection": true, "Content-Length": true, "Transfer-Encoding": true, "Keep-Alive": true,
	"Trailer": true, "Upgrade": true, "Te": true, "Proxy-Connection": true,
}

func writeHead(b *bytes.Buffer, method string, r *Response, closing bool) {
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(r.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(r.Status))
	b.WriteString("\r\n")
	_ = r.Header.WriteSubset(b, connectionHeaders) // a bytes.Buffer never fails
	switch {
	case method == http.MethodHead:
		if length := r.Header.Get("Content-Length"); length != "" {
			b.WriteString("Content-Length: " + length + "\r\n")
		}
	case r.Status != http.StatusNoContent && r.Status != http.StatusNotModified:
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if closing {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
}
