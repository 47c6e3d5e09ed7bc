//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pipelined"] = playPipelined }

// linkDelay is the delay of the link between clients and their node, one way.
const linkDelay = time.Millisecond

// pair is two requests of a client on one connection, of which the second one was sent before
// the answer to the first one came.
type pair struct {
	first, second     string
	firstOK, secondOK bool
	// sentBefore is set if the second request was sent before the first answer began to arrive.
	sentBefore bool
	closed     bool // the answer to the first one closed the connection
}

// playPipelined stops a node as planned while clients send further requests on a connection
// before the first one is answered.
func playPipelined(e *env) []string {
	s := newStore(e)
	s.put("config/main", viewConfig)
	var nodes []*node
	var servers []*server
	for i := range 3 {
		n := e.newNode(fmt.Sprintf("n%d", i), []string{"za", "zb", "zc"}[i%3], "viewer", s.address)
		n.start()
		nodes = append(nodes, n)
		servers = append(servers, e.startServer(n, fmt.Sprintf("i-%d", i), 60, 100*time.Millisecond))
	}
	awaitReady(nodes...)
	time.Sleep(3 * time.Second)
	go func() { // the platform's readiness checks
		for {
			nodes[0].ready()
			time.Sleep(time.Second)
		}
	}()
	link := e.startDelay(nodes[0].callers, linkDelay)
	var mu sync.Mutex
	var pairs []*pair
	var group sync.WaitGroup
	count := 0
	begin := time.Now()
	if e.trouble {
		time.AfterFunc(time.Second, func() {
			e.log("node n0: SIGTERM")
			nodes[0].signal(syscall.SIGTERM)
		})
	}
	for time.Since(begin) < 2500*time.Millisecond {
		time.Sleep(20 * time.Millisecond)
		count++
		p := &pair{first: fmt.Sprintf("a%04d", count), second: fmt.Sprintf("b%04d", count)}
		mu.Lock()
		pairs = append(pairs, p)
		mu.Unlock()
		group.Go(func() { e.sendPair(link, p) })
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	ran := map[string]time.Time{}
	for _, srv := range servers {
		for _, r := range srv.allRuns() {
			ran[r.id] = r.at
		}
	}
	var violations []string
	for _, p := range pairs {
		at, ok := ran[p.second]
		if ok && !p.secondOK && p.closed && p.sentBefore {
			violations = append(violations, fmt.Sprintf("LOST: %s was passed on to a server at %.3f s, although the answer to %s had closed its connection, and got no answer", p.second, at.Sub(e.started).Seconds(), p.first))
		}
	}
	return violations
}

// sendPair sends the two requests of a pair over a connection of its own.
func (e *env) sendPair(link string, p *pair) {
	c, err := net.Dial("tcp4", link)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	write := func(id string) {
		e.log("client sends %s", id)
		_, _ = io.WriteString(c, "GET /view/"+id+" HTTP/1.1\r\nHost: h\r\nRequest-Id: "+id+"\r\nRequest-Timeout-Ms: 2000\r\n\r\n")
	}
	write(p.first)
	reader := bufio.NewReader(c)
	arrived := make(chan struct{})
	go func() {
		_, _ = reader.Peek(1) // an error shows when the answer is read
		close(arrived)
	}()
	select { // the answer is due after the work of the server and the way there and back
	case <-arrived:
		return
	case <-time.After(100*time.Millisecond + rand.N(4*linkDelay)):
	}
	write(p.second)
	select {
	case <-arrived:
	default:
		p.sentBefore = true
	}
	<-arrived
	read := func(id string) (ok, closes bool) {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return false, true
		}
		_, err = io.Copy(io.Discard, response.Body)
		e.log("client got %d for %s, the connection closes: %t", response.StatusCode, id, response.Close)
		return err == nil, response.Close
	}
	p.firstOK, p.closed = read(p.first)
	if !p.firstOK || p.closed {
		return
	}
	p.secondOK, _ = read(p.second)
}
