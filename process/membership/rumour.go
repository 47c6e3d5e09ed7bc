package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenatrestle/connection/wire"
)

// Topics of rumours.
const (
	// TopicConfiguration announces a configuration version.
	TopicConfiguration uint8 = 1
	// TopicQuarantine announces a quarantined request.
	TopicQuarantine uint8 = 2
)

// maxHops ends a rumour's life, whatever nodes have forgotten of it.
const maxHops = 40

// Rumour is a short message of another package that is flooded to every node.
// A node that is away while a rumour spreads may miss it.
type Rumour struct {
	// Origin is the node that started the rumour.
	Origin string
	// ID is unique among the rumours of its origin.
	ID uint64
	// Topic says which package the rumour is for.
	Topic uint8
	// Payload is the package's own encoding.
	Payload []byte
}

// key names a rumour in this node's memory.
func (r *Rumour) key() uint64 {
	var id [8]byte
	binary.LittleEndian.PutUint64(id[:], r.ID)
	hash := xxhash.New()
	_, _ = hash.WriteString(r.Origin)
	_, _ = hash.Write(id[:])
	return hash.Sum64()
}

// rumours remembers the latest rumours, so that each is passed on once.
type rumours struct {
	limit int
	seen  map[uint64]*FloodedRumour
	order []uint64
}

func newRumours(limit int) rumours {
	return rumours{limit: limit, seen: make(map[uint64]*FloodedRumour)}
}

// add remembers a rumour and reports whether it is new. The oldest rumour is
// forgotten when there are too many; its key is returned then.
func (s *rumours) add(key uint64, r FloodedRumour) (isNew bool, forgotten uint64) {
	if _, ok := s.seen[key]; ok {
		return false, 0
	}
	if len(s.order) >= s.limit {
		forgotten = s.order[0]
		delete(s.seen, forgotten)
		s.order = s.order[1:]
	}
	s.seen[key] = &r
	s.order = append(s.order, key)
	return true, forgotten
}

// Flood starts a rumour and returns what is to be sent. A payload larger than
// Options.MaxRumourBytes is not sent: announce it, and let receivers fetch it.
func (t *Table) Flood(now time.Time, topic uint8, payload []byte) []wire.Envelope {
	t.mu.Lock()
	defer t.unlock()
	if len(payload) > t.opts.MaxRumourBytes {
		return nil
	}
	t.rumourID++
	r := Rumour{Origin: t.self.Node, ID: t.self.Incarnation + t.rumourID, Topic: topic, Payload: payload}
	t.takeRumour(FloodedRumour{Rumour: r})
	return t.finish(now, "")
}

// hearRumour takes in a rumour from a peer.
func (t *Table) hearRumour(now time.Time, r FloodedRumour) {
	if r.Hops >= maxHops || len(r.Rumour.Payload) > t.opts.MaxRumourBytes {
		return
	}
	r.Hops++
	if !t.takeRumour(r) || r.Rumour.Origin == t.self.Node {
		return
	}
	for _, f := range t.rumourSubscribers[r.Rumour.Topic] {
		t.calls = append(t.calls, func() { f(now, r.Rumour) })
	}
}

// takeRumour remembers a rumour, has it passed on, and reports whether it was
// new.
func (t *Table) takeRumour(r FloodedRumour) bool {
	key := r.Rumour.key()
	isNew, forgotten := t.rumours.add(key, r)
	if !isNew {
		t.news.countReceipt(updateKey{rumourUpdate, key}, t.maxSends())
		return false
	}
	t.news.drop(updateKey{rumourUpdate, forgotten})
	t.announce(updateKey{rumourUpdate, key})
	return true
}
