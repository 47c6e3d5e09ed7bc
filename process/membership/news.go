package membership

import (
	"math/bits"
	"time"

	"verbenatrestle/connection/wire"
)

// Sizes of encoded news in bytes, roughly; a record's strings come on top.
const (
	recordBytes   = 70
	livenessBytes = 22
	rumourBytes   = 30
)

// Bounds of messages.
const (
	// maxAnswerRecords is how many records one answer carries.
	maxAnswerRecords = 40
)

// announce has a piece of news passed on: at once as far as the tokens go, and
// with the heartbeats.
func (t *Table) announce(key newsKey) {
	if t.quiet {
		return
	}
	t.news.push(key)
	t.urgent = append(t.urgent, key)
}

// send adds a message to what this call returns.
func (t *Table) send(to string, message any) {
	t.out = append(t.out, wire.Envelope{To: to, Message: message})
}

// finish ends a call: it passes urgent news on to the neighbours but the one
// that it came from, and returns what is to be sent.
func (t *Table) finish(now time.Time, from string) []wire.Envelope {
	t.join()
	t.refill(now)
	var news Updates
	for _, key := range t.urgent {
		if t.tokens <= 0 {
			break
		}
		t.tokens -= float64(t.addNews(&news, key))
	}
	t.urgent = t.urgent[:0]
	if !news.empty() {
		message := &Gossip{Updates: news}
		for _, id := range t.fingers() {
			if to := t.byID[id].Node; to != from {
				t.send(to, message)
			}
		}
	}
	out := t.out
	t.out = nil
	return out
}

// join announces this node as soon as it knows another.
func (t *Table) join() {
	if t.joined || len(t.fingers()) == 0 {
		return
	}
	t.joined = true
	t.announce(newsKey{newsRecord, t.selfID})
}

// refill adds the tokens for urgent news that have come due.
func (t *Table) refill(now time.Time) {
	if elapsed := now.Sub(t.tokensAt).Seconds(); elapsed > 0 {
		t.tokens = min(t.tokens+elapsed*t.opts.UrgentBytesPerSecond, t.opts.UrgentBurstBytes)
		t.tokensAt = now
	}
}

// addNews adds a piece of news as it is now, and returns its size in bytes,
// roughly; 0 means that there is nothing to tell any more.
func (t *Table) addNews(news *Updates, key newsKey) int {
	if key.kind == newsRumour {
		r, ok := t.rumours.seen[key.id]
		if !ok {
			return 0
		}
		news.Rumours = append(news.Rumours, *r)
		return rumourBytes + len(r.Rumour.Origin) + len(r.Rumour.Payload)
	}
	m, ok := t.member(key.id)
	if !ok {
		return 0
	}
	if key.kind == newsLiveness {
		news.Livenesses = append(news.Livenesses, m.liveness())
		return livenessBytes
	}
	news.Records = append(news.Records, record(m))
	return m.size()
}

// member returns a member by its place, this node included.
func (t *Table) member(id uint64) (Member, bool) {
	if id == t.selfID {
		return t.self, true
	}
	e, ok := t.byID[id]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// record returns a member as it is told to others: each node lets a suspect die
// by its own clock.
func record(m Member) Member {
	if m.Status == Dead {
		m.Status = Suspect
	}
	return m
}

// size returns the size of a member's record in bytes, roughly.
func (m *Member) size() int {
	return recordBytes + len(m.Node) + len(m.DataCentre) + len(m.Region) + len(m.PeerAddress) +
		len(m.HopAddress) + len(m.AdminAddress) + len(m.Service) + len(m.Instance)
}

// piggyback returns the news for one heartbeat.
func (t *Table) piggyback() Updates {
	var news Updates
	room := t.opts.PiggybackBytes
	t.news.take(t.maxSends(), func(key newsKey) bool {
		if room <= 0 {
			return false
		}
		room -= t.addNews(&news, key)
		return true
	})
	return news
}

// maxSends is how often a node sends a piece of news with its heartbeats. It
// grows with the logarithm of the fleet, as the spread of a rumour does.
func (t *Table) maxSends() int {
	return 2 + bits.Len(uint(len(t.ring.places)))/3
}

// hearNews takes in the news of a message. From is nil when the sender isn't
// known yet.
func (t *Table) hearNews(now time.Time, sender string, from *entry, news *Updates) {
	refutations := t.self.Refutations
	for _, m := range news.Records {
		t.applyRecord(now, from, m)
	}
	for _, l := range news.Livenesses {
		t.applyLiveness(now, from, l)
	}
	for _, r := range news.Rumours {
		t.hearRumour(now, r)
	}
	if t.self.Refutations != refutations {
		t.send(sender, &Gossip{Updates: Updates{Livenesses: []Liveness{t.self.liveness()}}})
	}
	t.answerWants(sender, news.RequestedIDs)
}

// answerWants sends the records that a peer asked for.
func (t *Table) answerWants(sender string, want []uint64) {
	var news Updates
	for _, id := range want {
		m, ok := t.member(id)
		if ok && len(news.Records) < maxAnswerRecords {
			news.Records = append(news.Records, record(m))
		}
	}
	if !news.empty() {
		t.send(sender, &Gossip{Updates: news})
	}
}
