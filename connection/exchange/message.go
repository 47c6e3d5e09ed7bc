package exchange

import (
	"bytes"
	"net/http"
	"strconv"
)

// Request is one request with its whole body.
type Request struct {
	// Method is the HTTP method.
	Method string
	// RequestURI is the request target as it stands in the request line.
	RequestURI string
	// Host is the value of the Host header.
	Host string
	// Header holds the other headers, without those of a single connection.
	Header http.Header
	// Body is the whole body. Nil means none.
	Body []byte
	// ID is the value that the answer has to repeat in the pool's ID header.
	// Empty means that any answer will do.
	ID string
}

// Response is a whole answer.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header holds the headers.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// skippedHeaders are written from the request's own fields, or concern a
// single connection.
var skippedHeaders = map[string]bool{
	"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true,
	"Trailer": true, "Expect": true,
}

// head returns the request line and the headers.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.RequestURI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.WriteSubset(&b, skippedHeaders) // a bytes.Buffer never fails
	if len(r.Body) > 0 || hasBody(r.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// hasBody reports whether a request of that method states its length even
// when it is zero.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
