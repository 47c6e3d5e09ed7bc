package pipeline

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"verbenatrestle/connection/exchange"
)

// drawnRequest is a request as a caller sends it and as the target must get it.
type drawnRequest struct {
	method, target, value, body string
	chunked                     bool
}

// drawRequest draws a request. Its body is often about as long as one that exchange writes in one
// piece with the head.
func drawRequest(t *rapid.T) drawnRequest {
	length := rapid.OneOf(rapid.IntRange(0, 20), rapid.IntRange(8<<10-2, 8<<10+2), rapid.IntRange(0, 40<<10)).Draw(t, "length")
	fill := rapid.SampledFrom([]string{"x", "\r\n", "0\r\n\r\n", "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n", "\x00\xff"}).Draw(t, "fill")
	return drawnRequest{
		method: rapid.SampledFrom([]string{"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "M-SEARCH"}).Draw(t, "method"),
		target: "/" + rapid.StringMatching(`([a-z/.;:@&=+$,!~*'()_-]|%[0-9A-Fa-f]{2}|\xc3\xa9){0,20}(\?([a-z/?&=+.#:]|%[0-9a-f]{2}){0,20})?`).Draw(t, "target"),
		value:  rapid.StringMatching(`[!-~]([ -~]{0,20}[!-~])?`).Draw(t, "value"),
		body:   strings.Repeat(fill, length/len(fill)+1)[:length], chunked: rapid.Bool().Draw(t, "chunked"),
	}
}

// text returns the request as a caller sends it.
func (r *drawnRequest) text() string {
	head := r.method + " " + r.target + " HTTP/1.1\r\nHost: h\r\nX-Value: " + r.value + "\r\n"
	if !r.chunked {
		return head + "Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n\r\n" + r.body
	}
	var b strings.Builder
	b.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
	for rest := r.body; rest != ""; {
		chunk := rest[:min(len(rest), 1000)]
		rest = rest[len(chunk):]
		b.WriteString(strconv.FormatInt(int64(len(chunk)), 16) + ";extension=1\r\n" + chunk + "\r\n")
	}
	b.WriteString("0\r\nX-Value: trailer\r\n\r\n")
	return b.String()
}

// Requests that a node reads and writes again, one behind the other on one connection, must reach the
// target one by one with their method, path, query, body and headers, whatever these hold.
func TestForwardedRequestsAreUnchanged(t *testing.T) {
	arrived := make(chan drawnRequest, 64)
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Errorf("read body: %v", err)
		}
		arrived <- drawnRequest{method: r.Method, target: r.RequestURI, value: strings.Join(r.Header.Values("X-Value"), "|"), body: string(body)}
	}))
	defer target.Close()
	pool := exchange.NewPool(strings.TrimPrefix(target.URL, "http://"), exchange.Options{IDHeader: "X-Id", IdleTimeout: testLimits.IdleTimeout})
	defer pool.Close()
	_, address := serve(t, testLimits, func(ctx context.Context, r *Request) *Response {
		<-r.PrecedingAnswered
		response, err := pool.Do(ctx, &exchange.Request{Method: r.Method, RequestURI: r.RequestURI, Host: r.Host, Header: r.Header, Body: r.Body}, 0)
		if err != nil {
			return &Response{Status: http.StatusBadGateway, Header: http.Header{}, Body: []byte(err.Error())}
		}
		return &Response{Status: response.Status, Header: response.Header, Body: response.Body}
	})
	rapid.Check(t, func(rt *rapid.T) {
		requests := rapid.SliceOfN(rapid.Custom(drawRequest), 1, 4).Draw(rt, "requests")
		checkForwarded(t, rt, address, requests, arrived)
	})
}

// checkForwarded sends requests over one connection and compares them with those that arrive.
func checkForwarded(t *testing.T, rt *rapid.T, address string, requests []drawnRequest, arrived chan drawnRequest) {
	c, reader := dial(t, address)
	defer c.Close()
	go writeRequests(c, requests)
	for i := range requests {
		if response, body := read(t, reader); response.StatusCode != http.StatusOK {
			t.Fatalf("status %d, %q to %+v", response.StatusCode, body, requests[i])
		}
	}
	var got []drawnRequest
	for len(arrived) > 0 {
		got = append(got, <-arrived)
	}
	if len(got) != len(requests) {
		rt.Fatalf("%d requests arrive as %d: %+v", len(requests), len(got), got)
	}
	for i, want := range requests {
		want.chunked = false
		if got[i] != want {
			rt.Fatalf("%+v arrives as %+v", want, got[i])
		}
	}
}

// writeRequests writes requests right behind each other.
func writeRequests(c net.Conn, requests []drawnRequest) {
	for i := range requests {
		_, _ = io.WriteString(c, requests[i].text()) // the responses show an error
	}
}
