package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shedShare is the share of requests that the servers reject, and extraShare the share
	// of these rejections that are sent a second time.
	shedShare  = 0.3
	extraShare = 0.03
	// extraAfterMin and extraAfterMax bound the delay of a second answer.
	extraAfterMin = 10 * time.Millisecond
	extraAfterMax = 100 * time.Millisecond
)

const (
	// The disruption lasts disruptedFor and comes disruptions times, pausedFor apart.
	disruptedFor = 5 * time.Second
	pausedFor    = 2 * time.Second
	disruptions  = 8
	// sheddingServers is the number of servers, and extraServers that of those which send
	// answers twice, a share of 0.6.
	sheddingServers = 5
	extraServers    = 3
)

// shedAnswer is the answer of a server that sheds, as the sheet of the wire shows it.
const shedAnswer = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// sheddingTarget answers over connections of its own, so that it can send an answer twice.
// Its reports are those of the target that it takes the place of.
type sheddingTarget struct {
	*target
	extra bool
	// disrupted is set while the disruption lasts.
	disrupted atomic.Bool
	mu        sync.Mutex
	runs      map[string]int
}

// runSecondAnswer checks TWICE and REFUSED at servers that reject part of their requests and
// send some of these answers a second time, late.
func runSecondAnswer(e *env) (bool, error) {
	targets, err := e.deploy(sheddingServers, "certify", func(int, *target) {})
	if err != nil {
		return false, err
	}
	var shedding []*sheddingTarget
	for i, t := range targets {
		_ = t.server.Close()
		s := &sheddingTarget{target: t, extra: e.trouble && i < extraServers, runs: make(map[string]int)}
		l, err := net.Listen("tcp4", t.node.target)
		if err != nil {
			return false, err
		}
		go s.serve(l)
		shedding = append(shedding, s)
	}
	stop := make(chan struct{})
	go e.checkReadiness(stop)
	time.Sleep(5 * time.Second)
	c := newCallers(e, 300)
	c.writes = 0.5
	done := make(chan struct{})
	go func() {
		c.run(stop)
		close(done)
	}()
	for range disruptions {
		for _, disrupted := range []bool{true, false} {
			for _, s := range shedding {
				s.disrupted.Store(disrupted)
			}
			e.record.line("servers reject part of their requests: %v", disrupted)
			time.Sleep(map[bool]time.Duration{true: disruptedFor, false: pausedFor}[disrupted])
		}
	}
	close(stop)
	<-done
	time.Sleep(300 * time.Millisecond)
	runs := make(map[string]int)
	for _, s := range shedding {
		s.mu.Lock()
		for id, n := range s.runs {
			runs[id] += n
		}
		s.mu.Unlock()
	}
	twice, refused := 0, 0
	for id, n := range runs {
		a, ok := c.sentAt(id)
		if !ok || a.method == http.MethodGet {
			continue
		}
		if n > 1 {
			twice++
			if twice <= 5 {
				e.record.summary("TWICE: %s (non-idempotent) ran %d times; its caller got %d", id, n, a.status)
			}
		}
		if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
			refused++
			if refused <= 5 {
				e.record.summary("REFUSED: %s (non-idempotent) ran %d times; its caller got %d", id, n, a.status)
			}
		}
	}
	e.record.summary("%d requests that must not run twice did; %d that were refused had run", twice, refused)
	e.record.summary("answers: %v", c.tally())
	return twice+refused > 0, nil
}

func (s *sheddingTarget) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

// serveConn serves one request after the other.
func (s *sheddingTarget) serveConn(c net.Conn) {
	defer c.Close()
	var write sync.Mutex
	send := func(answer string) error {
		write.Lock()
		defer write.Unlock()
		_, err := io.WriteString(c, answer)
		return err
	}
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		expected := r.Header.Get("Target-Instance")
		switch {
		case r.URL.Path == "/health":
			err = send(fmt.Sprintf("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", s.id, s.loadNow()))
		case expected != "" && expected != s.id:
			err = send(fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id))
		case s.disrupted.Load() && rand.Float64() < shedShare:
			s.env.record.line("server %s rejects %s", s.id, id)
			err = send(shedAnswer)
			if s.extra && rand.Float64() < extraShare {
				go func() {
					time.Sleep(extraAfterMin + rand.N(extraAfterMax-extraAfterMin))
					s.env.record.line("server %s sends its answer to %s a second time", s.id, id)
					_ = send(shedAnswer)
				}()
			}
		default:
			err = s.runOnce(id, send)
		}
		if err != nil {
			return
		}
	}
}

func (s *sheddingTarget) loadNow() string {
	s.target.mu.Lock()
	defer s.target.mu.Unlock()
	return s.load()
}

// runOnce runs a request and answers.
func (s *sheddingTarget) runOnce(id string, send func(string) error) error {
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.count(0, 1)
	s.env.record.line("server %s runs %s", s.id, id)
	time.Sleep(s.work)
	s.env.record.line("server %s ends %s", s.id, id)
	s.count(0, -1)
	return send(fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig.%s\r\nServer-Load: %s\r\nContent-Length: 2\r\n\r\nok", id, id, s.loadNow()))
}
