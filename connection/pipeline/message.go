package pipeline

import (
	"net/http"
	"time"
)

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	// MaxHeaderBytes bounds the request line and the headers.
	MaxHeaderBytes int64
	// MaxBodyBytes bounds a body.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time from the first byte of a request to the end
	// of its headers, and the time for its body.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection is kept without a request.
	IdleTimeout time.Duration
}

// Request is one request, read whole.
type Request struct {
	// Method is the HTTP method.
	Method string
	// RequestURI is the request target as it stands in the request line.
	RequestURI string
	// Path is the path of the target as sent, without the query.
	Path string
	// Host is the value of the Host header.
	Host string
	// Header holds the other headers.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// ArrivedAt is when the first byte was read.
	ArrivedAt time.Time
	// RemoteAddr is the address of the other side.
	RemoteAddr string
	// PrecedingAnswered is closed when all requests before it on the connection are answered.
	PrecedingAnswered <-chan struct{}
}

// Response is one answer with its whole body.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header holds the headers. Content-Length is set by the server, unless it
	// answers a HEAD request.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Written, if set, is told the end of the writing: nil or its error.
	OnWritten func(error)
}
