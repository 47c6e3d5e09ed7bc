// Package oracle is a server that holds the true load of every stand-in target.
// It exists for measurements only: a balancing policy that queries it shows how
// much exact load information would improve balancing.
//
// Each target sends a Report by UDP whenever a request arrives or ends. The
// response to a datagram that begins with QueryPrefix, and to GET / on the same
// address, is a JSON object with the Vt-Load header of each target by node name.
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

// maxDatagramBytes is the maximum size of a received datagram.
const maxDatagramBytes = 512

// QueryPrefix is the start of a datagram that asks for all reports. The rest of
// the datagram is an ID, which the response contains under the key QueryPrefix.
const QueryPrefix = "?"

// Report is the state of one target at one time.
type Report struct {
	// Node is the name of the node beside the target.
	Node string
	// Sequence increases with each report of a node.
	Sequence int64
	// Sample is the target's true load.
	Sample load.Sample
}

// String returns the report in the format of the datagrams.
func (r Report) String() string {
	return fmt.Sprintf("%s %d %s", r.Node, r.Sequence, r.Sample.HeaderValue())
}

// ParseReport parses the format that Report.String returns.
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

// Server holds the latest report of each node. It is safe for concurrent use.
type Server struct {
	mu      sync.Mutex
	reports map[string]Report
}

// NewServer returns a server without reports.
func NewServer() *Server {
	return &Server{reports: make(map[string]Report)}
}

// Record stores a report, unless a later one of the same node is stored.
func (s *Server) Record(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Sequence > s.reports[r.Node].Sequence {
		s.reports[r.Node] = r
	}
}

// Receive reads reports and queries from a UDP socket until the context ends,
// and then closes the socket and returns nil.
func (s *Server) Receive(ctx context.Context, conn net.PacketConn) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "receive reports on %s", conn.LocalAddr())
		}
		if id, ok := strings.CutPrefix(string(buffer[:n]), QueryPrefix); ok {
			_, _ = conn.WriteTo(s.encode(map[string]string{QueryPrefix: id}), from)
			continue
		}
		if report, err := ParseReport(string(buffer[:n])); err == nil {
			s.Record(report)
		}
	}
}

// ServeHTTP responds with the load headers of all targets by node name.
func (s *Server) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(s.encode(make(map[string]string)))
}

// encode adds the load headers of all targets to headers and returns it as JSON.
func (s *Server) encode(headers map[string]string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for node, report := range s.reports {
		headers[node] = report.Sample.HeaderValue()
	}
	encoded, _ := json.Marshal(headers) // a map of strings always encodes
	return encoded
}
