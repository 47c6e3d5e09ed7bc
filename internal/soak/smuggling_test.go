package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenatrestle/platform"
)

// laxNode reads requests of a connection in a way that lets one be smuggled inside another, and
// records them as runs.
type laxNode struct {
	// leaveBodies takes what follows a head for the next request. Otherwise a body in chunks ends with the last
	// one, whatever the Content-Length, and the connection stays open.
	leaveBodies bool
	mu          sync.Mutex
	runs        []RunRecord
}

// start returns the address of the node.
func (n *laxNode) start(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (n *laxNode) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
			return
		}
		if !n.leaveBodies {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		n.mu.Lock()
		n.runs = append(n.runs, RunRecord{ID: r.Header.Get(platform.HeaderRequestID), Request: r.Method + " " + r.RequestURI + " ", Organisations: []string{steadyOrganisation}})
		n.mu.Unlock()
		_, _ = io.WriteString(conn, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")
	}
}

// violations returns what the check says of the runs, and of the records of the callers.
func (n *laxNode) violations(t *testing.T, records string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "told")
	if err := os.WriteFile(path, []byte(records), 0o600); err != nil {
		t.Fatal(err)
	}
	callers, err := readLines[CallerRecord](path)
	if err != nil {
		t.Fatal(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return strings.Join(CheckRecords(callers, n.runs, 0).Violations, "; ")
}

// Guards against a soak that misses a node that reads the body of a request as the next request. Before,
// no body held a request.
func TestRequestInBodyIsSeen(t *testing.T) {
	node := &laxNode{leaveBodies: true}
	var out strings.Builder
	c := Callers{Nodes: []string{node.start(t)}, Timeout: time.Second, out: &out}
	for i := 0; ; i++ {
		if i == 1000 {
			t.Fatal("no body holds a request")
		}
		id := fmt.Sprint("r", i)
		m := chooseMessage("/s/"+id, "s", id)
		if !strings.HasPrefix(m.body, hiddenRequest(id, "s", 0)) {
			continue
		}
		request, err := m.newRequest(c.Nodes[0])
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(platform.HeaderRequestID, id)
		var text strings.Builder
		if err := request.Write(&text); err != nil {
			t.Fatal(err)
		}
		c.sendText(text.String(), CallerRecord{ID: id, Node: c.Nodes[0], ExpectedBody: summarize(m.text())})
		if !m.chunked {
			break
		}
	}
	if got := node.violations(t, out.String()); !strings.Contains(got, "unasked: hidden-r") {
		t.Errorf("violations %q", got)
	}
}

// Guards against a soak that misses a node that ends an ambiguous request too early and runs what follows, and
// against callers that leave out a framing.
func TestRequestInAmbiguousRequestIsSeen(t *testing.T) {
	for name, test := range map[string]struct {
		leaveBodies bool
		framings    []int
	}{
		"a length beside chunks":                   {false, []int{0, 1}},
		"the first, the second or no length holds": {true, []int{13, 14, 15, 16}},
	} {
		for _, i := range test.framings {
			node := &laxNode{leaveBodies: test.leaveBodies}
			var out strings.Builder
			c := Callers{Nodes: []string{node.start(t)}, Timeout: time.Second, out: &out}
			record := CallerRecord{ID: "r", Node: c.Nodes[0], Ambiguous: true, ExpectedBody: "PUT /s/r "}
			text := framings[i].text("/s/r", "s", &record, "k")
			if test.leaveBodies { // a lax parser of lengths takes the request for one without a body
				text = strings.ReplaceAll(text, "Content-Length:", "X-Length:")
			}
			c.sendText(text, record)
			if got := node.violations(t, out.String()); !strings.Contains(got, "unasked: hidden-r-0") || strings.Contains(got, "changed") {
				t.Errorf("%s: %v: %q", name, framings[i], got)
			}
		}
	}
}

// Guards against callers that leave out an ambiguous framing.
func TestCallersSendAllFramings(t *testing.T) {
	node := &laxNode{}
	var out strings.Builder
	c := Callers{Nodes: []string{node.start(t)}, Services: []string{"s"}, Timeout: time.Second, IDPrefix: "s", out: &out}
	ctx, cancel := context.WithTimeout(t.Context(), ambiguousInterval*time.Duration(len(framings)+2))
	defer cancel()
	c.sendAmbiguous(ctx)
	for i := range framings {
		if !strings.Contains(out.String(), fmt.Sprintf(`"s-ambiguous-%d"`, i)) {
			t.Errorf("framing %d was not sent: %v", i, framings[i])
		}
	}
	if got := node.violations(t, out.String()); !strings.Contains(got, "unasked: hidden-s-ambiguous-0-0") || !strings.Contains(got, "hidden-s-ambiguous-1-0") {
		t.Errorf("violations %q", got)
	}
}

// Guards against a check that takes a node's reading of an ambiguous body for a change, or that misses another
// method, path or response.
func TestCheckAmbiguousRequests(t *testing.T) {
	good := CallerRecord{ID: "r", Node: "n", Ambiguous: true, ExpectedBody: "PUT /s/r ", Key: KeyLasting, Organisation: "o"}
	answered := good
	answered.Status, answered.Body, answered.Signature, answered.ResponseID = 200, "PUT /s/r x", "s.r", "r"
	mixed := answered
	mixed.Body = "PUT /s/q x"
	for name, test := range map[string]struct {
		caller CallerRecord
		runs   []RunRecord
		want   string
	}{
		"refused":        {good, nil, ""},
		"one reading":    {answered, []RunRecord{{ID: "r", Request: "PUT /s/r ", Organisations: []string{"o"}}}, ""},
		"another":        {answered, []RunRecord{{ID: "r", Request: "PUT /s/r GET", Organisations: []string{"o"}}}, ""},
		"another method": {good, []RunRecord{{ID: "r", Request: "GET /s/r ", Organisations: []string{"o"}}}, "changed"},
		"another path":   {good, []RunRecord{{ID: "r", Request: "PUT /s/rr ", Organisations: []string{"o"}}}, "changed"},
		"never ran":      {answered, nil, "made up"},
		"another answer": {mixed, []RunRecord{{ID: "r", Request: "PUT /s/r ", Organisations: []string{"o"}}}, "mixed"},
	} {
		callers, runs := recoveryRecords()
		checkViolations(t, name, append(callers, test.caller), append(runs, test.runs...), test.want)
	}
}
