// Package lease computes until when the owner of a partition may accept
// operations, from the heartbeats that its witnesses acknowledged.
package lease

import (
	"slices"
	"time"
)

// Lease collects the acknowledgements for one tenure of one partition. All times
// are readings of the owner's monotonic clock. It is not safe for concurrent use.
type Lease struct {
	duration  time.Duration
	witnesses []string
	previous  []string
	// lastSent holds, for each witness, the send time of the latest heartbeat
	// that it acknowledged.
	lastSent map[string]time.Duration
	expiry   time.Duration
	// granted is true once the lease has been granted for the first time. It stays
	// true after the expiry.
	granted bool
}

// New returns a lease without acknowledgements. An acknowledgement counts for
// duration from the time at which the heartbeat was sent.
func New(duration time.Duration) *Lease {
	return &Lease{duration: duration, lastSent: make(map[string]time.Duration)}
}

// SetWitnesses sets the witnesses whose acknowledgements count. If previous is
// not empty, the lease needs a majority of both sets. A change doesn't shorten
// the current lease, because an owner that has not received the change yet holds
// it until its expiry as well.
func (l *Lease) SetWitnesses(witnesses, previous []string) {
	l.witnesses = witnesses
	l.previous = previous
	l.updateExpiry()
}

// Acknowledge records that a witness acknowledged the heartbeat that was sent at
// sent. Replies may arrive out of order, so it ignores the acknowledgement of a
// heartbeat that is not later than the latest acknowledged one.
func (l *Lease) Acknowledge(witness string, sent time.Duration) {
	if last, ok := l.lastSent[witness]; ok && last >= sent {
		return
	}
	l.lastSent[witness] = sent
	l.updateExpiry()
}

// Valid reports whether the owner holds the lease at now.
func (l *Lease) Valid(now time.Duration) bool {
	return l.granted && now <= l.expiry
}

// Expiry returns the last time at which the lease is valid. It reports false if
// the lease was never granted.
func (l *Lease) Expiry() (time.Duration, bool) {
	return l.expiry, l.granted
}

// updateExpiry extends the lease if the acknowledgements allow it. It never
// shortens it.
func (l *Lease) updateExpiry() {
	sent, ok := l.majoritySent(l.witnesses)
	if ok && len(l.previous) > 0 {
		var previousSent time.Duration
		previousSent, ok = l.majoritySent(l.previous)
		sent = min(sent, previousSent)
	}
	if ok && sent+l.duration > l.expiry {
		l.granted = true
		l.expiry = sent + l.duration
	}
}

// majoritySent returns the latest time such that a majority of the set has
// acknowledged a heartbeat sent then or later. It reports false if no majority
// has acknowledged any.
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
