package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// startEndlessServer starts a server that answers each request with a beginning, and then
// with the same text again and again until the connection is closed. Written counts the
// bytes of all connections.
func startEndlessServer(t *testing.T, beginning, repeated string, written *atomic.Int64) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	block := strings.Repeat(repeated, 1+4096/len(repeated))
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, beginning)
				for err == nil {
					var n int
					n, err = io.WriteString(c, block)
					written.Add(int64(n))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// A target in trouble may send bytes without an end, in place of a head or in a body. They
// must not fill the memory of the node until the deadline of the request.
func TestBytesWithoutEndAreCutOff(t *testing.T) {
	const socketBytes = 16 << 20 // what the buffers of the two sockets may hold besides
	for name, c := range map[string]struct {
		beginning, repeated string
		most                int64
	}{
		"no line end":       {"", "x", maxHeadBytes},
		"headers":           {"HTTP/1.1 200 OK\r\n", "X-Noise: 0123456789\r\n", maxHeadBytes},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", maxHeadBytes},
		"chunks":            {"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\n01234567\r\n", 4 * testBodyBytes},
		"chunk extension":   {"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n8;", "x", 4 * testBodyBytes},
		"no length":         {"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n", "01234567", 4 * testBodyBytes},
		"absurd length":     {"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 99999999999\r\n\r\n", "01234567", 0},
		"trailers":          {"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\n", "X: 0123456789\r\n", 4 * testBodyBytes},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			p := NewPool(startEndlessServer(t, c.beginning, c.repeated, &written), Options{IDHeader: idHeader, DialTimeout: time.Second, IdleTimeout: time.Minute, MaxBodyBytes: testBodyBytes})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, err := p.Do(ctx, &Request{Method: http.MethodGet, RequestURI: "/", Host: "h", Header: http.Header{}, ID: "a"}, 0)
			if failure := AsError(err); failure == nil || failure.Kind != KindMalformed {
				t.Errorf("error %v, want %s", err, KindMalformed)
			}
			if got := written.Load(); got > c.most+socketBytes {
				t.Errorf("%d bytes were sent, want at most %d and what the sockets hold", got, c.most)
			}
			if open := p.OpenConnections(); open != 0 {
				t.Errorf("%d connections stay open", open)
			}
		})
	}
}

// testBodyBytes is the limit for bodies in the tests.
const testBodyBytes = 1 << 20

// endlessReader never ends.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// Many bodies without an end at once must not take more than the memory that all share,
// and a usual one must still fit beside them.
func TestBodiesShareMemory(t *testing.T) {
	const readers = 24
	budget := NewMemoryBudget(8 << 20)
	var group sync.WaitGroup
	for range readers {
		group.Go(func() {
			body, err := budget.readAll(endlessReader{}, 4<<20)
			if err == nil || int64(len(body)) > 4<<20 {
				t.Errorf("read %d bytes, error %v", len(body), err)
			}
		})
	}
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		if used := budget.used.Load(); used > 8<<20 {
			t.Errorf("%d bytes are in use, want at most %d", used, 8<<20)
			break
		}
		if body, err := budget.readAll(strings.NewReader(strings.Repeat("x", freeBodyBytes/2)), 4<<20); err != nil || len(body) != freeBodyBytes/2 {
			t.Errorf("a usual body: %d bytes, error %v", len(body), err)
			break
		}
	}
	<-done
	if used := budget.used.Load(); used != 0 {
		t.Errorf("%d bytes stay in use", used)
	}
	if _, err := budget.readAll(endlessReader{}, 64<<20); !errors.Is(err, errMemoryExhausted) {
		t.Errorf("error %v, want %v", err, errMemoryExhausted)
	}
}
