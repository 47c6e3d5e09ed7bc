package node

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"verbenatrestle/process/admission"
)

// trackedBody remembers whether the body was read to its end.
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

// kind returns how the request ended, given how it would end if it is whole.
func (b *trackedBody) kind(whole admission.ResultKind) admission.ResultKind {
	switch {
	case b.broken.Load():
		return admission.Broken
	case b.complete.Load():
		return whole
	}
	return admission.Cancelled
}

// parseRetryAfter reads Retry-After in seconds. Zero means that there is none.
func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
