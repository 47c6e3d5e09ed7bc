package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startScriptedServer starts a server that writes the next text as the response
// to each request on a connection. An empty text closes the connection. It
// returns the server's address.
func startScriptedServer(t *testing.T, texts ...string) string {
	t.Helper()
	return startConnectionScripts(t, texts)
}

// startConnectionScripts is like startScriptedServer with a script for each
// connection, the last one for all further ones.
func startConnectionScripts(t *testing.T, scripts ...[]string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for i := 0; ; i++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScript(c, scripts[min(i, len(scripts)-1)])
		}
	}()
	return listener.Addr().String()
}

func serveScript(c net.Conn, texts []string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for _, text := range texts {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if text == "" {
			return
		}
		_, _ = io.WriteString(c, text)
	}
	_, _ = io.Copy(io.Discard, reader)
}

const idHeader = "X-Id"

func newTestPool(address string) *Pool {
	return NewPool(address, Options{IDHeader: idHeader, DialTimeout: time.Second, IdleTimeout: time.Minute})
}

func get(t *testing.T, p *Pool, id string) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return p.Do(ctx, &Request{Method: http.MethodGet, RequestURI: "/", Host: "h", Header: http.Header{}, ID: id}, 0)
}

func responseTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	return strings.TrimLeft(strings.Join([]string{string(rune('0' + n/10)), string(rune('0' + n%10))}, ""), "0")
}

func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	second := responseTo("b", "second")
	p := newTestPool(startConnectionScripts(t, []string{responseTo("a", "first") + responseTo("z", "late"), second}, []string{second}))
	for id, want := range map[string]string{"a": "first"} {
		response, err := get(t, p, id)
		if err != nil || string(response.Body) != want {
			t.Fatalf("%v, %v", response, err)
		}
	}
	response, err := get(t, p, "b")
	if err != nil || string(response.Body) != "second" {
		t.Fatalf("%v, %v", response, err)
	}
}

func TestLateResponseBeforeTheExpectedOneIsSkipped(t *testing.T) {
	p := newTestPool(startScriptedServer(t, responseTo("old", "late")+responseTo("a", "right")))
	response, err := get(t, p, "a")
	if err != nil || string(response.Body) != "right" {
		t.Fatalf("%v, %v", response, err)
	}
}

func TestInvalidResponsesAreRejected(t *testing.T) {
	for name, text := range map[string]string{
		"short body":      "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\nshort",
		"broken chunk":    "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
		"no last chunk":   "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"broken head":     "HTTP/1.1 200 OK\r\nX-Id: a\r\nConte",
		"no protocol":     "what is this\r\n\r\n",
		"nothing":         "",
		"other length":    "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nhello",
		"switch protocol": "HTTP/1.1 101 Switching Protocols\r\nX-Id: a\r\n\r\n",
		"cut last chunk":  "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
		// A status below 100 was skipped like that of an interim response, and what followed taken for the answer.
		"status 000":              "HTTP/1.1 000 Trouble\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n" + responseTo("a", "next"),
		"status 099":              "HTTP/1.1 099 Trouble\r\nX-Id: a\r\n\r\n" + responseTo("a", "next"),
		"status +20":              "HTTP/1.1 +20 Trouble\r\nX-Id: a\r\n\r\n" + responseTo("a", "next"),
		"status 600":              "HTTP/1.1 600 Trouble\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok",
		"blank in a name":         "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length : 2\r\n\r\nok and what follows",
		"blank in another name":   "HTTP/1.1 200 OK\r\nX-Id: a\r\nX Noise: 1\r\nContent-Length: 2\r\n\r\nok",
		"control byte in a name":  "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-\x01Noise: 1\r\nContent-Length: 2\r\n\r\nok",
		"control byte in a value": "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Noise: \x01\r\nContent-Length: 2\r\n\r\nok",
		"status 999":              "HTTP/1.1 999 Trouble\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPool(startScriptedServer(t, text, ""))
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			response, err := p.Do(ctx, &Request{Method: "GET", RequestURI: "/", Host: "h", ID: "a"}, 0)
			if err == nil {
				t.Fatalf("accepted as complete: %q", response.Body)
			}
			if failure := AsError(err); failure == nil || !failure.MaybeSent {
				t.Fatalf("the error does not report that the request may have been sent: %v", err)
			}
		})
	}
}

