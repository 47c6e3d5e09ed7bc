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

// rumourCache remembers the latest rumours, so that each is passed on once.
type rumourCache struct {
	limit         int
	seen          map[uint64]*FloodedRumour
	evictionOrder []uint64
}

func newRumourCache(limit int) rumourCache {
	return rumourCache{limit: limit, seen: make(map[uint64]*FloodedRumour)}
}

// add remembers a rumour and reports whether it is new. The oldest rumour is
// forgotten when there are too many; its key is returned then.
func (c *rumourCache) add(key uint64, r FloodedRumour) (isNew bool, evicted uint64) {
	if _, ok := c.seen[key]; ok {
		return false, 0
	}
	if len(c.evictionOrder) >= c.limit {
		evicted = c.evictionOrder[0]
		delete(c.seen, evicted)
		c.evictionOrder = c.evictionOrder[1:]
	}
	c.seen[key] = &r
	c.evictionOrder = append(c.evictionOrder, key)
	return true, evicted
}

// Flood starts a rumour and returns what is to be sent. A payload larger than
// Options.MaxRumourBytes is not sent: announce it, and let receivers fetch it.
func (t *Table) Flood(now time.Time, topic uint8, payload []byte) []wire.Envelope {
	t.mu.Lock()
	defer t.unlockAndNotify()
	if len(payload) > t.opts.MaxRumourBytes {
		return nil
	}
	t.lastRumourID++
	r := Rumour{Origin: t.self.Node, ID: t.self.Incarnation + t.lastRumourID, Topic: topic, Payload: payload}
	t.acceptRumour(FloodedRumour{Rumour: r})
	return t.flush(now, "")
}

// handleRumour takes in a rumour from a peer.
func (t *Table) handleRumour(now time.Time, r FloodedRumour) {
	if r.Hops >= maxHops || len(r.Rumour.Payload) > t.opts.MaxRumourBytes {
		return
	}
	r.Hops++
	if !t.acceptRumour(r) || r.Rumour.Origin == t.self.Node {
		return
	}
	for _, f := range t.rumourSubscribers[r.Rumour.Topic] {
		t.callbacks = append(t.callbacks, func() { f(now, r.Rumour) })
	}
}

// acceptRumour remembers a rumour, has it passed on, and reports whether it was
// new.
func (t *Table) acceptRumour(r FloodedRumour) bool {
	key := r.Rumour.key()
	isNew, evicted := t.rumours.add(key, r)
	if !isNew {
		t.updates.countReceipt(updateKey{rumourUpdate, key}, t.transmitLimit())
		return false
	}
	t.updates.drop(updateKey{rumourUpdate, evicted})
	t.announce(updateKey{rumourUpdate, key})
	return true
}
