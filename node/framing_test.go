package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// Guards against a request that is hidden in the body of another one: of a length and chunks net/http
// takes the chunks, in HTTP/1.0 it ignores them, and what came next was handled as a request.
func TestRequestHiddenBehindChunksIsNotHandled(t *testing.T) {
	const hidden = "0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	for name, head := range map[string]string{
		"length and chunks": fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n", len(hidden)),
		"chunks and length": fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n", len(hidden)),
		"chunks in 1.0":     "POST /x HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		var mu sync.Mutex
		var handled []string
		handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			handled = append(handled, r.RequestURI)
		})
		servers := newServers(Settings{HopProtocol: HopHTTP1}, log.NewNopLogger(), handlers{callers: handler, hop: handler, admin: handler, announce: handler})
		for _, server := range servers.all() {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = server.Serve(listener) }() // returns ErrServerClosed
			t.Cleanup(func() { _ = server.Close() })
			exchangeUntilClosed(t, listener.Addr().String(), head+hidden)
		}
		mu.Lock()
		if got := strings.Join(handled, " "); got != "/x /x /x /x" {
			t.Errorf("%s: handled %s, want /x once by each server", name, got)
		}
		mu.Unlock()
	}
}

// exchangeUntilClosed sends a text and reads until the server closes the connection.
func exchangeUntilClosed(t *testing.T, address, text string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(conn); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("the connection stays open: %v", err)
	}
}
