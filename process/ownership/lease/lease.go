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
	duration  time.Duration
	witnesses []string
	previous  []string
	lastSent  map[string]time.Duration
	expiry    time.Duration
	valid     bool
}

// New returns a lease without acknowledgements. Each of them will count for
// length.
func New(duration time.Duration) *Lease {
	return &Lease{duration: duration, lastSent: make(map[string]time.Duration)}
}

// SetWitnesses tells whose acknowledgements count. If previous is not empty,
// a majority of both sets is needed. What the former witnesses gave already
// stays: an owner that has not heard of the change has it as well.
func (l *Lease) SetWitnesses(witnesses, previous []string) {
	l.witnesses = witnesses
	l.previous = previous
	l.updateExpiry()
}

// Acknowledge takes in that a witness acknowledged the beat sent at sent.
func (l *Lease) Acknowledge(witness string, sent time.Duration) {
	if last, ok := l.lastSent[witness]; ok && last >= sent {
		return
	}
	l.lastSent[witness] = sent
	l.updateExpiry()
}

// Valid reports whether the lease is in force at now.
func (l *Lease) Valid(now time.Duration) bool {
	return l.valid && now <= l.expiry
}

// Expiry returns the end of the lease. It reports false if there never was one.
func (l *Lease) Expiry() (time.Duration, bool) {
	return l.expiry, l.valid
}

func (l *Lease) updateExpiry() {
	sent, ok := l.majoritySent(l.witnesses)
	if ok && len(l.previous) > 0 {
		var previousSent time.Duration
		previousSent, ok = l.majoritySent(l.previous)
		sent = min(sent, previousSent)
	}
	if ok && sent+l.duration > l.expiry {
		l.valid = true
		l.expiry = sent + l.duration
	}
}

// majoritySent returns the latest time such that most of the set acknowledged a
// beat sent then or later.
func (l *Lease) majoritySent(set []string) (time.Duration, bool) {
	quorum := len(set)/2 + 1
	times := make([]time.Duration, 0, len(set))
	for _, witness := range set {
		if sent, ok := l.lastSent[witness]; ok {
			times = append(times, sent)
		}
	}
	if len(set) == 0 || len(times) < quorum {
		return 0, false
	}
	slices.SortFunc(times, func(x, y time.Duration) int { return int(min(max(y-x, -1), 1)) })
	return times[quorum-1], true
}
