package node

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"verbenatrestle/request"
)

// maxBufferedBytes is how much of an answer the node reads before it
// passes on the first byte. An answer that breaks off within that is never
// seen by the caller, and an idempotent request may be tried again.
const maxBufferedBytes = 64 << 10

// response is what a target, or the node beside it, answered.
type response struct {
	status int
	header http.Header
	// buffered is what was read of the body.
	buffered []byte
	// remaining is the remainder of the body, nil when head is the whole body.
	remaining io.ReadCloser
	// length is the length of the whole body in bytes, -1 when not known.
	length int64
	// node is the name of the node beside the target.
	node string
}

// readResponse reads the head of the response, whose headers it takes over. It
// fails when the body breaks off within the head.
func readResponse(resp *http.Response) (*response, error) {
	strip(resp.Header)
	a := &response{status: resp.StatusCode, header: resp.Header, length: resp.ContentLength}
	head, err := readUpTo(resp.Body, maxBufferedBytes, resp.ContentLength)
	if err != nil {
		_ = resp.Body.Close()
		return nil, errors.Wrap(err, "read answer")
	}
	a.buffered = head
	if len(head) < maxBufferedBytes {
		_ = resp.Body.Close()
		a.length = int64(len(head))
		return a, nil
	}
	a.remaining = resp.Body
	return a, nil
}

// readUpTo reads at most max bytes. hint is the expected length or -1.
func readUpTo(r io.Reader, max int64, hint int64) ([]byte, error) {
	size := int64(bytes.MinRead)
	if hint > 0 {
		size = min(hint, max) + bytes.MinRead
	}
	buf := bytes.NewBuffer(make([]byte, 0, size))
	_, err := buf.ReadFrom(io.LimitReader(r, max))
	return buf.Bytes(), err
}

// bufferAll reads the whole body into head, and fails when it is longer than max.
func (a *response) bufferAll(max int64) error {
	defer a.close()
	if int64(len(a.buffered)) > max {
		return errResponseTooLarge
	}
	if a.remaining == nil {
		return nil
	}
	tail, err := readUpTo(a.remaining, max-int64(len(a.buffered))+1, -1)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if int64(len(a.buffered)+len(tail)) > max {
		return errResponseTooLarge
	}
	a.buffered = append(a.buffered, tail...)
	a.length = int64(len(a.buffered))
	return nil
}

// errResponseTooLarge says that an answer is longer than an owner keeps.
var errResponseTooLarge = errors.New("answer is longer than limits.max_answer_bytes")

// close gives up the rest of the body.
func (a *response) close() {
	if a.remaining != nil {
		_ = a.remaining.Close()
		a.remaining = nil
	}
}

// writeTo passes the answer on whole, under the request ID that the caller of
// this hop gave, which a kept answer was not recorded with. When the rest of the body breaks off it
// aborts the connection, so that a cut answer is never taken for a whole one.
func (a *response) writeTo(w http.ResponseWriter) {
	defer a.close()
	header := w.Header()
	for name, values := range a.header {
		if name != request.HeaderRequestID {
			header[name] = values
		}
	}
	if a.length >= 0 && a.status != http.StatusNotModified && header.Get("Content-Length") == "" {
		header.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	w.WriteHeader(a.status)
	if _, err := w.Write(a.buffered); err != nil {
		return
	}
	if a.remaining == nil {
		return
	}
	if _, err := io.Copy(w, a.remaining); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// splitList splits a comma-separated header value.
func splitList(value string) []string {
	parts := strings.Split(value, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
