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
	// TopicQuarantine spreads changes of the quarantine.
	TopicQuarantine uint8 = 2
)

// maxHops stops a rumour that would otherwise circulate for ever, when nodes
// have evicted it from their caches and accept it again.
const maxHops = 40

// Rumour is a short message of another package that is flooded to every node. A
// node that is unreachable while a rumour spreads may miss it.
type Rumour struct {
	// Origin is the node that started the rumour.
	Origin string
	// ID is unique among the rumours of its origin.
	ID uint64
	// Topic selects the subscribers of the rumour.
	Topic uint8
	// Payload is encoded by the package that started the rumour.
	Payload []byte
}

// key returns a hash that identifies a rumour in the cache.
func (r *Rumour) key() uint64 {
	var id [8]byte
	binary.LittleEndian.PutUint64(id[:], r.ID)
	hash := xxhash.New()
	_, _ = hash.WriteString(r.Origin)
	_, _ = hash.Write(id[:])
	return hash.Sum64()
}

// rumourCache remembers the most recent rumours, so that each is forwarded
// once.
type rumourCache struct {
	limit         int
	seen          map[uint64]*FloodedRumour
	evictionOrder []uint64
}

func newRumourCache(limit int) rumourCache {
	return rumourCache{limit: limit, seen: make(map[uint64]*FloodedRumour)}
}

// add stores a rumour and reports whether it is new. When the cache is full,
// the oldest rumour is evicted and its key returned; otherwise evicted is 0.
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

// Flood starts a rumour and returns the messages to send. A payload larger than
// Options.MaxRumourBytes is dropped without an error; announce such content and
// let the receivers fetch it. This node's own subscribers aren't called.
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

// handleRumour processes a rumour from a peer and schedules the calls of its
// subscribers if it is new.
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

// acceptRumour stores a rumour, announces it to the neighbours if it is new,
// and reports whether it was new.
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
