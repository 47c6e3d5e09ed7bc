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

// maxBufferedBytes is how much of a response body the node reads before it
// forwards the first byte. If the response breaks off within these bytes, the
// caller sees nothing of it and an idempotent request can be retried.
const maxBufferedBytes = 64 << 10

// response is the response of a target or of the node beside it. At most the
// first maxBufferedBytes of its body are in memory, unless bufferAll was called.
type response struct {
	status int
	header http.Header
	// buffered is the part of the body that was read.
	buffered []byte
	// remaining is the unread rest of the body, nil if buffered is the whole body.
	remaining io.ReadCloser
	// length is the length of the whole body in bytes, or -1 if unknown. The response to
	// HEAD has no body and the length that one to GET would have.
	length int64
	// node is the name of the node beside the target.
	node string
}

// readResponse reads up to maxBufferedBytes of the body. It takes ownership of
// the headers and removes those that are not end-to-end. Of the system's headers
// only the target's instance remains, once. It returns an error if the body breaks
// off within the buffered part.
func readResponse(resp *http.Response) (*response, error) {
	instance := resp.Header.Get(request.HeaderInstance)
	strip(resp.Header)
	if instance != "" {
		resp.Header.Set(request.HeaderInstance, instance)
	}
	r := &response{status: resp.StatusCode, header: resp.Header, length: resp.ContentLength}
	buffered, err := readUpTo(resp.Body, maxBufferedBytes, resp.ContentLength)
	if err != nil {
		_ = resp.Body.Close()
		return nil, errors.Wrap(err, "read answer")
	}
	r.buffered = buffered
	if len(buffered) < maxBufferedBytes {
		_ = resp.Body.Close()
		if resp.Request == nil || resp.Request.Method != http.MethodHead {
			r.length = int64(len(buffered))
		}
		return r, nil
	}
	r.remaining = resp.Body
	return r, nil
}

// readUpTo reads at most max bytes. hint is the expected length, or -1 if it is
// unknown.
func readUpTo(r io.Reader, max int64, hint int64) ([]byte, error) {
	size := int64(bytes.MinRead)
	if hint > 0 {
		size = min(hint, max) + bytes.MinRead
	}
	buf := bytes.NewBuffer(make([]byte, 0, size))
	_, err := buf.ReadFrom(io.LimitReader(r, max))
	return buf.Bytes(), err
}

// bufferAll reads the rest of the body into buffered. It returns
// errResponseTooLarge if the body is longer than max bytes.
func (r *response) bufferAll(max int64) error {
	defer r.close()
	if int64(len(r.buffered)) > max {
		return errResponseTooLarge
	}
	if r.remaining == nil {
		return nil
	}
	tail, err := readUpTo(r.remaining, max-int64(len(r.buffered))+1, -1)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if int64(len(r.buffered)+len(tail)) > max {
		return errResponseTooLarge
	}
	r.buffered = append(r.buffered, tail...)
	r.length = int64(len(r.buffered))
	return nil
}

// errResponseTooLarge means that a response is too long for an owner to store.
var errResponseTooLarge = errors.New("answer is longer than limits.max_answer_bytes")

// close discards the rest of the body.
func (r *response) close() {
	if r.remaining != nil {
		_ = r.remaining.Close()
		r.remaining = nil
	}
}

// writeTo writes the response. It leaves out the request ID, which the caller of
// writeTo sets, because a stored response holds the ID of an earlier request. If
// the rest of the body breaks off, it aborts the connection, so that a truncated
// response is never taken for a complete one.
func (r *response) writeTo(w http.ResponseWriter) {
	defer r.close()
	header := w.Header()
	for name, values := range r.header {
		if name != request.HeaderRequestID {
			header[name] = values
		}
	}
	if r.length >= 0 && r.status != http.StatusNotModified && header.Get("Content-Length") == "" {
		header.Set("Content-Length", strconv.FormatInt(r.length, 10))
	}
	w.WriteHeader(r.status)
	if _, err := w.Write(r.buffered); err != nil {
		return
	}
	if r.remaining == nil {
		return
	}
	if _, err := io.Copy(w, r.remaining); err != nil {
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
