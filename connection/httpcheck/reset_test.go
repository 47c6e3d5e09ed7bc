package httpcheck

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// serve answers each connection with a text once it has read the head of a request, and ends it.
func serve(t *testing.T, text string, end func(*net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = c.Read(make([]byte, 1024))
				_, _ = io.WriteString(c, text)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// A response without a length that was cut off by a reset passed for a whole one, since the write of
// the request's body was told of the reset. One that ends as it should is whole, also if the server
// never reads the body.
func TestResponseThatIsCutOffByAResetIsNotWhole(t *testing.T) {
	const attempts = 60
	for name, test := range map[string]struct {
		end  func(*net.TCPConn)
		want error
	}{
		"reset": {func(c *net.TCPConn) { time.Sleep(time.Millisecond); _ = c.SetLinger(0); _ = c.Close() }, io.ErrUnexpectedEOF},
		"ended": {func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(time.Second); _ = c.Close() }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, "HTTP/1.1 200 OK\r\n\r\npart of the body", test.end)
			transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, to string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, to)
				if err != nil {
					return nil, err
				}
				return DetectResets(conn), nil
			}}
			wrong := 0
			for range attempts {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, bytes.NewReader(make([]byte, 8<<20)))
				if err != nil {
					t.Fatal(err)
				}
				response, err := transport.RoundTrip(r)
				if err == nil {
					_, err = io.ReadAll(response.Body)
					_ = response.Body.Close()
				}
				if (err == nil) != (test.want == nil) {
					wrong++
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d responses taken for the contrary", wrong, attempts)
			}
		})
	}
}
