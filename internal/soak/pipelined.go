package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"verbenatrestle/internal/wait"
	"verbenatrestle/platform"
)

const (
	// pipelinedInterval is the time between pairs of pipelined requests.
	pipelinedInterval = 25 * time.Millisecond
	// minPipelinedDelay and pipelinedSpread set the time from the first to the second request
	// of a pair. Many first responses come at about that time.
	minPipelinedDelay = 18 * time.Millisecond
	pipelinedSpread   = 8 * time.Millisecond
)

// sendPipelined sends pairs of requests until the context ends. The second one of a pair is sent
// on the same connection, without a wait for the first response.
func (c *Callers) sendPipelined(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; wait.For(ctx, pipelinedInterval); i++ {
		node := c.Nodes[rand.IntN(len(c.Nodes))]
		group.Go(func() { c.sendPair(node, fmt.Sprintf("%s-pipelined-%d", c.IDPrefix, i)) })
	}
}

// sendPair sends two requests to a node over a new connection, and closes it after the second
// response or one that announces the close.
func (c *Callers) sendPair(node, id string) {
	conn, err := net.DialTimeout("tcp4", node, time.Second)
	if err != nil {
		return // nothing was sent
	}
	defer conn.Close()
	start := time.Now()
	_ = conn.SetDeadline(start.Add(c.Timeout)) // reads fail on a closed connection
	first, second := c.pipelinedRecord(node, id+"-first"), c.pipelinedRecord(node, id+"-second")
	c.writePipelined(conn, &first)
	time.Sleep(minPipelinedDelay + rand.N(pipelinedSpread))
	secondStart := time.Now()
	c.writePipelined(conn, &second)
	reader := bufio.NewReader(conn)
	closes := readPipelined(reader, &first)
	c.write(&first, start)
	if closes {
		second.BehindClose = first.Status != 0
		second.Failure = "the response before closed the connection"
	} else {
		readPipelined(reader, &second)
	}
	c.write(&second, secondStart)
}

// pipelinedRecord returns the record of a request for the last service.
func (c *Callers) pipelinedRecord(node, id string) CallerRecord {
	identity := lastingIdentity(steadyOrganisation)
	m := message{method: http.MethodGet, path: "/" + c.Services[len(c.Services)-1] + "/" + id}
	return CallerRecord{ID: id, Node: node, Key: identity.use, Organisation: identity.holder, ExpectedBody: m.text()}
}

// writePipelined writes the request of a record. An error shows when its response is read.
func (c *Callers) writePipelined(conn net.Conn, record *CallerRecord) {
	request, err := http.NewRequest(http.MethodGet, "http://h/"+c.Services[len(c.Services)-1]+"/"+record.ID, nil)
	if err != nil {
		record.Failure = err.Error()
		return
	}
	request.Header.Set(platform.HeaderRequestID, record.ID)
	request.Header.Set(platform.HeaderTimeout, fmt.Sprint(c.Timeout.Milliseconds()))
	identity := lastingIdentity(steadyOrganisation)
	identity.setHeaders(request.Header)
	_ = request.Write(conn)
}

// readPipelined reads the response of a record, and reports whether the connection ends with it.
func readPipelined(reader *bufio.Reader, record *CallerRecord) (closes bool) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		record.Failure = err.Error()
		return true
	}
	record.setResponse(response)
	return response.Close
}
