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
	// policyOracle is the policy that asks a service for the true load. Only
	// measurements use it, as the limit that no real policy passes.
	policyOracle = "oracle"
	// oracleQuestion, followed by a number, asks for the load of all targets.
	// The answer has the number under the same name.
	oracleQuestion = "?"
	// oracleAge is how old the truth may be when it is used.
	oracleAge = 200 * time.Microsecond
	// oracleTimeout bounds the wait for an answer. After it, the last one is used.
	oracleTimeout = 2 * time.Millisecond
	// maxOracleAnswer bounds an answer, in bytes.
	maxOracleAnswer = 64 << 10
)

// oracle knows the true load of every target, from a service that measurements
// run.
type oracle struct {
	conn net.Conn

	mu      sync.Mutex
	at      time.Time
	number  int
	buffer  []byte
	samples map[string]load.Sample
}

// newOracle returns an oracle that asks the service at a URL, by UDP.
func newOracle(address string) (*oracle, error) {
	parsed, err := url.Parse(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse oracle_address")
	}
	conn, err := net.Dial("udp", parsed.Host)
	if err != nil {
		return nil, errors.Wrapf(err, "dial oracle %s", parsed.Host)
	}
	return &oracle{conn: conn, buffer: make([]byte, maxOracleAnswer)}, nil
}

// truth implements balance.Truth.
func (o *oracle) truth(_, node string) (load.Sample, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.at) > oracleAge {
		o.ask()
	}
	s, ok := o.samples[node]
	return s, ok && s.State.AcceptsRequests()
}

// ask learns the load of all targets. Without an answer in time, what was
// known before stays.
func (o *oracle) ask() {
	defer func() { o.at = time.Now() }()
	o.number++
	number := strconv.Itoa(o.number)
	if _, err := o.conn.Write([]byte(oracleQuestion + number)); err != nil {
		return
	}
	_ = o.conn.SetReadDeadline(time.Now().Add(oracleTimeout))
	for {
		headers, err := o.read()
		if err != nil {
			return
		}
		o.learn(headers)
		if headers[oracleQuestion] == number {
			return
		}
	}
}

// read reads one answer: a JSON object of load headers by node.
func (o *oracle) read() (map[string]string, error) {
	n, err := o.conn.Read(o.buffer)
	if err != nil {
		return nil, err
	}
	var headers map[string]string
	err = json.Unmarshal(o.buffer[:n], &headers)
	return headers, err
}

func (o *oracle) learn(headers map[string]string) {
	samples := make(map[string]load.Sample, len(headers))
	for node, header := range headers {
		if s, err := load.Parse(header); err == nil {
			samples[node] = s
		}
	}
	o.samples = samples
}
