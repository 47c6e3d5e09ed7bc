package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"verbenatrestle/platform"
)

// Callers drive load at nodes over connections that stay open until the node
// closes them.
type Callers struct {
	// Nodes are the addresses for callers.
	Nodes []string
	// Services are the services that are asked; those that begin with "once"
	// must not run a request twice.
	Services []string
	// RequestsPerSecond is the rate of all callers together.
	RequestsPerSecond float64
	// Timeout is how long a caller waits.
	Timeout time.Duration
	// IDPrefix begins each id, so that runs can be told apart.
	IDPrefix string

	mu  sync.Mutex
	out io.Writer
}

// idleConnections bounds the connections to a node that are kept open.
const idleConnections = 32

// Run sends requests until the context ends, and writes what was told.
func (c *Callers) Run(ctx context.Context, out io.Writer) {
	c.out = out
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idleConnections, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.RequestsPerSecond))
	defer ticker.Stop()
	var group sync.WaitGroup
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			group.Wait()
			return
		case <-ticker.C:
		}
		group.Go(func() { c.one(client, i) })
	}
}

// one sends one request. It is never sent again: http.Transport repeats a
// request by itself only if it has no body, so each has one.
func (c *Callers) one(client *http.Client, i int) {
	service := c.Services[rand.IntN(len(c.Services))]
	node := c.Nodes[rand.IntN(len(c.Nodes))]
	id := fmt.Sprintf("%s-%d", c.IDPrefix, i)
	path := "/" + service + "/" + id
	body := strings.Repeat("x", rand.IntN(200)+1)
	told := CallerRecord{ID: id, NonIdempotent: strings.HasPrefix(service, "once"), ExpectedBody: "POST " + path + " " + body, Node: node}
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, io.MultiReader(strings.NewReader(body)))
	if err != nil {
		told.Failure = err.Error()
		c.write(&told, start)
		return
	}
	request.Host = "h"
	request.ContentLength = int64(len(body))
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderTimeout, fmt.Sprint(c.Timeout.Milliseconds()))
	c.send(client, request, &told)
	c.write(&told, start)
}

func (c *Callers) send(client *http.Client, request *http.Request, told *CallerRecord) {
	response, err := client.Do(request)
	if err != nil {
		told.Failure = err.Error()
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		told.Failure = err.Error()
		return
	}
	told.Status, told.Body = response.StatusCode, string(body)
	told.Signature = response.Header.Get(platform.HeaderSignature)
	told.ResponseID = response.Header.Get(platform.HeaderRequestID)
}

func (c *Callers) write(told *CallerRecord, start time.Time) {
	told.EndMillis = time.Now().UnixMilli()
	told.DurationMillis = time.Since(start).Milliseconds()
	var line bytes.Buffer
	if err := json.NewEncoder(&line).Encode(told); err != nil {
		return // strings and numbers always encode
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.out.Write(line.Bytes()) // a record that is lost shows as an unasked run
}
