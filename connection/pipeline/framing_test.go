package pipeline

import (
	"context"
	"io"
	"net/http"
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
