//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["outage"] = playOutage }

// storeOutage is how long the store is down, the length that the site files name.
const storeOutage = 4500 * time.Millisecond

// playOutage lets a server leave while the store is down, and kills all nodes after the
// acknowledgement. A status report that the server sent before arrives late.
func playOutage(e *env) []string {
	s := newStore(e)
	s.put("config/main", viewConfig)
	var nodes []*node
	for i := range 4 {
		n := e.newNode(fmt.Sprintf("n%d", i), []string{"za", "zb", "zc"}[i%3], "viewer", s.address)
		n.start()
		nodes = append(nodes, n)
		if i > 0 {
			e.startServer(n, fmt.Sprintf("i-%d", i), 40, 20*time.Millisecond)
		}
	}
	leaving := e.startServer(nodes[0], "i-0", 40, 20*time.Millisecond)
	awaitReady(nodes...)
	time.Sleep(5 * time.Second)
	calmFrom := time.Now()
	if e.trouble {
		s.setDown(true)
		e.log("store: down")
		time.AfterFunc(storeOutage, func() {
			s.setDown(false)
			e.log("store: back")
		})
		calmFrom = time.Now().Add(storeOutage)
		time.Sleep(500 * time.Millisecond)
	}
	late := leaving.nextReport("ready")
	sentAt := time.Now()
	time.Sleep(50 * time.Millisecond)
	if !leaving.leave() {
		panic("the server got no acknowledgement")
	}
	acked := time.Now()
	e.log("server %s: its leaving is acknowledged", leaving.instance)
	if e.trouble {
		time.Sleep(100 * time.Millisecond)
		for _, n := range nodes {
			n.signal(syscall.SIGKILL)
		}
		e.log("all nodes are killed")
		for _, n := range nodes {
			<-n.ended
		}
		time.Sleep(500 * time.Millisecond)
		for _, n := range nodes {
			n.start()
		}
		calmFrom = later(calmFrom, time.Now())
	}
	for !leaving.send(late) {
		if time.Since(sentAt) > 10*time.Second {
			panic("the late report was not accepted")
		}
		time.Sleep(100 * time.Millisecond)
	}
	e.log("a report that server %s sent %.1f s ago, before it left, arrives", leaving.instance, time.Since(sentAt).Seconds())
	awaitReady(nodes...)
	c := &client{env: e}
	var group sync.WaitGroup
	c.load(40, acked.Add(11*time.Second), request{method: "GET", path: "/view/1", timeout: 2 * time.Second}, func() []*node { return nodes[1:] }, &group)
	group.Wait()
	leaving.end()
	return judgeDrain(e, c, leaving, acked, calmFrom.Add(stableWindow))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
