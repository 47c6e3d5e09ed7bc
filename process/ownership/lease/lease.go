// Package lease computes how long an owner may take on operations from what
// its witnesses acknowledged.
package lease

import (
	"slices"
	"time"
)

// Lease collects the acknowledgements of one tenure of one partition. Times
// are readings of the owner's monotonic clock.
type Lease struct {
	length    time.Duration
	witnesses []string
	previous  []string
	sent      map[string]time.Duration
	until     time.Duration
	valid     bool
}

// New returns a lease without acknowledgements. Each of them will count for
// length.
func New(length time.Duration) *Lease {
	return &Lease{length: length, sent: make(map[string]time.Duration)}
}

// SetWitnesses tells whose acknowledgements count. If previous is not empty,
// a majority of both sets is needed. What the former witnesses gave already
// stays: an owner that has not heard of the change has it as well.
func (l *Lease) SetWitnesses(witnesses, previous []string) {
	l.witnesses = witnesses
	l.previous = previous
	l.update()
}

// Acknowledge takes in that a witness acknowledged the beat sent at sent.
func (l *Lease) Acknowledge(witness string, sent time.Duration) {
	if last, ok := l.sent[witness]; ok && last >= sent {
		return
	}
	l.sent[witness] = sent
	l.update()
}

// Valid reports whether the lease is in force at now.
func (l *Lease) Valid(now time.Duration) bool {
	return l.valid && now <= l.until
}

// Expiry returns the end of the lease. It reports false if there never was one.
func (l *Lease) Expiry() (time.Duration, bool) {
	return l.until, l.valid
}

func (l *Lease) update() {
	sent, ok := l.majority(l.witnesses)
	if ok && len(l.previous) > 0 {
		var before time.Duration
		before, ok = l.majority(l.previous)
		sent = min(sent, before)
	}
	if ok && sent+l.length > l.until {
		l.valid = true
		l.until = sent + l.length
	}
}

// majority returns the latest time such that most of the set acknowledged a
// beat sent then or later.
func (l *Lease) majority(set []string) (time.Duration, bool) {
	need := len(set)/2 + 1
	times := make([]time.Duration, 0, len(set))
	for _, witness := range set {
		if sent, ok := l.sent[witness]; ok {
			times = append(times, sent)
		}
	}
	if len(set) == 0 || len(times) < need {
		return 0, false
	}
	slices.SortFunc(times, func(x, y time.Duration) int { return int(min(max(y-x, -1), 1)) })
	return times[need-1], true
}
