package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// callers sends requests at a steady rate, each attempt once under an id of its own.
type callers struct {
	env     *env
	perS    float64
	timeout time.Duration
	// writes is the share of requests that must not run twice.
	writes float64

	mu      sync.Mutex
	sent    map[string]attempt
	clients map[*node]*http.Client
	counter atomic.Int64
}

// attempt is a request as its caller saw it.
type attempt struct {
	at     time.Time
	node   *node
	method string
	// status is zero without an answer.
	status int
	err    error
	done   bool
}

func newCallers(e *env, perS float64) *callers {
	return &callers{env: e, perS: perS, timeout: 2 * time.Second, sent: make(map[string]attempt), clients: make(map[*node]*http.Client)}
}

// run sends requests until stop is closed, and waits for the answers.
func (c *callers) run(stop <-chan struct{}) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.perS))
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		var in []*node
		for _, n := range c.env.nodes {
			if n.isIn() {
				in = append(in, n)
			}
		}
		if len(in) == 0 {
			continue
		}
		method, path := http.MethodGet, "/read/"
		if rand.Float64() < c.writes {
			method, path = http.MethodPost, "/write/"
		}
		group.Go(func() { c.send(in[rand.IntN(len(in))], method, path, rand.IntN(400)+1) })
	}
}

// client returns the client with the kept connections to a node.
func (c *callers) client(n *node) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients[n] == nil {
		c.clients[n] = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}}
	}
	return c.clients[n]
}

// send sends one request, with a body if it is a write.
func (c *callers) send(n *node, method, path string, bodyBytes int) attempt {
	id := fmt.Sprintf("req-%d", c.counter.Add(1))
	a := attempt{at: time.Now(), node: n, method: method}
	c.mu.Lock()
	c.sent[id] = a
	c.mu.Unlock()
	c.env.record.line("client sends %s %s%s to %s", method, path, id, n.name)
	a.status, a.err = c.exchange(n, method, path, id, bodyBytes)
	a.done = true
	c.mu.Lock()
	c.sent[id] = a
	c.mu.Unlock()
	if a.err != nil {
		c.env.record.line("client gets no answer to %s: %v", id, a.err)
	} else {
		c.env.record.line("client gets %d to %s", a.status, id)
	}
	return a
}

func (c *callers) exchange(n *node, method, path, id string, bodyBytes int) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var body io.Reader
	if method != http.MethodGet {
		// A reader of its own type keeps the client from sending the request twice.
		body = io.MultiReader(bytes.NewReader(make([]byte, bodyBytes)))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path+id, body)
	if err != nil {
		return 0, err
	}
	request.Host = "records.example"
	if body != nil {
		request.ContentLength = int64(bodyBytes)
	}
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Timeout-Ms", strconv.FormatInt(c.timeout.Milliseconds(), 10))
	response, err := c.client(n).Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

// sentAt returns when a request was sent, and to which node.
func (c *callers) sentAt(id string) (attempt, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.sent[id]
	return a, ok
}

// tally counts the answers by status; "none" are those without one.
func (c *callers) tally() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int)
	for _, a := range c.sent {
		name := strconv.Itoa(a.status)
		if a.status == 0 {
			name = "none"
		}
		counts[name]++
	}
	return counts
}

// configText is a configuration with an idempotent and a non-idempotent route to a service.
func configText(service string) []byte {
	route := func(name, prefix, kind string) string {
		return fmt.Sprintf(`{"name":%q,"host":"records.example","pathPrefix":%q,"kind":%q,"timeoutS":2,"targetLatencyS":0.5,"priority":1,"service":%q,"maxAttempts":2}`, name, prefix, kind, service)
	}
	return fmt.Appendf(nil, `{"version":"r3","routes":[%s,%s],"services":[{"name":%q,"healthCheckPath":"/health","maxConnections":260,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":19.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"baseVersion":""}`,
		route("read", "/read/", "idempotent"), route("write", "/write/", "non_idempotent"), service)
}

// deploy starts the store, the nodes and one target beside each node, all of one service.
func (e *env) deploy(nodes int, service string, configure func(int, *target)) ([]*target, error) {
	if err := e.startStore(); err != nil {
		return nil, err
	}
	e.store.put("config", "main", configText(service))
	for range nodes {
		if _, err := e.addNode(service); err != nil {
			return nil, err
		}
	}
	var targets []*target
	for i, n := range e.nodes {
		if err := n.start(); err != nil {
			return nil, err
		}
		t, err := e.startTarget(n, fmt.Sprintf("i-%d", i), func(t *target) { configure(i, t) })
		if err != nil {
			return nil, err
		}
		targets = append(targets, t)
	}
	return targets, e.awaitReady(10 * time.Second)
}
