package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["reborn"], services["reborn"] = reborn, []string{"entry", "entry", "entry"}
	cases["left"], services["left"] = left, []string{"entry", "entry", "entry"}
}

const step = 2400 * time.Millisecond // by which a time of day jumps

const config = `{"version":"r1","routes":[
{"name":"safe","host":"front.example","pathPrefix":"/safe/","kind":"idempotent","timeoutS":8,"targetLatencyS":0.5,"priority":1,"service":"entry","maxAttempts":2},
{"name":"once","host":"front.example","pathPrefix":"/once/","kind":"non_idempotent","timeoutS":2,"targetLatencyS":0.5,"priority":1,"service":"entry","maxAttempts":2}],
"services":[{"name":"entry","healthCheckPath":"/health","maxConnections":260,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":19.0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

// load sends requests to all nodes, a third of them such that must not be repeated.
type load struct {
	record   *recorder
	stop     chan struct{}
	senders  sync.WaitGroup
	mu       sync.Mutex
	statuses map[string]int
	failed   map[string]int // the requests without a success, with their statuses
}

func startLoad(d *deployment) *load {
	l := &load{record: d.record, stop: make(chan struct{}), statuses: map[string]int{}, failed: map[string]int{}}
	for k := range 3 * len(d.nodes) {
		n := d.nodes[k%len(d.nodes)]
		c := newConsumer(n, d.record)
		l.senders.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				method, path := "GET", fmt.Sprintf("/safe/%d", i)
				if i%3 == 0 {
					method, path = "POST", fmt.Sprintf("/once/%d", i)
				}
				a := c.send(method, path, fmt.Sprintf("r-%s-%d-%d", n.name, k, i), 2*time.Second, nil)
				l.mu.Lock()
				l.statuses[fmt.Sprint(method, " ", a.status)]++
				if a.status != 200 {
					l.failed[a.id] = a.status
				}
				l.mu.Unlock()
			}
		})
	}
	return l
}

func (l *load) end() {
	close(l.stop)
	l.senders.Wait()
	l.record.both("answers: %v", l.statuses)
}

// newServer returns a server beside a node, of which it says that it started at born.
func newServer(d *deployment, n *node, id string, born time.Time) *server {
	return &server{id: id, born: born.UnixMilli(), node: n, record: d.record, slots: 18, work: 160 * time.Millisecond}
}

// startOthers starts the servers beside all nodes but the first.
func startOthers(d *deployment) (end func(), err error) {
	var servers []*server
	end = func() {
		for _, s := range servers {
			s.crash("end of the case")
		}
	}
	for _, n := range d.nodes[1:] {
		s := newServer(d, n, "i-"+n.name, time.Now())
		if err := s.start(); err != nil {
			return end, err
		}
		servers = append(servers, s)
	}
	return end, nil
}

// keptDrain reports whether no request reached a server later than drainS after the ack. From
// is when the machine is in touch.
func keptDrain(d *deployment, l *load, s *server, acked, from time.Time) bool {
	before, inTime, late, lost := 0, 0, 0, 0
	for _, a := range s.reached() {
		switch after := a.at.Sub(acked); {
		case after <= 0:
			before++
		case after <= drain || a.at.Before(from):
			inTime++
		default:
			late++
			if status, failed := l.failed[a.id]; failed {
				lost++
				d.record.write("request %s ran at server %s as it ended, and was answered %d", a.id, s.id, status)
			}
			if late <= 5 {
				d.record.both("request %s reached server %s %.3f s after the ack", a.id, s.id, after.Seconds())
			}
		}
	}
	d.record.both("requests at server %s: %d before the ack, %d within drainS after it or while its machine was not in touch, %d later, of which %d failed as the server ended", s.id, before, inTime, late, lost)
	return late == 0
}

// reborn: a server starts again under its id after the time of day has jumped back. It leaves
// much later, as the pages say.
func reborn(d *deployment, trouble bool) (bool, error) {
	if err := d.startAll(); err != nil {
		return false, err
	}
	ahead := time.Duration(0)
	if trouble {
		ahead = step
		d.record.both("disruption: the time of day beside n0 is %v ahead and jumps back before the server starts again", step)
	}
	end, err := startOthers(d)
	defer end()
	if err != nil {
		return false, err
	}
	n := d.nodes[0]
	first := newServer(d, n, "i-n0", time.Now().Add(ahead))
	if err := first.start(); err != nil {
		return false, err
	}
	l := startLoad(d)
	time.Sleep(700 * time.Millisecond)
	first.crash("crash")
	time.Sleep(700 * time.Millisecond)
	back := time.Now()
	second := newServer(d, n, "i-n0", time.Now())
	if err := second.start(); err != nil {
		return false, err
	}
	time.Sleep(9 * time.Second)
	second.state.Store("draining")
	if !second.tellState() {
		return false, fmt.Errorf("the server got no ack")
	}
	acked := time.Now()
	d.record.both("server i-n0 said that it is draining and got the ack of n0")
	time.Sleep(8 * time.Second)
	d.record.both("server i-n0 said that it is gone: answered %d", tell(n, "DELETE", second.id, nil))
	second.crash("exits as planned")
	time.Sleep(time.Second)
	l.end()
	return keptDrain(d, l, second, acked, back.Add(stableWindow)), nil
}

// left: the time of day jumps back after a server has started. The server then leaves with a
// DELETE alone and serves on for some time.
func left(d *deployment, trouble bool) (bool, error) {
	if err := d.startAll(); err != nil {
		return false, err
	}
	ahead := time.Duration(0)
	if trouble {
		ahead = step
		d.record.both("disruption: the time of day beside n0 is %v ahead when the server starts, and jumps back soon after", step)
	}
	end, err := startOthers(d)
	defer end()
	if err != nil {
		return false, err
	}
	n := d.nodes[0]
	s := newServer(d, n, "i-n0", time.Now().Add(ahead))
	if err := s.start(); err != nil {
		return false, err
	}
	back := time.Now()
	l := startLoad(d)
	time.Sleep(1500 * time.Millisecond)
	s.quiet.Store(true) // a server that has sent its DELETE reports no more
	if status := tell(n, "DELETE", s.id, nil); status/100 != 2 {
		return false, fmt.Errorf("the server got no ack: %d", status)
	}
	acked := time.Now()
	d.record.both("server i-n0 said that it is gone and got the ack of n0")
	time.Sleep(8 * time.Second)
	s.crash("exits as planned")
	time.Sleep(time.Second)
	l.end()
	return keptDrain(d, l, s, acked, back.Add(stableWindow)), nil
}
