// Package oracle is a stand-in that knows the true load of every target. It
// exists for measurements: a balancing policy that asks it shows what better
// knowledge could give.
//
// Each target sends its state by UDP at every arrival and end of a request, as
// a Report. A datagram that begins with Question gives all of them in one, as a
// JSON object of Vt-Load headers by node; so does GET / on the same address.
package oracle

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"verbenatrestle/connection/load"
)

// maxDatagram bounds a report, in bytes.
const maxDatagram = 512

// QueryPrefix begins a datagram that asks for all reports. What follows it comes
// back in the answer under the name Question.
const QueryPrefix = "?"

// Report is the state of one target.
type Report struct {
	// Node is the name of the node beside the target.
	Node string
	// Sequence grows with each report of a node.
	Sequence int64
	// Sample is the target's true load.
	Sample load.Sample
}

// String returns the report as it is sent.
func (r Report) String() string {
	return fmt.Sprintf("%s %d %s", r.Node, r.Sequence, r.Sample.HeaderValue())
}

// ParseReport reads a report as it is sent.
func ParseReport(text string) (Report, error) {
	var r Report
	var header string
	if _, err := fmt.Sscanf(text, "%s %d %s", &r.Node, &r.Sequence, &header); err != nil {
		return r, errors.Wrapf(err, "parse report %q", text)
	}
	var err error
	r.Sample, err = load.Parse(header)
	return r, err
}

// Server keeps the latest report of each node.
type Server struct {
	mu      sync.Mutex
	reports map[string]Report
}

// NewServer returns a server that knows no target.
func NewServer() *Server {
	return &Server{reports: make(map[string]Report)}
}

// Record takes a report, unless it is older than the latest of its node.
func (s *Server) Record(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Sequence > s.reports[r.Node].Sequence {
		s.reports[r.Node] = r
	}
}

// Receive takes reports from a UDP socket until the context ends.
func (s *Server) Receive(ctx context.Context, conn net.PacketConn) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "receive reports on %s", conn.LocalAddr())
		}
		if number, ok := strings.CutPrefix(string(buffer[:n]), QueryPrefix); ok {
			_, _ = conn.WriteTo(s.answer(map[string]string{QueryPrefix: number}), from)
			continue
		}
		if report, err := ParseReport(string(buffer[:n])); err == nil {
			s.Record(report)
		}
	}
}

// ServeHTTP gives the load headers of all targets by node.
func (s *Server) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(s.answer(make(map[string]string)))
}

// answer adds the load headers of all targets by node, and returns JSON.
func (s *Server) answer(headers map[string]string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for node, report := range s.reports {
		headers[node] = report.Sample.HeaderValue()
	}
	answer, _ := json.Marshal(headers) // a map of strings, hence never an error
	return answer
}
