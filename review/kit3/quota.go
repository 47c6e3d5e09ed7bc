package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["quota"], services["quota"] = quotaCase, []string{"entry", "entry", "entry", "entry", "entry", "entry"}
}

const (
	tenantRate   = 40.0
	tenantBurst  = 40.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// perNode is how many requests of the tenant a node gets in a second, six times the
	// allotment over six nodes.
	perNode = 40
	// outage is how long the store turns machines away.
	outage = 9 * time.Second
)

// tenantConfig holds a tenant for which n0 and n1 come first in the order in which the nodes
// coordinate it.
var tenantConfig = strings.TrimSuffix(strings.ReplaceAll(config, `"maxAttempts":2}`, `"maxAttempts":2,"public":false}`), "}") +
	fmt.Sprintf(`,"tenants":[{"name":"firm-27","apiKeys":["key-of-firm-27"],"priority":1,"ratePerS":%g,"burst":%g}]}`, tenantRate, tenantBurst)

// link passes connections of one machine to the store on, or turns them away.
type link struct {
	listener net.Listener
	to       string
	away     atomic.Bool
	mu       sync.Mutex
	open     map[net.Conn]bool
}

func newLink(listen, to string) (*link, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, to: to, open: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k, nil
}

func (k *link) serve(in net.Conn) {
	defer in.Close()
	if k.away.Load() {
		_ = in.(*net.TCPConn).SetLinger(0) // a reset
		return
	}
	out, err := net.Dial("tcp", k.to)
	if err != nil {
		return
	}
	defer out.Close()
	k.mu.Lock()
	k.open[in] = true
	k.mu.Unlock()
	go func() { _, _ = io.Copy(out, in); out.Close() }()
	_, _ = io.Copy(in, out)
	k.mu.Lock()
	delete(k.open, in)
	k.mu.Unlock()
}

// turnAway resets the open connections and all that come until turnAway(false).
func (k *link) turnAway(away bool) {
	k.away.Store(away)
	k.mu.Lock()
	defer k.mu.Unlock()
	if away {
		for c := range k.open {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
}

// quotaCase: the store turns two machines away, on which the processes are killed meanwhile.
// TROUBLE=away and TROUBLE=kill leave out the other half of the disruption.
func quotaCase(d *deployment, trouble bool) (bool, error) {
	away, kill := trouble && os.Getenv("TROUBLE") != "kill", trouble && os.Getenv("TROUBLE") != "away"
	d.contracts = `,"tenants","quota"`
	var links []*link
	for _, n := range d.nodes {
		k, err := newLink(n.link, d.store)
		if err != nil {
			return false, err
		}
		defer k.listener.Close()
		links = append(links, k)
		n.store = n.link
		if err := os.WriteFile(n.file, []byte(d.settings(n, true)), 0o600); err != nil {
			return false, err
		}
	}
	if err := d.startAllWith(tenantConfig); err != nil {
		return false, err
	}
	var servers []*server
	for _, n := range d.nodes {
		s := newServer(d, n, "i-"+n.name, time.Now())
		s.work = 20 * time.Millisecond
		if err := s.start(); err != nil {
			return false, err
		}
		defer s.crash("end of the case")
		servers = append(servers, s)
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var senders sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	sentAt := map[string]time.Time{}
	for _, n := range d.nodes {
		c := newConsumer(n, d.record)
		c.key = "key-of-firm-27"
		senders.Go(func() {
			ticker := time.NewTicker(time.Second / perNode)
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				id := fmt.Sprintf("q-%s-%d", n.name, i)
				senders.Go(func() {
					a := c.send("GET", fmt.Sprintf("/safe/%d", i), id, time.Second, nil)
					mu.Lock()
					defer mu.Unlock()
					statuses[fmt.Sprintf("%s %d", n.name, a.status)]++
					sentAt[id] = a.sent
				})
			}
		})
	}
	time.Sleep(6 * time.Second)
	if away {
		d.record.both("disruption: for %v the store turns the machines of n0 and n1 away", outage)
		for _, k := range links[:2] {
			k.turnAway(true)
		}
	}
	time.Sleep(500 * time.Millisecond)
	if kill {
		d.record.both("disruption: the processes of n0 and n1 are killed, and started again 0.5 s later")
		for _, n := range d.nodes[:2] {
			_ = n.process.Process.Kill()
		}
	}
	time.Sleep(500 * time.Millisecond)
	if kill {
		for _, n := range d.nodes[:2] {
			if err := d.restartNode(n); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(outage - time.Second)
	for _, k := range links[:2] {
		k.turnAway(false)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	senders.Wait()
	return d.keptQuota(servers, sentAt, statuses), nil
}

// keptQuota checks the requests that were both sent and run in each span of quotaWindow.
func (d *deployment) keptQuota(servers []*server, sentAt map[string]time.Time, statuses map[string]int) bool {
	type run struct{ sent, ran time.Time }
	var runs []run
	for _, s := range servers {
		for _, a := range s.reached() {
			if sent, ok := sentAt[a.id]; ok && a.ran {
				runs = append(runs, run{sent, a.at})
			}
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return a.ran.Compare(b.ran) })
	most, at := 0, time.Time{}
	for i := range runs {
		end := runs[i].ran
		count := 0
		for j := i; j >= 0 && end.Sub(runs[j].ran) < quotaWindow; j-- {
			if end.Sub(runs[j].sent) < quotaWindow {
				count++
			}
		}
		if count > most {
			most, at = count, end
		}
	}
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
	d.record.both("answers by node and status: %v", statuses)
	d.record.both("most requests of the tenant that were sent and ran in %v: %d, until %.1f s; allowed %.0f", quotaWindow, most, at.Sub(d.record.start).Seconds(), allowed)
	return float64(most) <= allowed
}
