package pipeline

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"verbenatrestle/connection/httpcheck"
)

// headRecorder keeps a copy of the bytes that are read while a head is parsed, since
// http.ReadRequest removes the headers about the framing of the body that it does not use.
type headRecorder struct {
	io.Reader
	recording bool
	recorded  []byte
}

// Read implements io.Reader.
func (h *headRecorder) Read(p []byte) (int, error) {
	n, err := h.Reader.Read(p)
	if h.recording {
		h.recorded = append(h.recorded, p[:n]...)
	}
	return n, err
}

// begin starts a record with what the reader, which reads from h, has buffered.
func (h *headRecorder) begin(reader *bufio.Reader) {
	buffered, _ := reader.Peek(reader.Buffered()) // no more than is buffered, so there is no error
	h.recording, h.recorded = true, append([]byte(nil), buffered...)
}

// end ends the record and returns the bytes that the reader has passed on since its begin.
func (h *headRecorder) end(reader *bufio.Reader) []byte {
	head := h.recorded[:len(h.recorded)-reader.Buffered()]
	h.recording, h.recorded = false, nil
	return head
}

// framingStatus returns the status with which to reject a request of which it is in doubt where
// its body ends, or 0. The head is as it was sent, and parsed is what http.ReadRequest made of
// it: of a length and chunks it takes the chunks, and before HTTP/1.1 it ignores chunks.
func framingStatus(head []byte, parsed *http.Request) int {
	if parsed.ProtoMajor != 1 {
		return http.StatusHTTPVersionNotSupported
	}
	switch {
	case !parsed.ProtoAtLeast(1, 1) && hasHeaderLine(head, "Transfer-Encoding"),
		len(parsed.TransferEncoding) > 0 && hasHeaderLine(head, "Content-Length"):
		return http.StatusBadRequest
	}
	return 0
}

// hasHeaderLine reports whether a head has a header with a name.
func hasHeaderLine(head []byte, name string) bool {
	for line := range bytes.Lines(head) {
		if field, _, ok := bytes.Cut(line, []byte(":")); ok && strings.EqualFold(string(field), name) {
			return true
		}
	}
	return false
}

// checkHead returns the response to a request whose head must be rejected, or nil.
func (c *serverConn) checkHead(head []byte, parsed *http.Request, limits Limits) *Response {
	if headerSize(parsed) > limits.MaxHeaderBytes {
		return c.server.Reject(http.StatusRequestHeaderFieldsTooLarge, "headers are too long")
	}
	if httpcheck.HasInvalidName(parsed.Header) {
		return c.server.Reject(http.StatusBadRequest, "malformed request: invalid header line")
	}
	if status := framingStatus(head, parsed); status != 0 {
		return c.server.Reject(status, "malformed request: version, or length in conflict with transfer encoding")
	}
	return nil
}
