package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// respond starts a server that reads requests and answers number i with answers[i], each part
// after a pause, and returns its address. It closes the connection after the last answer.
func respond(t *testing.T, answers ...[]string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return // the test has ended
		}
		defer c.Close()
		reader := bufio.NewReader(c)
		for _, parts := range answers {
			if _, err := http.ReadRequest(reader); err != nil {
				return // the client has closed the connection
			}
			for _, part := range parts {
				_, _ = io.WriteString(c, part) // as above
				time.Sleep(20 * time.Millisecond)
			}
		}
	}()
	return listener.Addr().String()
}

// A response with a space after the name of a header about its length was taken for one without that
// header: a part of it, or the raw chunks, passed for the whole body.
func TestResponseWithInvalidHeaderNameIsMalformed(t *testing.T) {
	for _, rest := range []string{
		"Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"Content-Length : 20\r\n\r\nok",
		"A B: c\r\nContent-Length: 2\r\n\r\nok",
	} {
		address := respond(t, []string{"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n" + rest})
		response, err := get(t, newTestPool(address), "a")
		if failure := AsError(err); failure == nil || failure.Kind != KindMalformed {
			t.Errorf("%q: %+v, %v", rest, response, err)
		}
	}
}

// A late extra response without an ID was taken for the response to the next request, which the
// target had still to run: only on a new connection it can't belong to another request.
func TestLateResponseWithoutIDIsNotThatOfTheNextRequest(t *testing.T) {
	address := respond(t,
		[]string{"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 2\r\n\r\nok"},
		[]string{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\n" + idHeader + ": b\r\nContent-Length: 2\r\n\r\nok"})
	pool := newTestPool(address)
	if response, err := get(t, pool, "a"); err != nil || response.Status != http.StatusOK {
		t.Fatalf("%+v, %v", response, err)
	}
	response, err := get(t, pool, "b")
	if failure := AsError(err); failure == nil || failure.Kind != KindMalformed || !failure.MaybeSent {
		t.Errorf("%+v, %v; want a malformed response, after which the request may have run", response, err)
	}
}
