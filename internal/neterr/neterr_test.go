package neterr

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/pkg/errors"
)

// A message that can't be parsed must not be taken for a connection that failed, nor a
// refused connection for one that broke.
func TestErrorsAreClassified(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	_, refused := net.Dial("tcp4", address)
	for name, c := range map[string]struct {
		err                     error
		isRefused, isConnection bool
	}{
		"refused":   {errors.Wrap(refused, "open"), true, true},
		"ended":     {errors.Wrap(io.ErrUnexpectedEOF, "read"), false, true},
		"malformed": {errors.Wrap(http.ErrNotSupported, "parse"), false, false},
	} {
		if got := IsRefused(c.err); got != c.isRefused {
			t.Errorf("%s: refused is %t", name, got)
		}
		if got := IsConnection(c.err); got != c.isConnection {
			t.Errorf("%s: connection is %t", name, got)
		}
	}
}
