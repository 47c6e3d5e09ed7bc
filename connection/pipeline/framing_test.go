package pipeline

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// smuggled is a request that is part of another one's body, or of what its sender took for it.
const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"

// checkRejected sends a text that must be answered with a status and a closed connection, and not
// reach the handler.
func checkRejected(t *testing.T, text string, want int) {
	t.Helper()
	var handled atomic.Int32
	_, address := serve(t, testLimits, func(ctx context.Context, r *Request) *Response {
		handled.Add(1)
		return echo(ctx, r)
	})
	c, reader := dial(t, address)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	response, body := read(t, reader)
	if response.StatusCode != want || !response.Close {
		t.Errorf("status %d, closed %t, %q; want %d and a closed connection", response.StatusCode, response.Close, body, want)
	}
	if rest, err := io.ReadAll(reader); err != nil || len(rest) > 0 {
		t.Errorf("%q, %v after the response", rest, err)
	}
	if got := handled.Load(); got != 0 {
		t.Errorf("%d requests were handled", got)
	}
}

// A space after the name of a header made another header of it, which was then dropped: the body of a
// request with "Content-Length : 35" was run as a request of its own.
func TestHeadersThatMayHideARequestAreRejected(t *testing.T) {
	for name, text := range map[string]string{
		"space after the length":   "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length : 35\r\n\r\n" + smuggled,
		"tab after the length":     "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length\t: 35\r\n\r\n" + smuggled,
		"space after the encoding": "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n23\r\n" + smuggled + "\r\n0\r\n\r\n",
		"space in a name":          "GET /x HTTP/1.1\r\nHost: h\r\nA B: c\r\n\r\n",
		"line that is continued":   "POST /x HTTP/1.1\r\n Content-Length: 35\r\nHost: h\r\n\r\n" + smuggled,
		"carriage return, value":   "POST /x HTTP/1.1\r\nHost: h\r\nA: b\rContent-Length: 35\r\n\r\n" + smuggled,
		"carriage return, host":    "POST /x HTTP/1.1\r\nHost: h:\rContent-Length: 35\r\n\r\n" + smuggled,
		"encoding not known":       "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n" + smuggled,
		"two encodings":            "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + smuggled,
		"signed length":            "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: +35\r\n\r\n" + smuggled,
	} {
		t.Run(name, func(t *testing.T) { checkRejected(t, text, http.StatusBadRequest) })
	}
}

// The body of a request with both a length and chunks was read as chunks, and what followed them within
// the length was run as a request of its own. In HTTP/1.0 chunks were not read at all.
func TestConflictingFramingIsRejected(t *testing.T) {
	const chunks = "Transfer-Encoding: chunked\r\n"
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"length and chunks": {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n" + chunks + "\r\n0\r\n\r\n" + smuggled, http.StatusBadRequest},
		"chunks and length": {"POST /x HTTP/1.1\r\nHost: h\r\n" + chunks + "content-length: 40\r\n\r\n0\r\n\r\n" + smuggled, http.StatusBadRequest},
		"chunks in 1.0":     {"GET /x HTTP/1.0\r\nHost: h\r\n" + chunks + "\r\n" + smuggled, http.StatusBadRequest},
		"version 0.9":       {"GET /x HTTP/0.9\r\nHost: h\r\n" + chunks + "\r\n" + smuggled, http.StatusHTTPVersionNotSupported},
		"version 2.0":       {"PRI /x HTTP/2.0\r\nHost: h\r\n\r\n" + smuggled, http.StatusHTTPVersionNotSupported},
	} {
		t.Run(name, func(t *testing.T) { checkRejected(t, c.text, c.want) })
	}
}

// Requests with a length or with chunks must keep their connection, also right behind each other.
func TestProperFramingIsAccepted(t *testing.T) {
	_, address := serve(t, testLimits, echo)
	c, reader := dial(t, address)
	long := strings.Repeat("x", 3*readBufferSize)
	text := "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nContent-Length: 9\r\n\r\n" +
		"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 45\r\n\r\nTransfer-Encoding: chunked\r\nContent-Length: 1" +
		"POST /c?Transfer-Encoding:chunked HTTP/1.1\r\nHost: h\r\nX-Transfer-Encoding: chunked\r\nX: " + long[:readBufferSize] + "\r\nContent-Length: 2\r\n\r\nhi" +
		"PUT /d HTTP/1.1\r\nHost: h\r\nX-Content-Length: 3\r\nX: " + long[:readBufferSize] + "\r\nTransfer-Encoding: chunked\r\n\r\n1800\r\n" + long + "\r\n0\r\n\r\n" +
		"GET /e HTTP/1.0\r\nHost: h\r\n\r\n"
	go func() { _, _ = io.WriteString(c, text) }()
	for _, want := range []string{"/a:hello", "/b:Transfer-Encoding: chunked\r\nContent-Length: 1", "/c?Transfer-Encoding:chunked:hi", "/d:" + long, "/e:"} {
		if response, body := read(t, reader); response.StatusCode != http.StatusOK || body != want {
			t.Errorf("status %d, %q, want %q", response.StatusCode, body, want)
		}
	}
}

// Of a target with a scheme and no host, such as "x:y://z/path", the part from the path on was taken for
// the target, so a request was run with another one than was sent.
func TestOnlyWholeURLsAreShortened(t *testing.T) {
	_, address := serve(t, testLimits, echo)
	for target, want := range map[string]string{
		"http://h/a?b=1":  "/a?b=1",
		"http://h?b":      "/?b",
		"http://u:p@h/a/": "/a/",
		"x:y://z/a":       "x:y://z/a",
		"x:/a":            "x:/a",
		"x:/q?u=y://z/a":  "x:/q?u=y://z/a",
		"HTTP://h/a":      "/a",
		"http:///a":       "http:///a",
		"//h/a":           "//h/a",
		"/a?":             "/a?",
		"*":               "*",
	} {
		c, reader := dial(t, address)
		if _, err := io.WriteString(c, "GET "+target+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, body := read(t, reader); body != want+":" {
			t.Errorf("%s is %q, want %q", target, body, want+":")
		}
	}
}
