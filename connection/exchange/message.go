package exchange

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// Request is an HTTP request with its whole body.
type Request struct {
	// Method is the HTTP method.
	Method string
	// RequestURI is written unchanged into the request line.
	RequestURI string
	// Host is the value of the Host header.
	Host string
	// Header holds the other headers. Host and headers about the framing of the
	// message or the connection, such as Content-Length, are ignored.
	Header http.Header
	// Body is the whole body, or nil if there is none.
	Body []byte
	// ID is the value that the response must repeat in the header
	// Options.IDHeader. If it is empty, any response is accepted.
	ID string
	// ReadTimeout bounds each wait for bytes of the response. Zero means that only
	// the context bounds it.
	ReadTimeout time.Duration
	// LeaveUnreachable ends the exchange with KindUnreachable as soon as the check of
	// Options.Silence finds the server out of reach. Without it, the exchange goes on, as
	// the server may be back in time.
	LeaveUnreachable bool
}

// Response is an HTTP response with its whole body.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the headers as parsed by net/http.
	Header http.Header
	// Body is the whole body, without transfer encoding.
	Body []byte
}

// excludedHeaders are headers that head writes from other fields of the
// request, or that concern only a single connection.
var excludedHeaders = map[string]bool{
	"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true,
	"Trailer": true, "Expect": true,
}

// head returns the request line and the headers as they are sent.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.RequestURI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.WriteSubset(&b, excludedHeaders) // a bytes.Buffer never fails
	if len(r.Body) > 0 || sendsZeroLength(r.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// sendsZeroLength reports whether a request with this method has a
// Content-Length header even if its body is empty.
func sendsZeroLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
