package gate

import (
	"strconv"
	"time"

	"verbenatrestle/request"
	"verbenatrestle/request/quarantine"
)

const (
	// brokenTTL is how long a request whose connection broke counts as in flight at a
	// crash of the target, unless the target answers meanwhile. A crash is noticed at the
	// next attempt to connect or, without one, by the report of the next process, which
	// may start and report some seconds later.
	brokenTTL = 15 * time.Second
	// suspectHoldTime is how long other suspects wait after the connection of a suspect
	// broke.
	suspectHoldTime = 2 * time.Second
	// maxBroken bounds the requests with broken connections that are kept. The oldest
	// are dropped first.
	maxBroken = 256
)

// Crash is the unplanned end of a process of the target.
type Crash struct {
	// Instance and StartedMillis identify the process, as in Report.
	Instance      string
	StartedMillis int64
	// Restart counts the processes that were found running under the instance after the
	// one that reported it had ended. Their own reports have not come yet.
	Restart int
	// InFlight holds the requests that were in flight.
	InFlight []quarantine.InFlightRequest
	// Expired counts the requests whose connections broke too long before the end of
	// the process was noticed to count as in flight. InFlight or Expired is not empty.
	Expired int
}

// ID returns the id of the crash of the target beside a node. A later process may have
// the same instance.
func (c *Crash) ID(node string) quarantine.CrashID {
	process := c.Instance + "@" + strconv.FormatInt(c.StartedMillis, 10)
	if c.Restart > 0 {
		process += "+" + strconv.Itoa(c.Restart)
	}
	return quarantine.CrashID{Node: node, Instance: process}
}

// crashTracker tracks the requests that a crash of the target would implicate.
type crashTracker struct {
	// inFlight counts the requests in flight by their content.
	inFlight map[request.Fingerprint]inFlightCount
	// suspects counts the suspects among them.
	suspects int
	broken   []brokenRequest
	// ended is set once the end of the present process was recorded.
	ended bool
	// restarts counts the processes found running after an end and before a report.
	restarts int
	// crash is the latest crash until TakeCrash returns it.
	crash *Crash
}

// inFlightCount counts equal requests, and the suspects among them.
type inFlightCount struct{ requests, suspects int }

// brokenRequest is a request whose connection broke.
type brokenRequest struct {
	request quarantine.InFlightRequest
	at      time.Time
}

func newCrashTracker() crashTracker {
	return crashTracker{inFlight: make(map[request.Fingerprint]inFlightCount)}
}

// begin records that a request is sent to the target.
func (c *crashTracker) begin(req *Request) {
	count := c.inFlight[req.Fingerprint]
	count.requests++
	if req.Suspect {
		count.suspects++
		c.suspects++
	}
	c.inFlight[req.Fingerprint] = count
}

// end records that a request is no longer in flight.
func (c *crashTracker) end(req *Request) {
	count := c.inFlight[req.Fingerprint]
	count.requests--
	if req.Suspect {
		count.suspects--
		c.suspects--
	}
	if count.requests <= 0 {
		delete(c.inFlight, req.Fingerprint)
		return
	}
	c.inFlight[req.Fingerprint] = count
}

// broke records that the connection of a request broke.
func (c *crashTracker) broke(req *Request, now time.Time) {
	c.forgetBroken(now.Add(-brokenTTL))
	c.broken = c.broken[max(0, len(c.broken)+1-maxBroken):]
	c.broken = append(c.broken, brokenRequest{
		request: quarantine.InFlightRequest{Fingerprint: req.Fingerprint, Suspect: req.Suspect}, at: now,
	})
}

// answered records that the target answered a request that was sent at the given time.
// Connections that broke before did not break in a crash.
func (c *crashTracker) answered(sentAt time.Time) { c.forgetBroken(sentAt) }

// forgetBroken drops the connections that broke before a time.
func (c *crashTracker) forgetBroken(before time.Time) {
	kept := c.broken[:0]
	for _, b := range c.broken {
		if !b.at.Before(before) {
			kept = append(kept, b)
		}
	}
	c.broken = kept
}

// suspectActive reports whether a suspect is in flight, or its connection broke a
// short time ago, so that it may have crashed the target.
func (c *crashTracker) suspectActive(now time.Time) bool {
	if c.suspects > 0 {
		return true
	}
	for _, b := range c.broken {
		if b.request.Suspect && now.Sub(b.at) < suspectHoldTime {
			return true
		}
	}
	return false
}

// processEnded records the crash of a process, unless nothing was in flight or the end
// of the process was recorded before.
func (c *crashTracker) processEnded(target *Report, now time.Time) {
	if c.ended {
		return
	}
	broken := len(c.broken)
	c.forgetBroken(now.Add(-brokenTTL))
	expired := broken - len(c.broken)
	var inFlight []quarantine.InFlightRequest
	for f, count := range c.inFlight {
		inFlight = append(inFlight, quarantine.InFlightRequest{Fingerprint: f, Suspect: count.suspects > 0})
	}
	for _, b := range c.broken {
		inFlight = append(inFlight, b.request)
	}
	if len(inFlight) == 0 && expired == 0 {
		return
	}
	c.ended, c.broken = true, nil
	c.crash = &Crash{Instance: target.Instance, StartedMillis: target.StartedMillis, Restart: c.restarts, InFlight: inFlight, Expired: expired}
}

// processStarted records that another process of the target has started.
func (c *crashTracker) processStarted() { c.ended, c.broken, c.restarts = false, nil, 0 }

// processFound records that a process of the target runs. If the present one had ended,
// it is another one under the same instance, which may end, too.
func (c *crashTracker) processFound() {
	if c.ended {
		c.ended = false
		c.restarts++
	}
}

// ProcessEnded records that the process of the target no longer runs, since nothing
// listens at its address or another process does. It is a crash if requests were in
// flight and the process had not announced its end.
func (g *Gate) ProcessEnded(now time.Time) {
	if g.target != nil && !g.Draining() {
		g.crashes.processEnded(g.target, now)
	}
}

// TakeCrash returns the latest crash that it has not returned yet, or nil. A crash
// follows from ProcessEnded or from the report of another process.
func (g *Gate) TakeCrash() *Crash {
	crash := g.crashes.crash
	g.crashes.crash = nil
	return crash
}

// held reports whether a request has to wait for another suspect to end.
func (g *Gate) held(req *Request, now time.Time) bool {
	return req.Suspect && g.crashes.suspectActive(now)
}
