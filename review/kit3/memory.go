package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"], services["memory"] = memory, []string{"entry", "entry", "entry"} }

const (
	longAnswer     = 8 << 20 // bytes of a long answer
	longConsumers  = 80      // consumers of long answers at one node, one answer each
	longTimeout    = 8 * time.Second
	slowPause      = 45 * time.Millisecond // after each 64 KB, some 1.4 MB/s
	shortConsumers = 30
	restartDelay   = 500 * time.Millisecond
	mayBeLost      = 3 // requests that the rule allows to be lost
	// memoryLimit is memoryMb in MB, if its unit is the larger one of 2^20 bytes.
	memoryLimit = memoryMB * 1.048576
)

// resident returns the resident memory of a process in MB.
func (n *node) resident() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	for line := range strings.Lines(string(text)) {
		var kb float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kb); err == nil {
			return kb * 1024 / 1e6
		}
	}
	return 0
}

// memory: consumers read long answers slowly. The platform kills a process whose memory
// exceeds memoryMb, as the pages say, and starts it again.
func memory(d *deployment, trouble bool) (bool, error) {
	if err := d.startAll(); err != nil {
		return false, err
	}
	long := bytes.Repeat([]byte("0123456789abcdef"), longAnswer/16)
	var servers []*server
	for _, n := range d.nodes {
		s := &server{id: "i-" + n.name, born: time.Now().UnixMilli(), node: n, record: d.record, slots: 18, work: 50 * time.Millisecond}
		s.answer = func(r *http.Request) []byte {
			if strings.HasPrefix(r.URL.Path, "/safe/long/") {
				return long
			}
			return nil
		}
		if err := s.start(); err != nil {
			return false, err
		}
		defer s.crash("end of the case")
		servers = append(servers, s)
	}
	time.Sleep(time.Second)
	n := d.nodes[0]
	var kills, peak atomic.Int64
	var killedAt atomic.Pointer[time.Time]
	stop := make(chan struct{})
	killed := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			mb := n.resident()
			peak.Store(max(peak.Load(), int64(mb)))
			if mb > memoryLimit {
				d.record.both("platform: node %s uses %.0f MB, over memoryMb %d in MiB: killed", n.name, mb, memoryMB)
				now := time.Now()
				killedAt.Store(&now)
				_ = n.process.Process.Kill()
				kills.Add(1)
				close(killed)
				return // the case looks at the first kill only
			}
		}
	})
	// Usual consumers send short requests over kept connections all the while.
	var mu sync.Mutex
	answers := map[string]answered{}
	for k := range shortConsumers {
		c := newConsumer(n, d.record)
		all.Go(func() {
			for i := 0; killedAt.Load() == nil; i++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				a := c.send("POST", fmt.Sprintf("/once/%d-%d", k, i), fmt.Sprintf("short-%d-%d", k, i), 2*time.Second, nil)
				mu.Lock()
				answers[a.id] = a
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	pause := time.Duration(0)
	if trouble {
		pause = slowPause
		d.record.both("disruption: consumers read their long answers slowly, 64 KB and then a pause of %v", pause)
	}
	var longWhole, longCut, longOther atomic.Int64
	var consumers sync.WaitGroup
	for k := range longConsumers {
		c := newConsumer(n, d.record)
		time.Sleep(30 * time.Millisecond)
		consumers.Go(func() {
			switch status, whole := c.sendSlow(fmt.Sprintf("/safe/long/%d", k), fmt.Sprintf("long-%d", k), longTimeout, pause); {
			case status == 200 && whole:
				longWhole.Add(1)
			case status == 200 || status == 0:
				longCut.Add(1)
			default:
				longOther.Add(1)
			}
		})
	}
	consumers.Wait()
	close(stop)
	all.Wait()
	select {
	case <-killed:
		time.Sleep(restartDelay)
		if err := d.restartNode(n); err != nil {
			return false, err
		}
	default:
	}
	lost := 0
	for _, s := range servers {
		for _, a := range s.reached() {
			if got, ok := answers[a.id]; ok && got.status == 0 {
				lost++
				d.record.write("request %s ran at %s, and its connection ended without an answer: %v", a.id, s.id, got.err)
			}
		}
	}
	d.record.both("peak of the memory of n0: %d MB of %d; killed %d times", peak.Load(), memoryMB, kills.Load())
	d.record.both("long answers: %d whole, %d cut off or none, %d refused or failed", longWhole.Load(), longCut.Load(), longOther.Load())
	d.record.both("short requests from kept connections that ran at a sound server and got no answer: %d of %d", lost, len(answers))
	return kills.Load() == 0 && lost <= mayBeLost, nil
}

// sendSlow sends a request and reads the answer with pauses.
func (c *consumer) sendSlow(path, id string, timeout, pause time.Duration) (status int, whole bool) {
	request, _ := http.NewRequest("GET", "http://"+c.node.callers+path, nil)
	request.Host = "front.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	client := *c.client
	client.Timeout = timeout
	sent := time.Now()
	response, err := client.Do(request)
	if err != nil {
		c.record.write("request %s got no answer: %v", id, err)
		return 0, false
	}
	defer response.Body.Close()
	length := 0
	buffer := make([]byte, 64<<10)
	for {
		n, err := response.Body.Read(buffer)
		length += n
		if err != nil {
			c.record.write("request %s: status %d, %d of %d bytes after %.3f s: %v", id, response.StatusCode, length, response.ContentLength, time.Since(sent).Seconds(), err)
			return response.StatusCode, int64(length) == response.ContentLength
		}
		time.Sleep(pause)
	}
}