// A response without a length ends when the server closes the connection. The test
// guards against mistaking a reset of the connection for that end.
func TestResponseThatEndsAtConnectionClose(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for _, reset := range []bool{false, true} {
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nhello")
			time.Sleep(50 * time.Millisecond)
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}()
		response, err := get(t, newTestPool(listener.Addr().String()), "a")
		if reset && err == nil {
			t.Fatal("a response whose connection was reset was accepted as complete")
		}
		if !reset && (err != nil || string(response.Body) != "hello") {
			t.Fatalf("%v, %v", response, err)
		}
	}
}

func TestInterimResponsesAreSkipped(t *testing.T) {
	p := newTestPool(startScriptedServer(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"+responseTo("a", "final")))
	response, err := get(t, p, "a")
	if err != nil || string(response.Body) != "final" {
		t.Fatalf("%v, %v", response, err)
	}
}

func TestHeadHasNoBody(t *testing.T) {
	p := newTestPool(startScriptedServer(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\n"))
	response, err := p.Do(context.Background(), &Request{Method: http.MethodHead, RequestURI: "/", Host: "h", ID: "a"}, 0)
	if err != nil || len(response.Body) != 0 || response.Header.Get("Content-Length") != "10" {
		t.Fatalf("%v, %v", response, err)
	}
}

// The test guards against a request that is lost because it is sent on an idle
// connection that the server has closed.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	opened := 0
	address := startScriptedServer(t, responseTo("a", "one"), "")
	p := NewPool(address, Options{IDHeader: idHeader, DialTimeout: time.Second, IdleTimeout: time.Minute, OnOpen: func() { opened++ }})
	if _, err := get(t, p, "a"); err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	_ = p.idle[0].Conn.(*net.TCPConn).CloseWrite()
	p.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	if _, err := get(t, p, "a"); err != nil {
		t.Fatalf("a request was sent on a closed connection: %v", err)
	}
	if opened != 2 {
		t.Fatalf("%d connections opened", opened)
	}
}

// The test guards against reusing a connection shortly before the idle timeout that
// the server announced, when the server may be closing it.
func TestServerKeepAliveTimeoutIsRespected(t *testing.T) {
	text := strings.Replace(responseTo("a", "one"), "X-Id", "Keep-Alive: timeout=1\r\nX-Id", 1)
	opened := 0
	p := NewPool(startScriptedServer(t, text, text), Options{IDHeader: idHeader, DialTimeout: time.Second, IdleTimeout: time.Minute, OnOpen: func() { opened++ }})
	for range 2 {
		if _, err := get(t, p, "a"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(600 * time.Millisecond)
	}
	if opened != 2 {
		t.Fatalf("%d connections opened, want one for each request", opened)
	}
}

func TestRefusedDialWasNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = get(t, newTestPool(address), "a")
	if failure := AsError(err); failure == nil || failure.Kind != KindDial || failure.MaybeSent || failure.TimedOut() {
		t.Fatalf("%v", err)
	}
}

func TestCancelEndsTheConnectionAtOnce(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	closed := make(chan struct{})
	arrived := make(chan struct{})
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(c)
		_, _ = http.ReadRequest(reader)
		close(arrived)
		_, _ = reader.ReadByte()
		close(closed)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-arrived; cancel() }()
	_, err = newTestPool(listener.Addr().String()).Do(ctx, &Request{Method: "GET", RequestURI: "/", Host: "h", ID: "a"}, 0)
	if failure := AsError(err); failure == nil || failure.Kind != KindCancelled || !failure.MaybeSent {
		t.Fatalf("%v", err)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the server is still open")
	}
}

func TestLimitOfConnections(t *testing.T) {
	p := NewPool(startScriptedServer(t, "hang"), Options{IDHeader: idHeader, DialTimeout: time.Second, IdleTimeout: time.Minute, MaxOpenConnections: 1})
	if !p.reserveConnection() {
		t.Fatal("the first connection was refused")
	}
	_, err := get(t, p, "a")
	if failure := AsError(err); failure == nil || failure.Kind != KindPoolExhausted || failure.MaybeSent {
		t.Fatalf("%v", err)
	}
	if !errors.Is(err, errPoolExhausted) {
		t.Fatalf("%v", err)
	}
}

// A target responds to a request with a long body before it has read the body,
// keeps the connection open and reads on. The test guards against starting the
// next request before the rest of the body is written.
func TestEarlyResponseToALongBody(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	body := strings.Repeat("x", 4<<20)
	lengths := make(chan int, 2)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(c)
		for _, id := range []string{"a", "b"} {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, responseTo(id, "early"))
			time.Sleep(100 * time.Millisecond)
			read, _ := io.ReadAll(r.Body)
			lengths <- len(read)
		}
	}()
	p := newTestPool(listener.Addr().String())
	for _, id := range []string{"a", "b"} {
		request := &Request{Method: "POST", RequestURI: "/", Host: "h", ID: id, Body: []byte(body), Header: http.Header{}}
		if _, err := p.Do(context.Background(), request, 0); err != nil {
			t.Fatal(err)
		}
		if got := <-lengths; got != len(body) {
			t.Fatalf("the server read %d bytes of %d", got, len(body))
		}
	}
}

