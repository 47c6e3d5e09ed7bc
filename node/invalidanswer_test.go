package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenatrestle/request"
)

// invalidAnswer is what a server may send in place of an answer. It does so before it reads the body
// of the request.
type invalidAnswer struct {
	// text is what it sends, in which %s is the request's id.
	text string
	// reset is set if the server resets the connection after the text, and closes if it ends it.
	reset, closes bool
	bodyBytes     int
}

var invalidAnswers = map[string]invalidAnswer{
	// A part of an answer without a length passed for the whole, since the write of the request's
	// body was told of the reset.
	"cut off by a reset": {text: "HTTP/1.1 200 OK\r\nVt-Request-Id: %s\r\n\r\npart of the body", reset: true, bodyBytes: 8 << 20},
	// A server in trouble sent a status that is none. It was passed on, or skipped as an interim one, and what
	// followed was taken for the answer.
	"status 000":             {text: "HTTP/1.1 000 Trouble\r\nVt-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok"},
	"status 099, then a 200": {text: "HTTP/1.1 099 Trouble\r\nVt-Request-Id: %s\r\n\r\nHTTP/1.1 200 OK\r\nVt-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok"},
	"status 000 without a body, then a 200": {
		text: "HTTP/1.1 000 Trouble\r\nVt-Request-Id: %s\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	},
	"status 600": {text: "HTTP/1.1 600 Trouble\r\nVt-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok"},
	"status +20": {text: "HTTP/1.1 +20 Trouble\r\nVt-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok"},
	// A name with a blank was passed on, and a length under such a name ignored, so that all that followed became the body.
	"blank in the name of a length": {text: "HTTP/1.1 200 OK\r\nVt-Request-Id: %s\r\nConnection: close\r\nContent-Length : 2\r\n\r\nok and what follows", closes: true},
	"blank in a name":               {text: "HTTP/1.1 200 OK\r\nVt-Request-Id: %s\r\nX Noise: 1\r\nContent-Length: 2\r\n\r\nok"},
	"control byte in a name":        {text: "HTTP/1.1 200 OK\r\nVt-Request-Id: %s\r\nX-\x01Noise: 1\r\nContent-Length: 2\r\n\r\nok"},
	"protocol switched":             {text: "HTTP/1.1 101 Switching Protocols\r\nVt-Request-Id: %s\r\n\r\nok"},
}

// startInvalidServer starts a server that sends an answer to each request.
func startInvalidServer(t *testing.T, answer invalidAnswer) (address string) {
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
				defer c.Close()
				for reader := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if r.URL.Path == "/load" { // the check of a new connection
						_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
						continue
					}
					_, _ = io.WriteString(c, strings.ReplaceAll(answer.text, "%s", r.Header.Get(request.HeaderRequestID)))
					if answer.reset {
						time.Sleep(time.Millisecond)
						_ = c.(*net.TCPConn).SetLinger(0)
					}
					if answer.reset || answer.closes {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// An answer that is not valid, or of which only a part came, reached callers as an answer. What they get
// must not say that the request has not run.
func TestInvalidAnswersDoNotReachCallers(t *testing.T) {
	for name, answer := range invalidAnswers {
		attempts := 2
		if answer.reset {
			attempts = 30 // which side is told of a reset first is a race
		}
		address := startInvalidServer(t, answer)
		local, a := newServedTarget(t, nil)
		a.Address = address
		local.announce(a)
		hops := newHopClient(HopHTTP1, testPeerKey, func(string) (string, bool) { return address, true })
		for front, send := range map[string]func(*bufferedRequest) result{
			"target": func(req *bufferedRequest) result {
				local.proxy.admission.SetOpenConnections(5)
				return local.proxy.serve(context.Background(), req)
			},
			"hop": func(req *bufferedRequest) result { return hops.send(context.Background(), "n", request.HopGuard, req) },
		} {
			for i := range attempts {
				req := lookupOf(t, "org/s")
				req.id, req.method, req.body = fmt.Sprint("r", i), http.MethodPost, make([]byte, answer.bodyBytes)
				res := send(req)
				if res.response != nil {
					t.Errorf("%s, %s: status %d, body %q", name, front, res.response.status, res.response.buffered)
					res.response.close()
					break
				}
				if res.failure.Outcome != request.Unknown {
					t.Fatalf("%s, %s: %+v", name, front, res.failure)
				}
			}
		}
	}
}
