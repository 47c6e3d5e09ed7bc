//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

func init() { cases["cold"] = playCold }

// Cold start of the site's services, and the bound of the rule.
const (
	coldPerSecond = 19.0
	coldBound     = coldPerSecond*1.5 + 5
	coldStart     = 3 * time.Second
	heartbeat     = 1500 * time.Millisecond
)

// playCold kills the process beside a server some times, each while the server is cold after its
// start, and starts it again a tenth of a second later.
func playCold(e *env) []string {
	s := newStore(e)
	s.put("config/main", `{"version":"r5","routes":[{"name":"view","host":"h","pathPrefix":"/view/","kind":"idempotent","timeoutS":2,"targetLatencyS":0.5,"priority":1,"service":"viewer","maxAttempts":2}],`+
		`"services":[{"name":"viewer","healthCheckPath":"/health","maxConnections":260,"coldStartS":3,"coldPerS":19},{"name":"archive","healthCheckPath":"/health","maxConnections":260,"coldStartS":3,"coldPerS":19}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15}}`)
	var nodes []*node
	for i, service := range []string{"viewer", "archive", "archive"} {
		n := e.newNode(fmt.Sprintf("n%d", i), []string{"za", "zb", "zc"}[i], service, s.address)
		n.start()
		nodes = append(nodes, n)
		if i > 0 {
			e.startServer(n, fmt.Sprintf("i-%d", i), 18, 20*time.Millisecond)
		}
	}
	awaitReady(nodes...)
	time.Sleep(3 * time.Second)
	c := &client{env: e}
	var group sync.WaitGroup
	group.Go(func() {
		c.load(300, time.Now().Add(80*time.Second), request{method: "GET", path: "/view/1", timeout: 2 * time.Second}, func() []*node { return nodes }, &group)
	})
	var violations []string
	for round := range 14 {
		server := e.startColdServer(nodes[0], fmt.Sprintf("i-0-%d", round), 18, 100*time.Millisecond, coldStart, heartbeat)
		wait := 1100*time.Millisecond + rand.N(250*time.Millisecond)
		time.Sleep(wait)
		if e.trouble {
			nodes[0].kill()
			e.log("node n0 is killed %.2f s after the start of %s", wait.Seconds(), server.instance)
			time.Sleep(100 * time.Millisecond)
			nodes[0].start()
		}
		time.Sleep(coldStart - wait)
		server.end()
		violations = append(violations, judgeCold(e, c, server)...)
		time.Sleep(2 * time.Second)
	}
	group.Wait()
	return violations
}

// judgeCold finds the second in which a cold server got the most requests that were sent in it.
func judgeCold(e *env, c *client, s *server) []string {
	type pair struct{ sent, ran time.Time }
	sent := c.sentTimes()
	var runs []pair
	for _, r := range s.allRuns() {
		if at, ok := sent[r.id]; ok && r.at.Before(time.UnixMilli(s.born).Add(coldStart)) {
			runs = append(runs, pair{sent: at, ran: r.at})
		}
	}
	slices.SortFunc(runs, func(a, b pair) int { return a.sent.Compare(b.sent) })
	most := 0
	for i := range runs {
		n := 0
		for _, r := range runs[i:] {
			if !r.ran.After(runs[i].sent.Add(time.Second)) {
				n++
			}
		}
		most = max(most, n)
	}
	e.log("server %s got at most %d requests in a second while it was cold, of %d", s.instance, most, len(runs))
	if float64(most) <= coldBound {
		return nil
	}
	return []string{fmt.Sprintf("FAILBACK: server %s got %d requests in a second while it was cold, %.1f are allowed", s.instance, most, coldBound)}
}
