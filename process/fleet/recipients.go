package fleet

import "time"

const (
	// localHeartbeatGap and remoteHeartbeatGap are the times after the latest message to
	// a peer of a large fleet, in the own data centre and in others, after which the end
	// of an interval needs a heartbeat. Load steps and statuses count as messages.
	localHeartbeatGap  = 400 * time.Millisecond
	remoteHeartbeatGap = 900 * time.Millisecond
	// localSilenceFactor and remoteSilenceFactor are the factors of
	// Settings.UnreachableAfter for such peers. They allow for the loss of one message.
	localSilenceFactor  = 1.5
	remoteSilenceFactor = 3
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
	// EchoMillis, Wanted and AfterWholeSlack are as in Status.
	EchoMillis      int
	Wanted          bool
	AfterWholeSlack uint64
}

// Recipients appends the peers that are sent a message on this occasion to those in
// list, and returns them. Each heartbeat peer gets a status on a change and otherwise
// once per statusInterval. Status-only peers take turns to get one at
// StatusOnlyInterval.
func (t *Table) Recipients(list []Recipient, occasion Occasion, statusInterval time.Duration, now time.Time) []Recipient {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		due, full := t.messageDue(p, occasion, statusInterval, now)
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
func (t *Table) messageDue(p *Peer, occasion Occasion, statusInterval time.Duration, now time.Time) (due, full bool) {
	sinceStatus := now.Sub(p.statusAt)
	switch {
	case p.StatusOnly:
		due = occasion == OnInterval && sinceStatus >= t.statusOnlyInterval
		return due, due
	case now.Sub(p.lastReceived()) >= silentAfter:
		due = occasion != OnLoadStep && sinceStatus >= statusInterval
		return due, due
	case occasion == OnChange, sinceStatus >= statusInterval:
		return true, true
	case p.Status.Incarnation == 0:
		return occasion == OnInterval, true
	case occasion == OnLoadStep:
		return !t.slowHeartbeats(p), false
	case len(t.peers) < fullMeshNodes:
		return true, false
	}
	return now.Sub(p.sentAt) >= heartbeatGap(t.slowHeartbeats(p)), false
}

// heartbeatGap returns the time after the latest message to a peer of a large fleet
// after which a heartbeat is due.
func heartbeatGap(slow bool) time.Duration {
	if slow {
		return remoteHeartbeatGap
	}
	return localHeartbeatGap
}

// lastReceived returns when the latest datagram or response of the peer arrived, or when
// it was added if there was none.
func (p *Peer) lastReceived() time.Time {
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
	if p.afterWholeSlack && !p.Status.WholeSlack {
		r.AfterWholeSlack = p.Status.Incarnation
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
