//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in of an application server beside a node.
type server struct {
	env      *env
	node     *node
	instance string
	service  string
	slots    int
	work     time.Duration
	born     int64
	// coldFor is how long the server is cold after its start, and every the time between reports.
	coldFor, every time.Duration

	http *http.Server

	mu       sync.Mutex
	sequence int
	running  int
	silent   bool // sends no more reports
	runs     []serverRun
}

// serverRun is a request that a server began to run.
type serverRun struct {
	id, organisation, method, uri, body string
	instance                            string
	at                                  time.Time
}

// startServer starts a boot of the server beside a node.
func (e *env) startServer(n *node, instance string, slots int, work time.Duration) *server {
	return e.startColdServer(n, instance, slots, work, 0, reportInterval)
}

// startColdServer is like startServer for a server that is cold after its start.
func (e *env) startColdServer(n *node, instance string, slots int, work, coldFor, every time.Duration) *server {
	s := &server{
		env: e, node: n, instance: instance, service: n.service, slots: slots, work: work, born: time.Now().UnixMilli(),
		coldFor: coldFor, every: every,
	}
	var l net.Listener
	var err error
	for range 50 { // the boot before may not have closed its address yet
		if l, err = net.Listen("tcp4", n.target); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	check(err)
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	go s.reportUntilEnd()
	e.log("server %s: started beside %s", instance, n.name)
	return s
}

// end ends the server at once.
func (s *server) end() {
	s.setSilent()
	_ = s.http.Close()
	s.env.log("server %s: ended", s.instance)
}

// setSilent ends the status reports.
func (s *server) setSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

const reportInterval = 500 * time.Millisecond

func (s *server) reportUntilEnd() {
	for {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent {
			return
		}
		_ = s.send(s.nextReport("ready"))
		time.Sleep(s.every)
	}
}

// nextReport returns the next status report.
func (s *server) nextReport(state string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"address": s.node.target, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.node.dataCentre, "slots": s.slots},
		"status": map[string]any{"state": state, "sequence": s.sequence, "coldRemainingS": s.coldRemaining().Seconds()},
	})
	return body
}

// coldRemaining returns how much longer the server is cold.
func (s *server) coldRemaining() time.Duration {
	return max(0, time.Until(time.UnixMilli(s.born).Add(s.coldFor)))
}

// send sends a status report and reports whether it was acknowledged.
func (s *server) send(report []byte) bool {
	return s.call(http.MethodPut, report)
}

// leave deregisters the server and reports whether that was acknowledged.
func (s *server) leave() bool {
	s.setSilent()
	body, _ := json.Marshal(map[string]any{"born": s.born})
	for range 20 {
		if s.call(http.MethodDelete, body) {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// call makes a call to the node beside the server. An answer within a second acknowledges it.
func (s *server) call(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.node.reports+"/api/instances/"+s.instance, bytes.NewReader(body))
	check(err)
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	header := w.Header()
	header.Set("Server-Load", fmt.Sprintf("%d,0,%d,100", running, s.slots))
	if r.URL.Path == "/health" {
		header.Set("Instance-Id", s.instance)
		if cold := s.coldRemaining(); cold > 0 {
			header.Set("Cold-Start-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
		}
		return
	}
	id := r.Header.Get("Request-Id")
	header.Set("Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if expected := r.Header.Get("Target-Instance"); expected != "" && expected != s.instance {
		header.Set("Instance-Id", s.instance)
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	if err != nil || id == "" || s.running >= s.slots {
		s.mu.Unlock()
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	run := serverRun{id: id, organisation: r.Header.Get("Tenant-Id"), method: r.Method, uri: r.RequestURI, body: string(body), instance: s.instance, at: time.Now()}
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	s.env.logAt(run.at, "server %s runs %s", s.instance, id)
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	limit, _ := strconv.Atoi(r.Header.Get("Request-Timeout-Ms"))
	work := s.work
	status := http.StatusOK
	if limit > 0 && time.Duration(limit)*time.Millisecond < work {
		work, status = time.Duration(limit)*time.Millisecond, http.StatusGatewayTimeout
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	answer := "answer to " + id
	header.Set("Response-Signature", "sig."+id+"."+strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer)
}

// allRuns returns the runs so far.
func (s *server) allRuns() []serverRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]serverRun(nil), s.runs...)
}
