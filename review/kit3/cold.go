package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["cold"], services["cold"] = coldCase, []string{"entry", "front", "front"} }

const (
	coldStart = 3 * time.Second
	coldBound = 19*1.5 + 5 // requests in a second that a cold server may get
	coldTurns = 6
)

// coldCase: the time of day jumps back after a server has started and before the node beside it
// starts again. The server is cold. The kills of the node are the same with TROUBLE=0.
func coldCase(d *deployment, trouble bool) (bool, error) {
	if err := d.startAll(); err != nil {
		return false, err
	}
	ahead := time.Duration(0)
	if trouble {
		ahead = step
		d.record.both("disruption: the time of day beside n0 is %v ahead as its server starts, and jumps back before n0 starts again", step)
	}
	n := d.nodes[0]
	stop := make(chan struct{})
	var senders sync.WaitGroup
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	for k := range 2 {
		c := newConsumer(d.nodes[1+k], d.record)
		senders.Go(func() {
			ticker := time.NewTicker(time.Second / 75)
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				id := fmt.Sprintf("c-%d-%d", k, i)
				senders.Go(func() {
					a := c.send("GET", fmt.Sprintf("/safe/%d", i), id, 500*time.Millisecond, nil)
					mu.Lock()
					defer mu.Unlock()
					sentAt[id] = a.sent
				})
			}
		})
	}
	var servers []*server
	for turn := range coldTurns {
		s := newServer(d, n, fmt.Sprintf("i-n0-%d", turn), time.Now().Add(ahead))
		s.work, s.cold = 10*time.Millisecond, time.Now().Add(coldStart)
		if err := s.start(); err != nil {
			return false, err
		}
		servers = append(servers, s)
		time.Sleep(1150 * time.Millisecond)
		_ = n.process.Process.Kill()
		d.record.write("platform: node n0 killed")
		time.Sleep(200 * time.Millisecond)
		if err := d.restartNode(n); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second)
		s.crash("crash")
		time.Sleep(2 * time.Second)
	}
	close(stop)
	senders.Wait()
	broken := 0
	for _, s := range servers {
		var runs []time.Time
		for _, a := range s.reached() {
			if a.at.Before(s.cold) {
				runs = append(runs, a.at)
			}
		}
		most := 0
		ids := s.reached()
		for i, end := range runs {
			count := 0
			for j := i; j >= 0 && end.Sub(runs[j]) < time.Second; j-- {
				if end.Sub(sentAt[ids[j].id]) < time.Second {
					count++
				}
			}
			most = max(most, count)
		}
		if float64(most) > coldBound {
			broken++
		}
		d.record.both("server %s got %d requests while it was cold, at most %d in a second; allowed %.1f", s.id, len(runs), most, coldBound)
	}
	d.record.both("bound exceeded in %d of %d turns", broken, coldTurns)
	return broken == 0, nil
}
