//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	id       string
	sentAt   time.Time
	endedAt  time.Time
	status   int // 0 if no answer came
	body     string
	proof    string
	retryFor string
}

// client sends requests to nodes, each over a new connection.
type client struct {
	env *env

	mu      sync.Mutex
	count   int
	sent    map[string]time.Time
	answers []answer
}

// request is a request of a client.
type request struct {
	method, path, key, body string
	timeout                 time.Duration
}

// send sends a request with an id of its own and returns what came.
func (c *client) send(n *node, q request) answer {
	c.mu.Lock()
	c.count++
	id := fmt.Sprintf("q%06d", c.count)
	a := answer{id: id, sentAt: time.Now()}
	if c.sent == nil {
		c.sent = make(map[string]time.Time)
	}
	c.sent[id] = a.sentAt
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+n.callers+q.path, strings.NewReader(q.body))
	check(err)
	r.Host, r.Close = "h", true
	r.Header.Set("Request-Id", id)
	r.Header.Set("Request-Timeout-Ms", strconv.FormatInt(q.timeout.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("Key", q.key)
	}
	c.env.logAt(a.sentAt, "client sends %s to %s: %s %s", id, n.name, q.method, q.path)
	response, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		body, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if readErr == nil {
			a.status, a.body, a.proof = response.StatusCode, string(body), response.Header.Get("Response-Signature")
			a.retryFor = response.Header.Get("Retry-After")
		}
	}
	a.endedAt = time.Now()
	c.env.logAt(a.endedAt, "client got %d for %s", a.status, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return a
}

// load sends requests to nodes in turn at a rate, until the time is over. It does not wait for
// the answers.
func (c *client) load(perSecond float64, until time.Time, q request, nodes func() []*node, group *sync.WaitGroup) {
	interval := time.Duration(float64(time.Second) / perSecond)
	for i, next := 0, time.Now(); time.Now().Before(until); i, next = i+1, next.Add(interval) {
		time.Sleep(time.Until(next))
		to := nodes()
		if len(to) == 0 {
			continue
		}
		n := to[i%len(to)]
		group.Go(func() { c.send(n, q) })
	}
}

// sentTimes returns when each request was sent.
func (c *client) sentTimes() map[string]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.sent)
}
