package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// blockedBodyBytes is more than the buffers of two sockets hold, so that a write of it does not end before the
// server reads.
const blockedBodyBytes = 24 << 20

// earlyServer responds to each request before it reads the body.
type earlyServer struct {
	address string
	// read lets the server read the body of the request that it has responded to. bodies receives the
	// bodies, and closed one value for each connection that the client has closed.
	read   chan struct{}
	bodies chan string
	closed chan struct{}
}

// startEarlyServer starts a server that is stopped at the end of the test.
func startEarlyServer(t *testing.T) *earlyServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &earlyServer{address: listener.Addr().String(), read: make(chan struct{}), bodies: make(chan string, 8), closed: make(chan struct{}, 8)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

// serve serves one connection.
func (s *earlyServer) serve(c net.Conn) {
	defer c.Close()
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			s.closed <- struct{}{}
			return
		}
		if _, err := io.WriteString(c, responseTo(r.Header.Get(idHeader), "early")); err != nil {
			return
		}
		if r.ContentLength > 0 {
			<-s.read
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			s.closed <- struct{}{}
			return
		}
		s.bodies <- string(body)
	}
}

// nextBody returns the next body that the server has read.
func (s *earlyServer) nextBody(t *testing.T) string {
	t.Helper()
	select {
	case body := <-s.bodies:
		return body
	case <-time.After(5 * time.Second):
		t.Fatal("the server has read no whole body")
		return ""
	}
}

// postEarly sends a request with a body, and fails the test unless the response comes at once.
func postEarly(t *testing.T, p *Pool, id, body string) {
	t.Helper()
	request := &Request{Method: http.MethodPost, RequestURI: "/", Host: "h", ID: id, Body: []byte(body), Header: http.Header{idHeader: {id}}}
	start := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 2*bodyWriteGrace)
	defer cancel()
	response, err := p.Do(ctx, request, 0)
	if err != nil || response.Header.Get(idHeader) != id {
		t.Fatalf("%v, %v", response, err)
	}
	if took := time.Since(start); took > bodyWriteGrace/2 {
		t.Errorf("the response to %s took %v", id, took)
	}
}

// An early response to a request with a long body was withheld until the server had read the body, for up to
// bodyWriteGrace. It must be returned at once; a request that comes meanwhile must not use the connection, and
// one that comes later must find the whole body before it.
func TestEarlyResponseDoesNotWaitForTheBody(t *testing.T) {
	s := startEarlyServer(t)
	p := newTestPool(s.address)
	defer p.Close()
	long := strings.Repeat("a", blockedBodyBytes)
	postEarly(t, p, "a", long)
	postEarly(t, p, "b", "")
	if got := s.nextBody(t); got != "" {
		t.Fatalf("the second request has a body of %d bytes", len(got))
	}
	close(s.read)
	if got := s.nextBody(t); got != long {
		t.Fatalf("the first request has a body of %d bytes, want %d", len(got), len(long))
	}
	for _, id := range []string{"c", "d", "e"} {
		postEarly(t, p, id, "")
		if got := s.nextBody(t); got != "" {
			t.Fatalf("a later request has a body of %d bytes", len(got))
		}
	}
	if got := p.OpenConnections(); got != 2 {
		t.Errorf("%d open connections, want the two of the first requests", got)
	}
}

// A server that never reads the rest of a body must not keep the connection open, nor the body in memory.
func TestBodyThatIsNeverReadEndsItsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		memory *MemoryBudget
		within time.Duration
	}{
		"too slow":  {nil, 2 * bodyWriteGrace},
		"no memory": {NewMemoryBudget(blockedBodyBytes - 1), bodyWriteGrace / 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := startEarlyServer(t)
			p := NewPool(s.address, Options{IDHeader: idHeader, DialTimeout: time.Second, IdleTimeout: time.Minute, Memory: c.memory})
			postEarly(t, p, "a", strings.Repeat("a", blockedBodyBytes))
			for start := time.Now(); p.OpenConnections() > 0; time.Sleep(time.Millisecond) {
				if time.Since(start) > c.within {
					t.Fatalf("the connection is open after %v", c.within)
				}
			}
			if c.memory != nil && c.memory.Used() != 0 {
				t.Errorf("%d bytes are reserved", c.memory.Used())
			}
			close(s.read)
			<-s.closed
		})
	}
}

// A response without a length passed for a whole one after the server had sent a part of it and reset the
// connection, if the body of the request was still being written: the write was told of the reset, and the
// read found an end.
func TestResponseThatIsCutOffByAResetIsBroken(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": "+r.Header.Get(idHeader)+"\r\n\r\npart of the body")
				time.Sleep(time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	p := newTestPool(listener.Addr().String())
	defer p.Close()
	const attempts = 60
	whole := 0
	body := make([]byte, 8<<20)
	for range attempts {
		response, err := p.Do(t.Context(), &Request{Method: http.MethodPost, RequestURI: "/", Host: "h", ID: "a", Body: body, Header: http.Header{idHeader: {"a"}}}, 0)
		if err == nil {
			whole++
			t.Logf("%d %q", response.Status, response.Body)
		} else if failure := AsError(err); failure == nil || failure.Kind != KindBroken || !failure.MaybeSent {
			t.Fatal(err)
		}
	}
	if whole > 0 {
		t.Errorf("%d of %d responses that were cut off passed for whole ones", whole, attempts)
	}
}
