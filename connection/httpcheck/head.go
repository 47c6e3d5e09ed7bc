package httpcheck

import (
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

// ErrInvalidHead is the cause of the errors of CheckHead.
var ErrInvalidHead = errors.New("malformed answer")

// CheckHead returns an error if the head of a response is none of HTTP, although net/http's parser
// takes it for one. Interim responses are valid, but for a switch of protocols: no request of
// this system asks for one.
func CheckHead(response *http.Response) error {
	switch {
	case response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus:
		return errors.Wrapf(ErrInvalidHead, "status %03d", response.StatusCode)
	case response.StatusCode == http.StatusSwitchingProtocols:
		return errors.Wrap(ErrInvalidHead, "protocol switched unasked")
	case HasInvalidName(response.Header):
		return errors.Wrap(ErrInvalidHead, "invalid header line")
	}
	return nil
}

// HasInvalidName reports whether the name of a header holds a byte that no name may hold, as the
// space that net/http's functions to read requests and responses let through. The header then has
// no effect, also one about the length of the body, and others may read it differently.
func HasInvalidName(header http.Header) bool {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return true
		}
	}
	return false
}

// RoundTrip sends a request and checks the head of its response. Connected reports whether there was
// a connection, so that the request may have been sent. After an invalid head the connection is
// closed: what follows on it may belong to the same request.
func RoundTrip(transport http.RoundTripper, r *http.Request) (response *http.Response, connected bool, err error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }}
	response, err = transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, conn != nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = conn.Close()          // it is not used any more
		_ = response.Body.Close() // as above
		return nil, true, err
	}
	return response, true, nil
}
