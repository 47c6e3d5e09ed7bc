package node

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// A target in trouble may send headers without an end. They must not fill the memory of
// the node until the deadline of the request.
func TestHeadersWithoutEndAreCutOff(t *testing.T) {
	const socketBytes = 16 << 20 // what the buffers of the two sockets may hold besides
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var written atomic.Int64
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			var n int
			n, err = io.WriteString(c, strings.Repeat("X-Noise: 0123456789\r\n", 200))
			written.Add(int64(n))
		}
	}()
	client := newTargetClient("org/s", listener.Addr().String(), 2, func(int) {})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, client.base, nil)
	if err != nil {
		t.Fatal(err)
	}
	if response, err := client.transport.RoundTrip(r); err == nil {
		_ = response.Body.Close()
		t.Error("a response without an end of its head was accepted")
	}
	if got := client.transport.MaxResponseHeaderBytes; got <= 0 || got > 1<<20 {
		t.Errorf("headers of up to %d bytes are kept, where 0 is 10 MiB", got)
	}
	if got := written.Load(); got > maxResponseHeaderBytes+socketBytes {
		t.Errorf("%d bytes were sent, want at most %d and what the sockets hold", got, maxResponseHeaderBytes)
	}
}
