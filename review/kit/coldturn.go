package main

import (
	"math/rand/v2"
	"time"
)

const (
	coldPerS   = 19.0
	coldFactor = 1.5
	coldSlack  = 5.0
	coldStart  = 3 * time.Second
	// runTimeSpread is the spread of the site's requests.
	runTimeSpread = 0.3
)

// coldRounds is how often each target turns cold.
const coldRounds = 2

// coldSpan is a time in which a target is cold.
type coldSpan struct {
	target *target
	from   time.Time
}

// runColdTurn checks FAILBACK while targets turn cold in place, one after the other, each
// at random moments.
func runColdTurn(e *env) (bool, error) {
	targets, err := e.deploy(3, "certify", func(_ int, t *target) { t.coldPerS, t.crashFactor, t.spread = coldPerS, 3, runTimeSpread })
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	go e.checkReadiness(stop)
	c := newCallers(e, 400)
	c.writes = 0.25
	done := make(chan struct{})
	go func() {
		c.run(stop)
		close(done)
	}()
	time.Sleep(6 * time.Second)
	var spans []coldSpan
	for range coldRounds {
		for i, t := range targets {
			time.Sleep(time.Duration(rand.Float64() * 1.5 * float64(time.Second)))
			if e.trouble {
				spans = append(spans, coldSpan{target: t, from: t.turnCold(coldStart)})
				e.record.line("server %s turns cold for %v, without a restart", t.id, coldStart)
			}
			time.Sleep(coldStart + 1500*time.Millisecond)
			if !t.hasEnded() {
				continue
			}
			if targets[i], err = e.startTarget(t.node, t.id+"-again", func(t *target) {
				t.coldPerS, t.crashFactor, t.spread = coldPerS, 3, runTimeSpread
				t.coldUntil = time.Now().Add(coldStart)
			}); err != nil {
				return false, err
			}
			e.record.line("server %s starts after the crash of %s, cold", targets[i].id, t.id)
			time.Sleep(coldStart + time.Second)
		}
	}
	close(stop)
	<-done
	bound := coldPerS*coldFactor + coldSlack
	over := 0
	for _, s := range spans {
		most, from := mostPerSecond(c, s.target.arrivals, s.from, s.from.Add(coldStart))
		e.record.summary("server %s: cold from %.3f s; at most %d requests sent and arrived within one second while cold (from %.3f s); bound %.1f; crashed in the end: %v",
			s.target.id, e.record.at(s.from), most, e.record.at(from), bound, s.target.hasEnded())
		if float64(most) > bound {
			over++
		}
	}
	e.record.summary("%d of %d times the bound was exceeded; answers: %v", over, len(spans), c.tally())
	return over > 0, nil
}

// mostPerSecond returns the most requests that were sent and arrived inside one second of
// a span, and the start of that second.
func mostPerSecond(c *callers, arrivals []arrival, from, to time.Time) (int, time.Time) {
	most, start := 0, from
	for _, first := range arrivals {
		a, ok := c.sentAt(first.id)
		if !ok || a.at.Before(from) || first.at.After(to) {
			continue
		}
		count := 0
		for _, other := range arrivals {
			sent, ok := c.sentAt(other.id)
			if ok && !sent.at.Before(a.at) && !other.at.After(to) && other.at.Sub(a.at) < time.Second {
				count++
			}
		}
		if count > most {
			most, start = count, a.at
		}
	}
	return most, start
}
