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
	"slices"
	"strings"
	"sync"
	"time"

	"verbenatrestle/platform"
	"verbenatrestle/platform/standin"
)

// Callers sends requests to nodes over connections that stay open until the node
// closes them. Its fields must not be changed after Run was called.
type Callers struct {
	// Nodes lists the addresses, "IP:port", on which nodes accept callers.
	Nodes []string
	// NodeServices holds the service of each of Nodes by its settings, in the same order. It is
	// empty if they are not known.
	NodeServices []string
	// Services lists the services that requests are sent to. The requests of those
	// whose names begin with "once" are non-idempotent.
	Services []string
	// RequestsPerSecond is the rate of all requests together.
	RequestsPerSecond float64
	// Timeout is how long a caller waits for a response.
	Timeout time.Duration
	// IDPrefix is the start of each request ID. It distinguishes the requests of
	// different soaks.
	IDPrefix string
	// AckedConfigs names the file of AckedConfig records, by which the routes of single
	// versions are requested from each node. Empty means that none are.
	AckedConfigs string
	// PoisonInterval is the interval of requests that crash the targets that run them.
	// Zero means that there are none.
	PoisonInterval time.Duration

	// mu guards out and recent.
	mu  sync.Mutex
	out io.Writer
	// recent holds the latest acknowledged configurations, the latest one first.
	recent []probedConfig
}

// maxIdleConnections is the maximum number of idle connections to one node.
const maxIdleConnections = 32

// Run sends requests until the context ends, waits for their responses, and
// writes a CallerRecord for each as a line of JSON.
func (c *Callers) Run(ctx context.Context, out io.Writer) {
	c.out = out
	var group sync.WaitGroup
	if c.AckedConfigs != "" {
		group.Go(func() { c.probeConfigs(ctx) })
	}
	if c.PoisonInterval > 0 {
		group.Go(func() { c.sendPoison(ctx) })
	}
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	group.Go(func() { c.sendBeyondQuota(ctx, client) })
	group.Go(func() { c.sendEarlyAnswered(ctx, client) })
	group.Go(func() { c.sendBrokenAnswered(ctx, client) })
	group.Go(func() { c.sendAmbiguous(ctx) })
	group.Go(func() { c.sendPipelined(ctx) })
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.RequestsPerSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			group.Wait()
			return
		case <-ticker.C:
		}
		group.Go(func() { c.sendRequest(client, i) })
	}
}

// sendRequest sends one request exactly once and records the response.
func (c *Callers) sendRequest(client *http.Client, i int) {
	record := CallerRecord{ID: fmt.Sprintf("%s-%d", c.IDPrefix, i), Node: c.Nodes[rand.IntN(len(c.Nodes))]}
	c.sendToService(client, c.chooseIdentity(&record), record)
}

// sendToService sends a request to a random service, or on the public route, exactly once and
// records the response.
func (c *Callers) sendToService(client *http.Client, identity identity, record CallerRecord) {
	service := c.Services[rand.IntN(len(c.Services))]
	path := "/" + service + "/"
	if record.Public {
		path = standin.PublicPath
	} else {
		record.NonIdempotent = strings.HasPrefix(service, "once")
	}
	c.send(client, chooseMessage(path+record.ID, service, record.ID), identity, record)
}

// post sends a request with the method POST to record.Node and writes the record with its
// response.
func (c *Callers) post(client *http.Client, path, body string, identity identity, record CallerRecord) {
	c.send(client, message{method: http.MethodPost, path: path, body: body}, identity, record)
}

// send sends a request to record.Node and writes the record with its response.
func (c *Callers) send(client *http.Client, m message, identity identity, record CallerRecord) {
	record.Key, record.Organisation = identity.use, identity.holder
	record.ExpectedBody = summarize(m.text())
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	request, err := m.newRequest(record.Node)
	if err != nil {
		record.Failure = err.Error()
		c.write(&record, start)
		return
	}
	request.Host = "h"
	request.Header.Set(platform.HeaderRequestID, record.ID)
	request.Header.Set(platform.HeaderTimeout, fmt.Sprint(c.Timeout.Milliseconds()))
	identity.setHeaders(request.Header)
	c.exchange(client, request.WithContext(ctx), &record)
	c.write(&record, start)
}

func (c *Callers) exchange(client *http.Client, request *http.Request, record *CallerRecord) {
	response, err := client.Do(request)
	if err != nil {
		record.Failure = err.Error()
		return
	}
	record.setResponse(response)
}

// setResponse reads and closes the body of a response, and records the response.
func (r *CallerRecord) setResponse(response *http.Response) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.Failure = err.Error()
		return
	}
	r.Status, r.Body = response.StatusCode, summarize(string(body))
	r.Signature = response.Header.Get(platform.HeaderSignature)
	r.ResponseID = response.Header.Get(platform.HeaderRequestID)
}

// write completes the record of a request that was sent at start, and writes it.
func (c *Callers) write(record *CallerRecord, start time.Time) {
	if len(c.NodeServices) > 0 {
		record.NodeService = c.NodeServices[slices.Index(c.Nodes, record.Node)]
	}
	record.EndMillis = time.Now().UnixMilli()
	record.DurationMillis = time.Since(start).Milliseconds()
	var line bytes.Buffer
	if err := json.NewEncoder(&line).Encode(record); err != nil {
		return // not reached: strings and numbers always encode
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.out.Write(line.Bytes()) // if the request ran, a lost record shows up as the violation "unasked"
}
