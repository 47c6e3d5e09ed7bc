//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["departure"] = playDeparture }

// Bounds of a small site.
const (
	drainTime    = 2 * time.Second
	stableWindow = 3 * time.Second
)

// viewConfig is a config with one route to one service.
const viewConfig = `{"version":"r5","routes":[{"name":"view","host":"h","pathPrefix":"/view/","kind":"idempotent","timeoutS":2,"targetLatencyS":0.5,"priority":1,"service":"viewer","maxAttempts":2}],` +
	`"services":[{"name":"viewer","healthCheckPath":"/health","maxConnections":200,"coldStartS":0,"coldPerS":0}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15}}`

// playDeparture lets the store go back to a copy that lacks the record of the departures beside
// a node. Later another server leaves there, and all nodes lose power after the acknowledgement.
// A status report that the server sent before arrives late.
//
// TROUBLE=kill leaves the drill out, so that it shows which disruption matters.
func playDeparture(e *env) []string {
	drill := e.trouble && os.Getenv("TROUBLE") != "kill"
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
	first := e.startServer(nodes[0], "i-0-a", 40, 20*time.Millisecond)
	awaitReady(nodes...)
	time.Sleep(4 * time.Second)

	copied := time.Now()
	time.Sleep(100 * time.Millisecond)
	if !first.leave() {
		panic("the first server got no acknowledgement")
	}
	e.log("server %s: its leaving is acknowledged", first.instance)
	time.Sleep(drainTime + 500*time.Millisecond)
	first.end()
	second := e.startServer(nodes[0], "i-0-b", 40, 20*time.Millisecond)
	time.Sleep(time.Second)
	value, _ := s.has("vtdepartures/n0")
	e.log("the store holds of the departures beside n0: %q", value)
	if drill {
		s.setDown(true)
		e.log("store: down for a drill")
		time.Sleep(600 * time.Millisecond)
		s.goBack(copied)
		s.setDown(false)
		s.put("config/main", viewConfig)
		e.log("store: back from a copy that is %.1f s old", time.Since(copied).Seconds())
	}
	time.Sleep(8 * time.Second)
	value, _ = s.has("vtdepartures/n0")
	e.log("the store holds of the departures beside n0: %q", value)

	late := second.nextReport("ready")
	sentAt := time.Now()
	time.Sleep(50 * time.Millisecond)
	if !second.leave() {
		panic("the second server got no acknowledgement")
	}
	acked := time.Now()
	e.log("server %s: its leaving is acknowledged", second.instance)
	value, _ = s.has("vtdepartures/n0")
	e.log("the store holds of the departures beside n0: %q", value)
	restarted := e.started
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
		restarted = time.Now()
	}
	for !second.send(late) {
		if time.Since(sentAt) > 10*time.Second {
			panic("the late report was not accepted")
		}
		time.Sleep(100 * time.Millisecond)
	}
	e.log("a report that server %s sent %.1f s ago, before it left, arrives", second.instance, time.Since(sentAt).Seconds())
	awaitReady(nodes...)
	c := &client{env: e}
	var group sync.WaitGroup
	c.load(40, acked.Add(9*time.Second), request{method: "GET", path: "/view/1", timeout: 2 * time.Second}, func() []*node { return nodes[1:] }, &group)
	group.Wait()
	second.end()

	return judgeDrain(e, c, second, acked, restarted.Add(stableWindow))
}

// judgeDrain counts the requests that a server ran later than drainS after its leaving was
// acknowledged, of those that clients sent when the machines were in touch.
func judgeDrain(e *env, c *client, s *server, acked, inTouch time.Time) []string {
	sent := c.sentTimes()
	tooLate := 0
	var first serverRun
	for _, r := range s.allRuns() {
		if !r.at.After(acked.Add(drainTime)) || !sent[r.id].After(inTouch) {
			continue
		}
		if tooLate == 0 {
			first = r
		}
		tooLate++
	}
	e.log("server %s ran %d requests later than drainS after the acknowledgement, from machines in touch", s.instance, tooLate)
	if tooLate == 0 {
		return nil
	}
	return []string{fmt.Sprintf("DRAIN: server %s ran %d requests later than %v after its leaving was acknowledged, the first one %s after %.1f s",
		s.instance, tooLate, drainTime, first.id, first.at.Sub(acked).Seconds())}
}
