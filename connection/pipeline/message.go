package pipeline

import (
	"net/http"
	"time"

	"verbenatrestle/connection/exchange"
)

// Limits bound the size of a request and the time to receive it.
type Limits struct {
	// MaxHeaderBytes bounds the request line and the headers.
	MaxHeaderBytes int64
	// MaxBodyBytes bounds the body, without transfer encoding.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time from the first byte of a request to the end
	// of its headers.
	HeaderTimeout time.Duration
	// IdleTimeout bounds how long a connection without a pending request stays
	// open, and the time to receive a body.
	IdleTimeout time.Duration
}

// Request is an HTTP request with its whole body.
type Request struct {
	// Method is the HTTP method.
	Method string
	// RequestURI is the request target, unchanged from the request line but for a whole URL, of
	// which it is the path and query.
	RequestURI string
	// Path is RequestURI without the query. It is not decoded.
	Path string
	// Host is the value of the Host header.
	Host string
	// Header holds the other headers.
	Header http.Header
	// Body is the whole body, or nil if there is none. Its memory counts for
	// Server.Memory until the handler returns, so no handler may keep it longer.
	Body []byte
	// ArrivedAt is the time when the first byte of the request was read.
	ArrivedAt time.Time
	// RemoteAddr is the address of the caller, IP:port.
	RemoteAddr string
	// PrecedingAnswered is closed when the responses to all earlier requests on
	// the connection are written, or can't be written any more.
	PrecedingAnswered <-chan struct{}
	// memory is that of Body.
	memory exchange.BodyMemory
}

// Response is an HTTP response with its whole body.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the headers. The server sets Content-Length itself, except in
	// the response to a HEAD request. Headers that concern only a single
	// connection are ignored.
	Header http.Header
	// Body is the whole body. It is not sent in the response to a HEAD request.
	Body []byte
	// OnWritten, if set, is called once after the response was written or its
	// write failed. The argument is the error of the write, or nil.
	OnWritten func(error)
}
