package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
)

// serve starts a server and returns it with its address.
func serve(t *testing.T, limits Limits, handler Handler) (*Server, string) {
	t.Helper()
	return serveWithLimits(t, func() Limits { return limits }, handler)
}

// serveWithLimits is like serve with limits that may change.
func serveWithLimits(t *testing.T, limits func() Limits, handler Handler) (*Server, string) {
	t.Helper()
	return start(t, &Server{Handler: handler, Limits: limits})
}

// start starts a server of which only some fields are set.
func start(t *testing.T, s *Server) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Reject = func(status int, reason string) *Response {
		return &Response{Status: status, Header: http.Header{}, Body: []byte(reason)}
	}
	s.Logger = log.NewNopLogger()
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close(); s.Close() })
	return s, listener.Addr().String()
}

var testLimits = Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c, bufio.NewReader(c)
}

// read reads a response with its whole body.
func read(t *testing.T, reader *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

// echo responds with the request target and the body.
func echo(_ context.Context, r *Request) *Response {
	return &Response{Status: http.StatusOK, Header: http.Header{}, Body: append([]byte(r.RequestURI+":"), r.Body...)}
}

// Pipelined requests must run concurrently: the handlers of the first two wait
// for the third. The responses must still come in the order of the requests.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	release := make(chan struct{})
	_, address := serve(t, testLimits, func(ctx context.Context, r *Request) *Response {
		if r.RequestURI == "/3" {
			close(release)
		}
		<-release
		return echo(ctx, r)
	})
	c, reader := dial(t, address)
	for i := 1; i <= 3; i++ {
		fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
	}
	for i := 1; i <= 3; i++ {
		if _, body := read(t, reader); body != fmt.Sprintf("/%d:", i) {
			t.Fatalf("response %d is %q", i, body)
		}
	}
}

// A handler may wait until earlier requests of its connection are answered. The
// test guards against closing PrecedingAnswered before that, or never.
func TestPrecedingAnsweredWaitsForEarlierResponses(t *testing.T) {
	first := make(chan struct{})
	_, address := serve(t, testLimits, func(ctx context.Context, r *Request) *Response {
		if r.RequestURI == "/1" {
			<-first
			return echo(ctx, r)
		}
		select {
		case <-r.PrecedingAnswered:
			return &Response{Status: http.StatusConflict, Header: http.Header{}}
		case <-time.After(50 * time.Millisecond):
		}
		close(first)
		<-r.PrecedingAnswered
		return echo(ctx, r)
	})
	c, reader := dial(t, address)
	_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	for i := 1; i <= 2; i++ {
		if response, _ := read(t, reader); response.StatusCode != http.StatusOK {
			t.Fatalf("response %d: status %d", i, response.StatusCode)
		}
	}
}

// The context of a handler must end when the caller disconnects. The test guards
// against missing this after a request with "Connection: close", since no further
// request is read then.
func TestDisconnectCancelsHandlerContext(t *testing.T) {
	for _, header := range []string{"", "Connection: close\r\n"} {
		running, cancelled := make(chan struct{}), make(chan struct{})
		_, address := serve(t, testLimits, func(ctx context.Context, r *Request) *Response {
			close(running)
			<-ctx.Done()
			close(cancelled)
			return echo(ctx, r)
		})
		c, _ := dial(t, address)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+header+"\r\n")
		<-running
		_ = c.Close()
		select {
		case <-cancelled:
		case <-time.After(5 * time.Second):
			t.Fatal("the handler's context is not cancelled")
		}
	}
}

func TestBodies(t *testing.T) {
	_, address := serve(t, testLimits, echo)
	for name, text := range map[string]string{
		"length":   "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
		"chunks":   "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
		"continue": "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			c, reader := dial(t, address)
			_, _ = io.WriteString(c, text)
			response, body := read(t, reader)
			if response.StatusCode == http.StatusContinue {
				_, body = read(t, reader)
			}
			if body != "/x:hello" {
				t.Fatalf("%q", body)
			}
		})
	}
}

func TestRequestsThatCannotBeRead(t *testing.T) {
	limits := Limits{MaxHeaderBytes: 1000, MaxBodyBytes: 10, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 5 * time.Second}
	_, address := serve(t, limits, echo)
	for name, test := range map[string]struct {
		text string
		want int
	}{
		"long headers":   {"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 2000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"endless header": {"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 20000), http.StatusRequestHeaderFieldsTooLarge},
		"long body":      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nhello world", http.StatusRequestEntityTooLarge},
		"long chunks":    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
		"slow headers":   {"GET / HTTP/1.1\r\nHo", http.StatusRequestTimeout},
		"malformed":      {"what is this\r\n\r\n", http.StatusBadRequest},
		"two lengths":    {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nhello", http.StatusBadRequest},
		"bad chunk":      {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			c, reader := dial(t, address)
			_, _ = io.WriteString(c, test.text)
			response, _ := read(t, reader)
			if response.StatusCode != test.want {
				t.Fatalf("status %d, want %d", response.StatusCode, test.want)
			}
			if !response.Close {
				t.Fatal("the connection stays open after a rejected request")
			}
		})
	}
}

