package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	memoryLimitMB = 284
	// bodyBytes is below maxBodyBytes of the configuration, 67,108,864.
	bodyBytes      = 60 << 20
	smallBodyBytes = 24 << 10
	// uploadsPerNode is how many callers of each node send a long body at the same time.
	uploadsPerNode = 2
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// residentMB returns the resident memory of a process, or zero if it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// runBigBodies checks that nodes stay within the memory of their machines while a few
// callers send bodies that the configuration allows.
func runBigBodies(e *env) (bool, error) {
	_, err := e.deploy(3, "certify", func(int, *target) {})
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	go e.checkReadiness(stop)
	var mu sync.Mutex
	ends, peak := make(map[string]int), make(map[string]int)
	for _, n := range e.nodes {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				pid := n.pid()
				if pid == 0 {
					continue
				}
				mb := residentMB(pid)
				mu.Lock()
				peak[n.name] = max(peak[n.name], mb)
				mu.Unlock()
				if mb > memoryLimitMB {
					e.record.line("%s uses %d MB, more than the %d MB of its machine: the platform kills it", n.name, mb, memoryLimitMB)
					n.kill()
					mu.Lock()
					ends[n.name]++
					mu.Unlock()
					time.Sleep(500 * time.Millisecond)
					_ = n.start()
				}
			}
		}()
	}
	c := newCallers(e, 30)
	c.writes = 0.5
	c.timeout = 2500 * time.Millisecond
	done := make(chan struct{})
	go func() {
		c.run(stop)
		close(done)
	}()
	time.Sleep(4 * time.Second)
	size := smallBodyBytes
	if e.trouble {
		size = bodyBytes
	}
	var group sync.WaitGroup
	for range 6 {
		for _, n := range e.nodes {
			for range uploadsPerNode {
				group.Go(func() { c.send(n, http.MethodPost, "/write/", size) })
			}
		}
		group.Wait()
		time.Sleep(5 * time.Second)
	}
	close(stop)
	<-done
	mu.Lock()
	defer mu.Unlock()
	often := 0
	for _, n := range e.nodes {
		e.record.summary("%s: peak %d MB, ended %d times for memory over %d MB", n.name, peak[n.name], ends[n.name], memoryLimitMB)
		if ends[n.name] >= 3 {
			often++
		}
	}
	e.record.summary("answers: %v", c.tally())
	return often >= 2, nil
}
