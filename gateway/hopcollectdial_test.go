package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"verbenatrestle/internal/soak"
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
