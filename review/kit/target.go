package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is a server of the platform's users: it runs requests in slots, queues a few
// more, and reports to the node on its machine.
type target struct {
	env   *env
	node  *node
	id    string
	born  int64
	slots int
	work  time.Duration
	// spread is the spread of the run times, the standard deviation of their logarithm.
	spread float64
	// beatEvery is the time between two reports.
	beatEvery time.Duration
	// coldPerS is the rate that it tolerates while cold. It crashes in a second with more
	// than crashFactor times as many arrivals. Zero means that it never does.
	coldPerS    float64
	crashFactor float64

	mu        sync.Mutex
	listener  net.Listener
	server    *http.Server
	stopBeats context.CancelFunc
	sequence  int
	running   int
	waiting   int
	coldUntil time.Time
	// leaving is set once it has said that it leaves, and ended once it has exited.
	leaving, ended bool
	free           chan struct{}
	arrivals       []arrival
	onArrival      func(arrival)
}

// arrival is a request that reached a target and was not answered with 421.
type arrival struct {
	at     time.Time
	id     string
	method string
	cold   bool
}

// startTarget starts a target on the machine of a node.
func (e *env) startTarget(n *node, id string, configure func(*target)) (*target, error) {
	t := &target{env: e, node: n, id: id, born: time.Now().UnixMilli(), slots: 18, work: 40 * time.Millisecond, beatEvery: 1500 * time.Millisecond}
	configure(t)
	t.free = make(chan struct{}, t.slots)
	var err error
	if t.listener, err = net.Listen("tcp4", n.target); err != nil {
		return nil, err
	}
	t.server = &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	go func() { _ = t.server.Serve(t.listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	t.stopBeats = cancel
	go t.beat(ctx)
	return t, nil
}

// exit ends the target as if its process had ended: open connections break.
func (t *target) exit(why string) {
	t.mu.Lock()
	running := t.running
	ended := t.ended
	t.ended = true
	t.mu.Unlock()
	if ended {
		return
	}
	t.env.record.line("server %s exits: %s; %d requests at work", t.id, why, running)
	t.stopBeats()
	_ = t.server.Close()
}

// hasEnded reports whether the target has exited.
func (t *target) hasEnded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended
}

// beat sends a status report at each interval until the context ends.
func (t *target) beat(ctx context.Context) {
	for {
		_ = t.send(http.MethodPut, t.reportBody("ready"))
		select {
		case <-ctx.Done():
			return
		case <-time.After(t.beatEvery):
		}
	}
}

// reportBody returns the body of the next status report.
func (t *target) reportBody(state string) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	body, _ := json.Marshal(map[string]any{ // the values always encode
		"address": t.node.target, "born": t.born,
		"info":   map[string]any{"service": t.node.service, "version": "v1", "zone": t.node.zone, "slots": t.slots},
		"status": map[string]any{"state": state, "sequence": t.sequence, "coldRemainingS": max(0, time.Until(t.coldUntil)).Seconds()},
	})
	return body
}

// send sends a report or a deregistration to the node, and returns an error unless it was
// acknowledged within a second.
func (t *target) send(method string, body []byte) error {
	request, err := http.NewRequest(method, "http://"+t.node.reports+"/api/instances/"+t.id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		t.env.record.line("server %s %s %s -> %v", t.id, method, body, err)
		return err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	t.env.record.line("server %s %s %s -> %d", t.id, method, body, response.StatusCode)
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// turnCold makes the target cold for a time.
func (t *target) turnCold(duration time.Duration) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.coldUntil = now.Add(duration)
	return now
}

// load returns the value of Server-Load. The caller holds the lock.
func (t *target) load() string { return fmt.Sprintf("%d,%d,%d,100", t.running, t.waiting, t.slots) }

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	cold := max(0, time.Until(t.coldUntil))
	leaving := t.leaving
	w.Header().Set("Server-Load", t.load())
	t.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", t.id)
		if cold > 0 {
			w.Header().Set("Cold-Start-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
		}
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Target-Instance"); expected != "" && expected != t.id {
		w.Header().Set("Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !t.arrived(arrival{at: time.Now(), id: id, method: r.Method, cold: cold > 0}) {
		panic(http.ErrAbortHandler) // the process has crashed
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.run(w, r, id, body)
}

// arrived records a request that reached the target. It returns false if the target crashes.
func (t *target) arrived(a arrival) bool {
	t.mu.Lock()
	t.arrivals = append(t.arrivals, a)
	recent := 0
	for i := len(t.arrivals) - 1; i >= 0 && t.arrivals[i].cold && a.at.Sub(t.arrivals[i].at) < time.Second; i-- {
		recent++
	}
	crashes := a.cold && t.crashFactor > 0 && float64(recent) > t.crashFactor*t.coldPerS
	onArrival := t.onArrival
	t.mu.Unlock()
	t.env.record.line("server %s gets %s %s cold=%v", t.id, a.method, a.id, a.cold)
	if onArrival != nil {
		onArrival(a)
	}
	if crashes {
		t.exit(fmt.Sprintf("crashed, %d requests within a second while cold", recent))
	}
	return !crashes
}

// run waits for a slot, runs the request and answers.
func (t *target) run(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	notRun := func() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		t.env.record.line("server %s does not run %s", t.id, id)
	}
	timeout := 30 * time.Second
	if millis, err := strconv.Atoi(r.Header.Get("Request-Timeout-Ms")); err == nil && millis > 0 {
		timeout = time.Duration(millis) * time.Millisecond
	}
	t.mu.Lock()
	if t.running+t.waiting >= 3*t.slots {
		t.mu.Unlock()
		notRun()
		return
	}
	t.waiting++
	t.mu.Unlock()
	select {
	case t.free <- struct{}{}:
	case <-time.After(timeout):
		t.count(-1, 0)
		notRun()
		return
	case <-r.Context().Done():
		t.count(-1, 0)
		return
	}
	t.count(-1, 1)
	defer func() {
		t.count(0, -1)
		<-t.free
	}()
	t.env.record.line("server %s runs %s", t.id, id)
	work := time.Duration(float64(t.work) * math.Exp(t.spread*rand.NormFloat64()))
	t.mu.Lock()
	if time.Now().Before(t.coldUntil) {
		work *= 2
	}
	t.mu.Unlock()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		t.env.record.line("server %s drops %s", t.id, id)
		return
	}
	answer := fmt.Sprintf("%s %s %d bytes", r.Method, r.RequestURI, len(body))
	t.mu.Lock()
	w.Header().Set("Server-Load", t.load())
	t.mu.Unlock()
	w.Header().Set("Response-Signature", "sig."+id)
	t.env.record.line("server %s ends %s", t.id, id)
	_, _ = io.WriteString(w, answer) // an error means that the node has left
}

func (t *target) count(waiting, running int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting += waiting
	t.running += running
}