func TestErrorResponseWithoutIDIsAccepted(t *testing.T) {
	p := newTestPool(startScriptedServer(t, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
	if response, err := get(t, p, "a"); err != nil || response.Status != http.StatusServiceUnavailable {
		t.Fatalf("%v, %v", response, err)
	}
	p = newTestPool(startScriptedServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
	if response, err := get(t, p, "a"); err == nil {
		t.Fatalf("a successful response without an ID was accepted: %v", response)
	}
}

// A server sends a long response slowly, or stops in the middle of it. The read timeout
// has to end only the second one, long before the deadline of the request, and must not
// end later requests on the connection.
func TestReadTimeoutEndsStalledResponsesOnly(t *testing.T) {
	const pause, timeout = 60 * time.Millisecond, 500 * time.Millisecond
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	stalled := make(chan struct{})
	t.Cleanup(func() { close(stalled) })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		reader := bufio.NewReader(c)
		for i := range 3 {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n")
			for range 20 {
				_, _ = io.WriteString(c, "x")
				if i == 2 {
					<-stalled
				}
				time.Sleep(pause)
			}
		}
	}()
	pool := NewPool(listener.Addr().String(), Options{IdleTimeout: time.Minute})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	get := func(readTimeout time.Duration) (*Response, error) {
		return pool.Do(ctx, &Request{Method: http.MethodGet, RequestURI: "/", Host: "h", ReadTimeout: readTimeout}, 0)
	}
	for _, readTimeout := range []time.Duration{timeout, 0} {
		if response, err := get(readTimeout); err != nil || len(response.Body) != 20 {
			t.Fatalf("a slow response with read timeout %v: %v, %v", readTimeout, response, err)
		}
	}
	if pool.OpenConnections() != 1 {
		t.Fatalf("%d connections: the first was not used again", pool.OpenConnections())
	}
	began := time.Now()
	if failure := AsError(second(get(timeout))); failure == nil || failure.Kind != KindTimeout {
		t.Fatalf("a stalled response: %v", failure)
	}
	// The body must not be waited for once more when it is closed.
	if took := time.Since(began); took >= 2*timeout {
		t.Fatalf("a stalled response ended after %v", took)
	}
}

// second returns the second of two values.
func second[A, B any](_ A, b B) B { return b }
