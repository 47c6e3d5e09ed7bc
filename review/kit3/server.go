package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	at     time.Time
	id     string
	path   string
	server string
	ran    bool
}

// server is one boot of an application server beside a node.
type server struct {
	id       string
	born     int64
	node     *node
	record   *recorder
	slots    int
	work     time.Duration
	answer   func(r *http.Request) []byte // the body of an answer, or nil for a short one
	crashes  func(r *http.Request) bool   // whether a request crashes the server
	listener net.Listener
	http     *http.Server
	running  atomic.Int64
	sequence atomic.Int64
	cold     time.Time // until when the server is cold
	state    atomic.Value
	quiet    atomic.Bool // sends no status reports
	stopped  chan struct{}
	once     sync.Once

	mu       sync.Mutex
	arrivals []arrival
}

// start opens the address of the server and begins to report.
func (s *server) start() error {
	var err error
	if err = waitFor(3*time.Second, func() bool { s.listener, err = net.Listen("tcp", s.node.target); return err == nil }); err != nil {
		return err
	}
	s.stopped = make(chan struct{})
	s.state.Store("ready")
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(s.listener) }()
	s.record.write("server %s beside %s started, born %d", s.id, s.node.name, s.born)
	s.tellState()
	go func() {
		for {
			select {
			case <-s.stopped:
				return
			case <-time.After(1500 * time.Millisecond):
				if !s.quiet.Load() {
					s.tellState()
				}
			}
		}
	}()
	return nil
}

// coldLeft returns how much longer the server is cold.
func (s *server) coldLeft() time.Duration { return max(0, time.Until(s.cold)) }

// tellState sends a status report and returns whether it was acknowledged.
func (s *server) tellState() bool {
	state := s.state.Load().(string)
	sequence := int(s.sequence.Add(1))
	status := tell(s.node, "PUT", s.id, report(s.node.target, s.node.service, s.node.zone, s.id, state, s.born, sequence, s.slots, s.coldLeft().Seconds()))
	s.record.write("server %s reports %s to %s: sequence %d, born %d, answered %d", s.id, state, s.node.name, sequence, s.born, status)
	return status/100 == 2
}

// crash ends the server at once: its connections break.
func (s *server) crash(why string) {
	s.once.Do(func() {
		close(s.stopped)
		s.record.write("server %s beside %s ended: %s", s.id, s.node.name, why)
		_ = s.http.Close()
	})
}

// ServeHTTP answers liveness checks, rejects requests for other servers and runs the rest.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), s.slots))
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", s.id)
		if left := s.coldLeft(); left > 0 {
			h.Set("Cold-Start-Ms", fmt.Sprint(left.Milliseconds()))
		}
		if s.state.Load() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	a := arrival{at: time.Now(), id: id, path: r.URL.RequestURI(), server: s.id}
	if wanted := r.Header.Get("Target-Instance"); wanted != "" && wanted != s.id {
		h.Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		s.record.write("request %s reaches server %s, but is for %s: 421", id, s.id, wanted)
		return
	}
	if s.running.Add(1) > int64(s.slots) {
		s.running.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.running.Add(-1)
	a.ran = true
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	s.record.write("request %s runs at server %s (%s %s)", id, s.id, r.Method, a.path)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if s.crashes != nil && s.crashes(r) {
		s.crash("crashed under request " + id)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	case <-s.stopped:
		panic(http.ErrAbortHandler)
	}
	h.Set("Response-Signature", "sig."+s.id+"."+id)
	var answer []byte
	if s.answer != nil {
		answer = s.answer(r)
	}
	if answer == nil {
		answer = []byte(fmt.Sprintf("%s %s %d\n", s.id, id, len(body)))
	}
	h.Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = w.Write(answer)
}

// reached returns the requests that reached the server.
func (s *server) reached() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// answered is what a consumer got.
type answered struct {
	id     string
	sent   time.Time
	status int // 0 without an answer
	err    error
	took   time.Duration
	server string
}

// consumer sends requests to one node over its own connections.
type consumer struct {
	node   *node
	record *recorder
	client *http.Client
	key    string // of its tenant, if the config holds tenants
}

func newConsumer(n *node, record *recorder) *consumer {
	return &consumer{node: n, record: record, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// send sends one request and reads the whole answer.
func (c *consumer) send(method, path, id string, timeout time.Duration, body io.Reader) answered {
	a := answered{id: id, sent: time.Now()}
	request, err := http.NewRequest(method, "http://"+c.node.callers+path, body)
	if err != nil {
		a.err = err
		return a
	}
	request.Host = "front.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	if c.key != "" {
		request.Header.Set("Key", c.key)
	}
	client := *c.client
	client.Timeout = timeout + time.Second
	response, err := client.Do(request)
	a.took = time.Since(a.sent)
	if err != nil {
		a.err = err
		c.record.write("request %s (%s %s) sent to %s got no answer: %v", id, method, path, c.node.name, err)
		return a
	}
	defer response.Body.Close()
	_, a.err = io.Copy(io.Discard, response.Body)
	a.status = response.StatusCode
	if signature := strings.Split(response.Header.Get("Response-Signature"), "."); len(signature) == 3 {
		a.server = signature[1]
	}
	a.took = time.Since(a.sent)
	if a.err != nil {
		a.status = 0
	}
	c.record.write("request %s (%s %s) sent to %s at %.3f: answered %d by %q after %d ms %v", id, method, path, c.node.name,
		a.sent.Sub(c.record.start).Seconds(), a.status, a.server, a.took.Milliseconds(), noNil(a.err))
	return a
}

func noNil(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