// While the server drains, a connection is closed after a response that announces
// it with "Connection: close". The test guards against closing an open connection
// before such a response, and against keeping it open afterwards.
func TestDrainClosesOnlyAfterResponse(t *testing.T) {
	s, address := serve(t, testLimits, echo)
	c, reader := dial(t, address)
	_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	if response, _ := read(t, reader); response.Close {
		t.Fatal("closed before the drain")
	}
	s.Drain()
	_, _ = io.WriteString(c, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	response, body := read(t, reader)
	if !response.Close || body != "/2:" {
		t.Fatalf("close %v, %q", response.Close, body)
	}
	if _, err := reader.ReadByte(); err == nil {
		t.Fatal("the connection stays open")
	}
}

// During a drain a request was read behind the response that announced the close, and passed on. Its
// response was lost, since the caller had closed the connection. Such a request must either
// come before that response and be answered, or not be read. The response must be whole although
// the request behind it is not read.
func TestRequestBehindAClosingResponseIsNotHandled(t *testing.T) {
	const rounds, work = 400, 2 * time.Millisecond
	var mu sync.Mutex
	handled := make(map[string]bool)
	s, address := serve(t, testLimits, func(ctx context.Context, r *Request) *Response {
		mu.Lock()
		handled[r.Path] = true
		mu.Unlock()
		time.Sleep(work)
		return echo(ctx, r)
	})
	s.Drain()
	answered := make(map[string]bool)
	closedFirst := 0
	for i := range rounds {
		c, reader := dial(t, address)
		first, second := fmt.Sprintf("/first-%d", i), fmt.Sprintf("/second-%d", i)
		_, _ = io.WriteString(c, "GET "+first+" HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(work/2 + rand.N(work))
		_, _ = io.WriteString(c, "GET "+second+" HTTP/1.1\r\nHost: h\r\n\r\n")
		response, body := read(t, reader)
		if body != first+":" {
			t.Fatalf("the first response is %q", body)
		}
		if response.Close {
			closedFirst++
		} else if response, body = read(t, reader); body == second+":" && response.Close {
			answered[second] = true
		}
		if _, err := reader.ReadByte(); err == nil {
			t.Fatal("more follows a response that closes the connection")
		}
		_ = c.Close()
	}
	s.Close()
	for i := range rounds {
		if second := fmt.Sprintf("/second-%d", i); handled[second] != answered[second] {
			t.Errorf("%s: handled %t, answered %t", second, handled[second], answered[second])
		}
	}
	if closedFirst == 0 || closedFirst == rounds {
		t.Errorf("%d of %d first responses announced the close, want some and not all", closedFirst, rounds)
	}
}

// handoverListener accepts a connection that it hands over only on request.
type handoverListener struct {
	net.Listener
	accepted chan struct{}
	handOver chan struct{}
}

func (l *handoverListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		close(l.accepted)
		<-l.handOver
	}
	return c, err
}

// A connection that Accept returns while the server closes must be closed at once. Nobody
// would wait for its requests or cancel them.
func TestConnectionAcceptedDuringCloseIsClosed(t *testing.T) {
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &handoverListener{Listener: tcp, accepted: make(chan struct{}), handOver: make(chan struct{})}
	var handled atomic.Int32
	s := &Server{
		Handler: func(context.Context, *Request) *Response {
			handled.Add(1)
			return &Response{Status: http.StatusOK, Header: http.Header{}}
		},
		Limits: func() Limits { return testLimits },
		Logger: log.NewNopLogger(),
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	c, _ := dial(t, tcp.Addr().String())
	<-listener.accepted
	_ = tcp.Close()
	s.Close()
	close(listener.handOver)
	if err := <-served; err != nil {
		t.Errorf("Serve returned %v", err)
	}
	_, _ = io.WriteString(c, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n") // fails if the connection is closed already
	if response, err := io.ReadAll(c); len(response) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection is open after Close: %q, %v", response, err)
	}
	if handled.Load() > 0 {
		t.Error("the server handled a request after Close")
	}
}

// The test guards against an idle timeout that also counts while a request is
// pending, and against an idle connection that stays open.
func TestIdleConnectionIsClosedAfterItsTimeout(t *testing.T) {
	limits := testLimits
	limits.IdleTimeout = 200 * time.Millisecond
	_, address := serve(t, limits, func(ctx context.Context, r *Request) *Response {
		time.Sleep(400 * time.Millisecond)
		return echo(ctx, r)
	})
	c, reader := dial(t, address)
	_, _ = io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, body := read(t, reader); body != "/slow:" {
		t.Fatalf("%q", body)
	}
	if _, err := reader.ReadByte(); err == nil {
		t.Fatal("the connection stays open")
	}
}

// A configuration raises the limits while a caller's connection is idle. The next request
// on it must be judged by the new limits: one that they allow must not get a 413 or 431.
func TestLimitsOfARequestAreThoseAtItsArrival(t *testing.T) {
	var limits atomic.Pointer[Limits]
	before, after := testLimits, testLimits
	before.MaxHeaderBytes, before.MaxBodyBytes = 1<<10, 1<<10
	limits.Store(&before)
	_, address := serveWithLimits(t, func() Limits { return *limits.Load() }, echo)
	c, reader := dial(t, address)
	send := func(name string) int {
		body := strings.Repeat("x", 4<<10)
		fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: h\r\nLong: %s\r\nContent-Length: %d\r\n\r\n%s", name, strings.Repeat("y", 4<<10), len(body), body)
		response, _ := read(t, reader)
		return response.StatusCode
	}
	fmt.Fprintf(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
	if response, _ := read(t, reader); response.StatusCode != http.StatusOK {
		t.Fatalf("%d", response.StatusCode)
	}
	time.Sleep(50 * time.Millisecond) // the server waits for the next request now
	limits.Store(&after)
	if status := send("allowed"); status != http.StatusOK {
		t.Fatalf("a request within the new limits: %d", status)
	}
	time.Sleep(50 * time.Millisecond)
	limits.Store(&before)
	if status := send("forbidden"); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Fatalf("a request beyond the newest limits: %d", status)
	}
}
