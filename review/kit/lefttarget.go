package main

import (
	"net/http"
	"time"
)

const (
	drain        = 2 * time.Second
	stableWindow = 3 * time.Second
)

// runLeftTarget checks DRAIN for a target that has left by a deregistration alone, while
// the node that acknowledged it is killed and started again, and a report from before the
// deregistration arrives late.
func runLeftTarget(e *env) (bool, error) {
	targets, err := e.deploy(3, "certify", func(int, *target) {})
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	go e.checkReadiness(stop)
	c := newCallers(e, 60)
	c.writes = 0.5
	done := make(chan struct{})
	go func() {
		c.run(stop)
		close(done)
	}()
	time.Sleep(6 * time.Second)

	leaver, n := targets[0], e.nodes[0]
	leaver.stopBeats()
	time.Sleep(200 * time.Millisecond)
	late := leaver.reportBody("ready")
	e.record.line("server %s sends its last report, which the network holds up: %s", leaver.id, late)
	lateUntil := time.Now().Add(2500 * time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	leaver.mu.Lock()
	leaver.leaving = true
	leaver.mu.Unlock()
	if err := leaver.send(http.MethodDelete, []byte(`{"born":`+itoa(leaver.born)+`}`)); err != nil {
		return false, err
	}
	ackedAt := time.Now()
	e.record.line("%s acknowledged that server %s leaves", n.name, leaver.id)

	startedAt := ackedAt
	if e.trouble {
		time.Sleep(300 * time.Millisecond)
		n.kill()
		time.Sleep(500 * time.Millisecond)
		if err := n.start(); err != nil {
			return false, err
		}
		startedAt = time.Now()
	}
	time.Sleep(time.Until(lateUntil))
	e.record.line("the late report arrives")
	_ = leaver.send(http.MethodPut, late)
	time.Sleep(time.Until(ackedAt.Add(10 * time.Second)))
	leaver.exit("it has left")
	time.Sleep(time.Second)
	close(stop)
	<-done

	// The node that was killed is in touch again stableWindow after its start.
	boundFrom := ackedAt.Add(drain)
	if inTouch := startedAt.Add(stableWindow); inTouch.After(boundFrom) {
		boundFrom = inTouch
	}
	after, lost := 0, 0
	for _, a := range leaver.arrivals {
		sent, ok := c.sentAt(a.id)
		if !ok || a.at.Before(boundFrom) || sent.at.Before(boundFrom) {
			continue
		}
		after++
		if sent.status != http.StatusOK {
			lost++
		}
		if after <= 5 {
			e.record.summary("request %s (%s, by %s) reached server %s %.2f s after the acknowledgement, %.2f s after the start of %s",
				a.id, sent.method, sent.node.name, leaver.id, a.at.Sub(ackedAt).Seconds(), a.at.Sub(startedAt).Seconds(), n.name)
		}
	}
	e.record.summary("%d requests reached server %s later than %.2f s after its leaving was acknowledged, by machines in touch; %d of them were not answered by it",
		after, leaver.id, boundFrom.Sub(ackedAt).Seconds(), lost)
	e.record.summary("answers: %v", c.tally())
	return after > 0, nil
}
