package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/internal/soak"
	"verbenatrestle/process/fleet"
	"verbenatrestle/request"
)

// heldListener is a listener that can be made to open no more connections: dials to it time
// out.
type heldListener struct {
	*net.TCPListener
	mu      sync.Mutex
	waiting []net.Conn
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	return c, err
}

// setBacklog sets how many connections may wait for Accept.
func (l *heldListener) setBacklog(t *testing.T, connections int) {
	t.Helper()
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if controlErr := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), connections) }); controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
}

// hold makes dials time out until release.
func (l *heldListener) hold(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	l.setBacklog(t, 0)
	// Accept takes one more connection, which may happen during the first dial that times out.
	for timeouts := 0; timeouts < 2; {
		c, err := net.DialTimeout("tcp4", l.Addr().String(), hopDialTimeout)
		if err != nil {
			timeouts++
			continue
		}
		timeouts = 0
		l.waiting = append(l.waiting, c)
	}
}

// release ends hold.
func (l *heldListener) release(t *testing.T) {
	t.Helper()
	for _, c := range l.waiting {
		_ = c.Close() // nothing was sent
	}
	l.setBacklog(t, unix.SOMAXCONN)
	l.mu.Unlock()
}

// A request on a silent connection got no answer after the dial to collect its result had timed out.
func TestResultIsCollectedAfterADialThatTimedOut(t *testing.T) {
	const patience = 20 * time.Second
	f := newTestFleet(t)
	f.store.Put("config", "main", patientConfig(patience, "once", "u"))
	sender := f.add(testTarget{service: "u", slots: 8, work: time.Millisecond})
	inner, err := net.Listen("tcp4", nextIP()+":0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &heldListener{TCPListener: inner.(*net.TCPListener)}
	other, proxy := f.addBehind(listener, testTarget{service: "once", slots: 8, work: 2 * collectAfter})
	f.settled(1)
	if status, err := sender.callWithin(patience, "/once/1", "warm"); status != http.StatusOK {
		t.Fatal("the request before any fault failed:", status, err)
	}
	listener.hold(t)
	ended := make(chan string, 1)
	go func() {
		status, err := sender.callWithin(patience, "/once/1", "collected")
		ended <- fmt.Sprint(status, " ", err)
	}()
	eventually(t, "the request runs", func() bool { return other.localTarget.state(time.Now()).Running == 1 })
	if err := proxy.SetMode(soak.ModeSever); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a dial has timed out", func() bool {
		_, after, found := strings.Cut(sender.log.String(), "i/o timeout")
		return found && strings.Contains(after, `"request":"collected"`)
	})
	listener.release(t)
	if got, want := <-ended, fmt.Sprint(http.StatusOK, " ", nil); got != want {
		t.Errorf("%s, want %s", got, want)
		f.logLines(`"collected"`)
	}
	f.checkRuns()
}

// newInstantTimeoutHop returns a request whose result can't be collected: each dial to its
// node times out at once.
func newInstantTimeoutHop(t *testing.T, ctx context.Context) *pendingHop {
	t.Helper()
	f := newTestFleet(t)
	n, err := New(f.newSettings("sender", "s"), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.closeListeners)
	const address = "127.0.0.1:9"
	n.hopClient.pools[address] = &hopPool{Pool: exchange.NewPool(address, exchange.Options{DialTimeout: time.Nanosecond})}
	return &pendingHop{
		client: n.hopClient, to: &fleet.Candidate{Node: "other", HopAddress: address}, id: "r", sentAt: time.Now(), ctx: ctx, cancelSend: func() {},
	}
}

// rounds returns how often a node has tried in vain to collect a result. Each is a log line.
func (p *pendingHop) rounds() int64 {
	return metrics.GetOrRegisterCounter("hops.collected-"+string(request.Unknown), p.client.node.registry).Count()
}

// A dial that timed out at once was repeated at once until the deadline, with a log line each
// time; where the clock stands still while a process computes, the node spun for good.
func TestCollectWaitsAfterADialThatTimedOutAtOnce(t *testing.T) {
	const timeout = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	p := newInstantTimeoutHop(t, ctx)
	if r := p.collect(); r != nil {
		t.Errorf("collected %+v", r)
	}
	if got, most := p.rounds(), int64(timeout/(collectRetryInterval/2))+1; got < 2 || got > most {
		t.Errorf("%d attempts within %v, want 2 to %d", got, timeout, most)
	}
}

// lateContext is a context whose deadline has passed and whose timer has not run yet.
type lateContext struct{ context.Context }

// Deadline implements context.Context.
func (lateContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// A node spun at the deadline of a request: each dial timed out without a connect, and the
// timer of the context did not run meanwhile.
func TestCollectEndsAtTheDeadlineAlthoughTheTimerIsLate(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	p := newInstantTimeoutHop(t, lateContext{ctx})
	if r := p.collect(); r != nil {
		t.Errorf("collected %+v", r)
	}
	if got := p.rounds(); got != 1 {
		t.Errorf("%d attempts after the deadline, want 1", got)
	}
}
