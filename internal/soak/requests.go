package soak

import (
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
)

// message is what a caller sends: method, path with query, body and framing. Without chunked,
// the body has a Content-Length.
type message struct {
	method, path, body string
	chunked            bool
}

// Shares of the requests, in percent, and lengths of bodies in bytes. The methods and lengths
// that are left are POST and lengths up to shortBody.
const (
	percentGet, percentPut, percentChunked = 30, 20, 25
	percentEmpty, percentMedium            = 20, 15
	percentLong                            = 5
	shortBody, mediumBody, longBody        = 200, 8 << 10, 120 << 10
)

// suffixes are parts of paths and queries that a node must not change.
var suffixes = []string{
	"", "?", "?a=1&b=2", "?q=%2Fsafe%20path%3Fx%26y", "?a=b+c%2Bd&empty=&=", "/a%2Fb%20c", "/%41%7e?%41=%7E", "//x?/?&&",
}

// chooseMessage returns a random message whose path begins with path. Its body differs from
// that of any other id. Some bodies are requests to the service.
func chooseMessage(path, service, id string) message {
	m := message{method: http.MethodPost, path: path + suffixes[rand.IntN(len(suffixes))], chunked: rand.IntN(100) < percentChunked}
	switch roll := rand.IntN(100); {
	case roll < percentGet:
		m.method = http.MethodGet
	case roll < percentGet+percentPut:
		m.method = http.MethodPut
	}
	length := rand.IntN(shortBody) + 1
	switch roll := rand.IntN(100); {
	case roll < percentEmpty:
		length = 0
	case roll < percentEmpty+percentMedium:
		length = rand.IntN(mediumBody) + 1
	case roll < percentEmpty+percentMedium+percentLong:
		length = rand.IntN(longBody) + 1
	}
	m.body = uniqueBody(id, length)
	if rand.IntN(100) < percentHidden {
		m.body = hiddenBody(id, service, length)
	}
	return m
}

// uniqueBody returns a body of a length in bytes, each part of which names the request and
// its position.
func uniqueBody(id string, length int) string {
	var b strings.Builder
	for b.Len() < length {
		fmt.Fprintf(&b, "%s@%d|", id, b.Len())
	}
	return b.String()[:length]
}

// text returns the message as targets echo it.
func (m *message) text() string { return m.method + " " + m.path + " " + m.body }

// newRequest returns the request of a message. http.Transport repeats a request by itself only
// if its body is nil or can be rewound, and only if nothing was written or the method is safe,
// so no body can be rewound and that of a GET is never nil.
func (m *message) newRequest(node string) (*http.Request, error) {
	var body io.Reader
	if m.body != "" || m.chunked || m.method == http.MethodGet {
		body = io.MultiReader(strings.NewReader(m.body))
	}
	request, err := http.NewRequest(m.method, "http://"+node+m.path, body)
	if err == nil && body != nil {
		request.ContentLength = int64(len(m.body))
		if m.chunked {
			request.ContentLength = -1
		}
	}
	return request, err
}

// maxText is the longest text in bytes that a record holds whole, and textStart the length of
// the start of a longer one.
const maxText, textStart = 256, 128

// summarize returns a text, or the start, length and hash of a long one.
func summarize(text string) string {
	if len(text) <= maxText {
		return text
	}
	return fmt.Sprintf("%s... %d bytes, SHA-256 %x", text[:textStart], len(text), sha256.Sum256([]byte(text)))
}
