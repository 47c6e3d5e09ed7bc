package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"verbenatrestle/internal/wait"
	"verbenatrestle/platform"
)

const (
	// percentHidden is the share of bodies, in percent, that consist of whole requests.
	percentHidden = 10
	// ambiguousInterval is the interval of requests with ambiguous framing. Their callers keep
	// the connection open for ambiguousLinger after the response, so that the node can read on.
	ambiguousInterval = 200 * time.Millisecond
	ambiguousLinger   = 300 * time.Millisecond
)

// hiddenRequest returns the text of a request that no caller sends. All nodes would serve it.
func hiddenRequest(id, service string, position int) string {
	return fmt.Sprintf("GET /%s/hidden HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: hidden-%s-%d\r\n\r\n",
		service, platform.HeaderKey, lastingIdentity(hotOrganisation).key, platform.HeaderRequestID, id, position)
}

// hiddenBody returns a body of whole requests that no caller sends, of at least one and otherwise
// about length bytes.
func hiddenBody(id, service string, length int) string {
	var b strings.Builder
	for first := true; first || b.Len() < length; first = false {
		b.WriteString(hiddenRequest(id, service, b.Len()))
	}
	return b.String()
}

// framing is an ambiguous framing of a request. In the headers, LENGTH stands for the length of
// the body, which holds a request in place of HIDDEN.
type framing struct{ version, headers, body string }

// framings are those that have misled other proxies, or the servers behind them.
var framings = []framing{
	{"1.1", "Content-Length: LENGTH\r\nTransfer-Encoding: chunked", "0\r\n\r\nHIDDEN"},
	{"1.1", "Transfer-Encoding: chunked\r\nContent-Length: LENGTH", "0\r\n\r\nHIDDEN"},
	{"1.1", "X-A: b\nTransfer-Encoding: chunked\r\nContent-Length: LENGTH", "0\r\n\r\nHIDDEN"},
	{"1.1", "X-A: b\r\n Transfer-Encoding: chunked\r\nContent-Length: LENGTH", "0\r\n\r\nHIDDEN"},
	{"1.1", "Transfer-Encoding:\r\n chunked\r\nContent-Length: LENGTH", "0\r\n\r\nHIDDEN"},
	{"1.1", "Transfer-Encoding : chunked\r\nContent-Length: LENGTH", "0\r\n\r\nHIDDEN"},
	{"1.1", "Transfer-Encoding: \vchunked\r\nContent-Length: LENGTH", "0\r\n\r\nHIDDEN"},
	{"1.1", "Transfer-Encoding: xchunked\r\nContent-Length: LENGTH", "0\r\n\r\nHIDDEN"},
	{"1.1", "Transfer-Encoding: identity\r\nContent-Length: LENGTH", "0\r\n\r\nHIDDEN"},
	{"1.1", "Transfer-Encoding: chunked, identity\r\nContent-Length: LENGTH", "0\r\n\r\nHIDDEN"},
	{"1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\nContent-Length: LENGTH", "0\r\n\r\nHIDDEN"},
	{"1.0", "Transfer-Encoding: chunked\r\nContent-Length: LENGTH", "0\r\n\r\nHIDDEN"},
	{"1.0", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: LENGTH", "0\r\n\r\nHIDDEN"},
	{"1.1", "Content-Length: 0\r\nContent-Length: LENGTH", "HIDDEN"},
	{"1.1", "Content-Length: LENGTH\r\nContent-Length: 0", "HIDDEN"},
	{"1.1", "Content-Length: 0, LENGTH", "HIDDEN"},
	{"1.1", "Content-Length: +LENGTH", "HIDDEN"},
	{"1.1", "Content-Length: -0\r\nX-Length: LENGTH", "HIDDEN"},
	{"1.1", "Content-Length : LENGTH", "HIDDEN"},
	{"1.1", "Connection: Content-Length\r\nContent-Length: LENGTH", "HIDDEN"},
	{"1.1", "Expect: 100-continue\r\nContent-Length: LENGTH", "HIDDEN"},
	{"1.1", "Transfer-Encoding: chunked", "10000000000000000\r\n\r\n0\r\n\r\nHIDDEN"},
	{"1.1", "Transfer-Encoding: chunked", "-1\r\nHIDDEN"},
	{"1.1", "Transfer-Encoding: chunked", "1\r\nxHIDDEN\r\n0\r\n\r\n"},
}

// text returns the whole request, with a body for a service.
func (f *framing) text(path, service string, record *CallerRecord, key string) string {
	body := strings.ReplaceAll(f.body, "HIDDEN", hiddenRequest(record.ID, service, 0))
	headers := strings.ReplaceAll(f.headers, "LENGTH", fmt.Sprint(len(body)))
	return fmt.Sprintf("PUT %s HTTP/%s\r\nHost: h\r\n%s: %s\r\n%s: %s\r\n%s\r\n\r\n%s",
		path, f.version, platform.HeaderKey, key, platform.HeaderRequestID, record.ID, headers, body)
}

// sendAmbiguous sends requests with ambiguous framing until the context ends. A node may run or
// refuse them, but never what is in their bodies.
func (c *Callers) sendAmbiguous(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; wait.For(ctx, ambiguousInterval); i++ {
		service := c.Services[len(c.Services)-1]
		identity := lastingIdentity(steadyOrganisation)
		record := CallerRecord{
			ID: fmt.Sprintf("%s-ambiguous-%d", c.IDPrefix, i), Node: c.Nodes[rand.IntN(len(c.Nodes))], Ambiguous: true,
			Key: identity.use, Organisation: identity.holder,
		}
		path := "/" + service + "/" + record.ID
		record.ExpectedBody = "PUT " + path + " "
		text := framings[i%len(framings)].text(path, service, &record, identity.key)
		group.Go(func() { c.sendText(text, record) })
	}
}

// sendText sends text over a new connection, and records the first response.
func (c *Callers) sendText(text string, record CallerRecord) {
	start := time.Now()
	conn, err := net.DialTimeout("tcp4", record.Node, time.Second)
	if err != nil {
		record.Failure = err.Error()
		c.write(&record, start)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(start.Add(c.Timeout)) // the read below fails on a closed connection
	_, _ = io.WriteString(conn, text)          // as above
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		record.Failure = err.Error()
	} else {
		record.setResponse(response)
	}
	c.write(&record, start)
	_ = conn.SetDeadline(time.Now().Add(ambiguousLinger)) // the copy below fails on a closed connection
	_, _ = io.Copy(io.Discard, reader)                    // ends with the deadline or the connection
}

// isSent reports whether a text is the request that was sent, as a target sees or echoes it. The
// body of one with ambiguous framing is not known.
func (c *CallerRecord) isSent(text string) bool {
	if c.Ambiguous {
		return strings.HasPrefix(text, c.ExpectedBody)
	}
	return text == c.ExpectedBody
}
