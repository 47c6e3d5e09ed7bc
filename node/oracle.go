package node

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"verbenatrestle/connection/load"
)

const (
	// policyOracle is the policy that asks a service for the true load. Only
	// measurements use it, as the limit that no real policy passes.
	policyOracle = "oracle"
	// oracleAge is how old the truth may be when it is used.
	oracleAge = 200 * time.Microsecond
	// oracleTimeout bounds one question to the oracle.
	oracleTimeout = 100 * time.Millisecond
)

// oracle knows the true load of every target, from a service that measurements
// run.
type oracle struct {
	address string
	client  *http.Client

	mu      sync.Mutex
	at      time.Time
	samples map[string]load.Sample
}

func newOracle(address string) *oracle {
	return &oracle{address: address, client: &http.Client{Timeout: oracleTimeout}}
}

// truth implements balance.Truth.
func (o *oracle) truth(_, node string) (load.Sample, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.at) > oracleAge {
		o.ask()
	}
	s, ok := o.samples[node]
	return s, ok && s.State.Takes()
}

// ask reads the load of all targets: a JSON object of load headers by node.
func (o *oracle) ask() {
	o.at = time.Now()
	resp, err := o.client.Get(o.address)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var headers map[string]string
	if json.NewDecoder(resp.Body).Decode(&headers) != nil {
		return
	}
	samples := make(map[string]load.Sample, len(headers))
	for node, header := range headers {
		if s, err := load.Parse(header); err == nil {
			samples[node] = s
		}
	}
	o.samples = samples
}
