package node

import (
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/connection/load"
)

const (
	// policyOracle is the policy that queries a service for the actual load. Only
	// benchmarks use it, as the upper bound of what a real policy can reach.
	policyOracle = "oracle"
	// oracleQueryPrefix, followed by a number, is a query for the load of all
	// targets. The response has the number under the same name.
	oracleQueryPrefix = "?"
	// maxSampleAge is the age from which samples are queried again.
	maxSampleAge = 200 * time.Microsecond
	// oracleTimeout is the timeout of a query. After it, the last samples are used.
	oracleTimeout = 2 * time.Millisecond
	// maxOracleResponseBytes bounds a response.
	maxOracleResponseBytes = 64 << 10
)

// oracle returns the actual load of all targets. It queries a service that
// benchmarks run. It is safe for concurrent use.
type oracle struct {
	conn net.Conn

	mu        sync.Mutex
	queriedAt time.Time
	queryID   int
	buffer    []byte
	samples   map[string]load.Sample
}

// newOracle returns an oracle that queries the service at the host and port of
// the URL, over UDP.
func newOracle(address string) (*oracle, error) {
	parsed, err := url.Parse(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse oracle_address")
	}
	conn, err := net.Dial("udp", parsed.Host)
	if err != nil {
		return nil, errors.Wrapf(err, "dial oracle %s", parsed.Host)
	}
	return &oracle{conn: conn, buffer: make([]byte, maxOracleResponseBytes)}, nil
}

// targetLoad implements balance.LoadFunc.
func (o *oracle) targetLoad(_, node string) (load.Sample, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.queriedAt) > maxSampleAge {
		o.query()
	}
	s, ok := o.samples[node]
	return s, ok && s.State.AcceptsRequests()
}

// query updates the samples of all targets. If there is no response in time, the
// last samples stay.
func (o *oracle) query() {
	defer func() { o.queriedAt = time.Now() }()
	o.queryID++
	id := strconv.Itoa(o.queryID)
	if _, err := o.conn.Write([]byte(oracleQueryPrefix + id)); err != nil {
		return
	}
	_ = o.conn.SetReadDeadline(time.Now().Add(oracleTimeout))
	for {
		headers, err := o.read()
		if err != nil {
			return
		}
		o.setSamples(headers)
		if headers[oracleQueryPrefix] == id {
			return
		}
	}
}

// read reads one response: a JSON object of load headers by node.
func (o *oracle) read() (map[string]string, error) {
	n, err := o.conn.Read(o.buffer)
	if err != nil {
		return nil, err
	}
	var headers map[string]string
	err = json.Unmarshal(o.buffer[:n], &headers)
	return headers, err
}

func (o *oracle) setSamples(headers map[string]string) {
	samples := make(map[string]load.Sample, len(headers))
	for node, header := range headers {
		if s, err := load.Parse(header); err == nil {
			samples[node] = s
		}
	}
	o.samples = samples
}
