package fleet

import "time"

const (
	// remoteHeartbeatTicks is the interval of heartbeats to peers in other data centres
	// of a large fleet, in intervals of those to the others.
	remoteHeartbeatTicks = 2
	// minHeartbeatGap is the time since the latest message to a peer of a large fleet
	// within which the end of an interval needs no heartbeat.
	minHeartbeatGap = 200 * time.Millisecond
	// silentAfter is the time without a datagram or response after which a peer gets
	// no heartbeats, but statuses only.
	silentAfter = 10 * time.Second
)

// Occasion is the reason for which a node sends messages to its peers.
type Occasion int

// The occasions.
const (
	// OnInterval is the end of a heartbeat interval.
	OnInterval Occasion = iota
	// OnLoadStep is a large change of the load of the target.
	OnLoadStep
	// OnChange is a change of anything but the load.
	OnChange
)

// Recipient is a peer that is sent a message.
type Recipient struct {
	// DatagramAddress is where the node takes datagrams, "IP:port".
	DatagramAddress string
	// FullStatus means that the message is a status, not a heartbeat.
	FullStatus bool
	// EchoMillis and Wanted are as in Status.
	EchoMillis int
	Wanted     bool
}

// Recipients appends the peers that are sent a message on this occasion to those in
// list, and returns them. Tick counts the heartbeat intervals. Each heartbeat peer
// gets a status on a change and otherwise once per statusInterval. Status-only peers
// take turns to get one at StatusOnlyInterval.
func (t *Table) Recipients(list []Recipient, occasion Occasion, tick int, statusInterval time.Duration, now time.Time) []Recipient {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		due, full := t.messageDue(p, occasion, tick, statusInterval, now)
		if !due {
			continue
		}
		p.sentAt = now
		if full {
			p.statusAt = now
		}
		list = append(list, t.recipient(p, full, now))
	}
	return list
}

// messageDue reports whether a peer is sent a message, and whether that is a status.
// The caller holds the lock.
func (t *Table) messageDue(p *Peer, occasion Occasion, tick int, statusInterval time.Duration, now time.Time) (due, full bool) {
	sinceStatus := now.Sub(p.statusAt)
	switch {
	case p.StatusOnly:
		due = occasion == OnInterval && sinceStatus >= t.statusOnlyInterval
		return due, due
	case now.Sub(p.lastHeard()) >= silentAfter:
		due = occasion != OnLoadStep && sinceStatus >= statusInterval
		return due, due
	case occasion == OnChange, sinceStatus >= statusInterval:
		return true, true
	case p.Status.Incarnation == 0:
		return occasion == OnInterval, true
	case occasion == OnLoadStep:
		return !t.slowHeartbeats(p), false
	case t.slowHeartbeats(p):
		return tick%remoteHeartbeatTicks == 0, false
	}
	return len(t.peers) < fullMeshNodes || now.Sub(p.sentAt) >= minHeartbeatGap, false
}

// lastHeard returns when the latest datagram or response of the peer arrived, or when
// it was added if there was none.
func (p *Peer) lastHeard() time.Time {
	if p.ReceivedAt.IsZero() {
		return p.LoadAt
	}
	return p.ReceivedAt
}

// slowHeartbeats reports whether heartbeats are exchanged with the peer at the longer
// interval. The caller holds the lock.
func (t *Table) slowHeartbeats(p *Peer) bool {
	return len(t.peers) >= fullMeshNodes && p.Status.DataCentre != t.self.DataCentre
}

// recipient returns a peer as a recipient of a message. The caller holds the lock.
func (t *Table) recipient(p *Peer, full bool, now time.Time) Recipient {
	r := Recipient{DatagramAddress: p.DatagramAddress, FullStatus: full, EchoMillis: -1, Wanted: !p.chosenAt.IsZero()}
	if !p.ReceivedAt.IsZero() {
		r.EchoMillis = max(0, int(now.Sub(p.ReceivedAt).Milliseconds()))
	}
	return r
}

// RecipientOf returns one peer as the recipient of a status, and false if there is no
// such peer.
func (t *Table) RecipientOf(node string, now time.Time) (Recipient, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[node]
	if p == nil {
		return Recipient{}, false
	}
	p.statusAt = now
	return t.recipient(p, true, now), true
}
