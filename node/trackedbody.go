package node

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"verbenatrestle/process/admission"
)

// trackedBody records whether a body was read to its end and whether reading it
// failed.
type trackedBody struct {
	io.ReadCloser
	complete atomic.Bool
	broken   atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch err {
	case nil:
	case io.EOF:
		b.complete.Store(true)
	default:
		b.broken.Store(true)
	}
	return n, err
}

// kind returns the result of the request: complete if the body was read to its
// end, Broken if reading failed, and Cancelled otherwise.
func (b *trackedBody) kind(complete admission.ResultKind) admission.ResultKind {
	switch {
	case b.broken.Load():
		return admission.Broken
	case b.complete.Load():
		return complete
	}
	return admission.Cancelled
}

// parseRetryAfter returns the value of the header Retry-After if it is in seconds,
// and zero otherwise.
func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
