//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["watchers"] = playWatchers }

// Bounds of a small site.
const configApply = 2 * time.Second

// movedConfig is a config whose only route leads to a service.
func movedConfig(version int, service string) string {
	return fmt.Sprintf(`{"version":"r%d","routes":[{"name":"view","host":"h","pathPrefix":"/view/","kind":"idempotent","timeoutS":2,"targetLatencyS":0.5,"priority":1,"service":%q,"maxAttempts":2}],`+
		`"services":[{"name":"viewer","healthCheckPath":"/health","maxConnections":200,"coldStartS":0,"coldPerS":0},{"name":"archive","healthCheckPath":"/health","maxConnections":200,"coldStartS":0,"coldPerS":0}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15}}`, version, service)
}

// playWatchers kills the processes that watch the store for the others, all at the same moment,
// and moves the route to another service right after that. Then it does so again.
func playWatchers(e *env) []string {
	s := newStore(e)
	version, services := 5, []string{"viewer", "archive"}
	s.put("config/main", movedConfig(version, services[0]))
	var nodes []*node
	var servers []*server
	for i := range 8 {
		n := e.newNode(fmt.Sprintf("n%d", i), []string{"za", "zb", "zc"}[i%3], services[i%2], s.address)
		n.start()
		nodes = append(nodes, n)
		servers = append(servers, e.startServer(n, fmt.Sprintf("i-%d", i), 40, 10*time.Millisecond))
	}
	awaitReady(nodes...)
	time.Sleep(6 * time.Second)
	c := &client{env: e}
	var violations []string
	for round := range 3 {
		e.log("round %d", round)
		var killed, calm []*node
		for _, n := range nodes {
			if n.watches() {
				killed = append(killed, n)
			} else {
				calm = append(calm, n)
			}
		}
		if e.trouble {
			for _, n := range killed {
				n.signal(syscall.SIGKILL)
				e.log("node %s is killed", n.name)
			}
		}
		time.Sleep(50 * time.Millisecond)
		version += 2
		to := services[(round+1)%2]
		s.put("config/main", movedConfig(version, to))
		acked := time.Now()
		e.log("config r%d is acknowledged: the route leads to %s", version, to)
		var group sync.WaitGroup
		if e.trouble {
			group.Go(func() {
				time.Sleep(500 * time.Millisecond)
				for _, n := range killed {
					<-n.ended
					n.start()
				}
			})
		}
		c.load(100, acked.Add(4*time.Second), request{method: "GET", path: "/view/1", timeout: 2 * time.Second}, func() []*node { return calm }, &group)
		group.Wait()
		violations = append(violations, judgeConfig(e, c, servers, to, version, acked)...)
		time.Sleep(6 * time.Second)
	}
	return violations
}

// judgeConfig counts the requests that were sent later than configApplyS after the
// acknowledgement of a config and were run by the service of the one before.
func judgeConfig(e *env, c *client, servers []*server, to string, version int, acked time.Time) []string {
	sent := c.sentTimes()
	stale := 0
	last := acked
	for _, s := range servers {
		for _, r := range s.allRuns() {
			if s.service == to || r.at.Before(acked) {
				continue
			}
			last = later(last, sent[r.id])
			if sent[r.id].After(acked.Add(configApply)) {
				stale++
			}
		}
	}
	e.log("the last request that the service before ran was sent %.2f s after the acknowledgement", last.Sub(acked).Seconds())
	if stale == 0 {
		return nil
	}
	return []string{fmt.Sprintf("CONFIG: %d requests that were sent later than %v after the acknowledgement of r%d were run by the service before, the last one after %.2f s", stale, configApply, version, last.Sub(acked).Seconds())}
}

// watches reports whether the node's log says that it watches the store for the others.
func (n *node) watches() bool {
	data, err := os.ReadFile(filepath.Join(n.env.tmp, n.name+".log"))
	check(err)
	active := false
	for line := range strings.Lines(string(data)) {
		var event struct {
			Event  string `json:"event"`
			Active bool   `json:"active"`
		}
		if json.Unmarshal([]byte(line), &event) == nil && event.Event == "store_role" {
			active = event.Active
		}
		if event.Event == "start" {
			active = false
		}
	}
	return active
}
