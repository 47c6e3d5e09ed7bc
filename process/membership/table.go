package membership

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenatrestle/connection/wire"
)

// Change is a change of one member in the table.
type Change struct {
	// Before is the entry before the change; its Node is "" for a new member.
	Before Member
	// After is the entry after the change; its Node is "" for a member that was
	// removed from the table.
	After Member
}

// entry is a member with this node's local state about it, which isn't sent to
// others.
type entry struct {
	Member
	// id is the member's ring ID.
	id uint64
	// statusSince is when the status last changed in this table. For a suspect
	// it is the end of this node's last pause if that was later.
	statusSince time.Time
	// unansweredSince is when this node began to wait for a message from the
	// member: at the first unanswered heartbeat, when the link broke, or at the
	// last suspicion. It is zero while this node doesn't wait.
	unansweredSince time.Time
	// suspicions counts how often this node has suspected the member since its
	// last message or the start of its incarnation. A count above one means
	// that the member refuted suspicions while this node couldn't reach it.
	suspicions int
	// differsSince is when the digest of the member's table began to differ
	// from that of this table; zero while they are equal.
	differsSince time.Time
	// reprobedAt is when this node last tried to reach the member while it was
	// dead.
	reprobedAt time.Time
}

// Table holds the members that a node knows. It is safe for concurrent use.
//
// Methods that return envelopes return the messages that the caller has to
// send.
type Table struct {
	mu   sync.RWMutex
	opts Options
	rng  *rand.Rand

	self                  Member
	selfID                uint64
	left                  bool              // set by Leave
	announced             bool              // whether this node has announced its own record
	suppressAnnouncements bool              // set while changes aren't forwarded to others
	byID                  map[uint64]*entry // other members by ring ID
	ring                  ring
	othersDigest          uint64 // digest of the present members without self
	changeCount           uint64
	newestConfigVersion   uint64
	// allNewest is whether all present members have the newest configuration
	// version. It is valid while allNewestCached is set.
	allNewest, allNewestCached bool
	// suspectCount is the number of suspects, absentCount that of dead and left
	// members.
	suspectCount, absentCount int

	// cachedNeighbours was computed when ringChanges was neighboursRingChanges.
	neighboursRingChanges uint64
	cachedNeighbours      []uint64
	ringChanges           uint64

	// membersByService is built by ByService; a change sets it to nil.
	membersByService map[string][]Member

	updates      updateQueue
	rumours      rumourCache
	lastRumourID uint64
	// urgentUpdates are the updates that the current call forwards at once, as
	// far as urgentTokens (in bytes) allow.
	urgentUpdates    []updateKey
	urgentTokens     float64
	tokensRefilledAt time.Time

	nextRound     time.Time
	lastTick      time.Time
	resumedAt     time.Time // end of this node's last pause
	heartbeatTurn int       // rotates through the neighbours that get a heartbeat
	versionCursor int       // ring index at which the next VersionMap starts
	lastSync      time.Time // when this node last sent a SyncRequest
	// syncAnswers and reprobes count since the start of the round.
	syncAnswers         int
	reprobes            int
	incarnationRaisedAt time.Time // when this node last raised its own incarnation

	// outbox and callbacks collect the messages and the calls of subscribers of
	// the current call.
	outbox            []wire.Envelope
	callbacks         []func()
	subscribers       []func(Change)
	rumourSubscribers map[uint8][]func(time.Time, Rumour)
}

// NewTable returns a table that contains only this node, with status Alive.
func NewTable(self Member, opts Options, rng *rand.Rand) *Table {
	opts = opts.withDefaults()
	self.Status = Alive
	t := &Table{
		opts:              opts,
		rng:               rng,
		self:              self,
		selfID:            ringID(self.Node),
		byID:              make(map[uint64]*entry),
		rumours:           newRumourCache(opts.MaxRumours),
		urgentTokens:      opts.UrgentBurstBytes,
		rumourSubscribers: make(map[uint8][]func(time.Time, Rumour)),
	}
	t.ring.add(t.selfID)
	t.newestConfigVersion = self.ConfigVersion
	return t
}

// unlockAndNotify releases the lock and then calls the subscribers, so that
// they may use the table.
func (t *Table) unlockAndNotify() {
	calls := t.callbacks
	t.callbacks = nil
	t.mu.Unlock()
	for _, call := range calls {
		call()
	}
}

// Self returns this node's own entry.
func (t *Table) Self() Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.self
}

// Members returns all members in the table, this node included, sorted by name.
func (t *Table) Members() []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	members := make([]Member, 0, len(t.byID)+1)
	members = append(members, t.self)
	for _, e := range t.byID {
		members = append(members, e.Member)
	}
	slices.SortFunc(members, byNode)
	return members
}

// Lookup returns the member with the given node name, and whether it is in the
// table.
func (t *Table) Lookup(node string) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if node == t.self.Node {
		return t.self, true
	}
	e := t.entry(node)
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// PeerAddress returns a member's peer address, and whether it is known. It can
// be used as peerlink.Options.Resolve. Dead members are resolved as well, so
// that they can be reached again after a network partition.
func (t *Table) PeerAddress(node string) (string, bool) {
	m, ok := t.Lookup(node)
	return m.PeerAddress, ok && m.PeerAddress != ""
}

// ByService returns the present members whose target belongs to a service,
// sorted by name. The slice is shared, so callers must not modify it. Its
// configuration versions may be older than those that Lookup returns.
func (t *Table) ByService(service string) []Member {
	t.mu.RLock()
	services := t.membersByService
	t.mu.RUnlock()
	if services != nil {
		return services[service]
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.membersByService == nil {
		t.membersByService = t.groupByService()
	}
	return t.membersByService[service]
}

// groupByService groups the present members by service, sorted by name.
func (t *Table) groupByService() map[string][]Member {
	groups := make(map[string][]Member)
	if t.self.Status.Present() {
		groups[t.self.Service] = append(groups[t.self.Service], t.self)
	}
	for _, e := range t.byID {
		if e.Status.Present() {
			groups[e.Service] = append(groups[e.Service], e.Member)
		}
	}
	for _, members := range groups {
		slices.SortFunc(members, byNode)
	}
	return groups
}

// Neighbours returns the names of the members that this node sends heartbeats
// and urgent updates to, nearest on the ring first.
func (t *Table) Neighbours() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for _, id := range t.neighbourIDs() {
		names = append(names, t.byID[id].Node)
	}
	return names
}

// ChangeCount returns the number of changes of the table so far, except changes
// of a configuration version alone.
func (t *Table) ChangeCount() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.changeCount
}

// Subscribe registers f to be called after each change of a member, this node
// included. The table isn't locked during the call. Calls for changes that are
// made by different goroutines may overlap and arrive out of order; Lookup
// returns the current state. Call Subscribe before the table is in use.
func (t *Table) Subscribe(f func(Change)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscribers = append(t.subscribers, f)
}

// SubscribeRumours registers f to be called once for each rumour of a topic
// that another node started, as long as the rumour is remembered (see
// Options.MaxRumours). The table isn't locked during the call. Call
// SubscribeRumours before the table is in use.
func (t *Table) SubscribeRumours(topic uint8, f func(now time.Time, r Rumour)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rumourSubscribers[topic] = append(t.rumourSubscribers[topic], f)
}

// entry returns the entry of another node, or nil if it isn't in the table.
func (t *Table) entry(node string) *entry {
	e := t.byID[ringID(node)]
	if e == nil || e.Node != node {
		return nil
	}
	return e
}

// neighbourIDs returns the ring IDs of this node's neighbours, nearest first.
func (t *Table) neighbourIDs() []uint64 {
	if t.neighboursRingChanges != t.ringChanges || t.cachedNeighbours == nil {
		t.neighboursRingChanges = t.ringChanges
		t.cachedNeighbours = t.ring.fingers(t.selfID)
	}
	return t.cachedNeighbours
}

// digest returns the digest of the present members, this node included: the XOR
// of their hashes.
func (t *Table) digest() uint64 {
	if !t.self.Status.Present() {
		return t.othersDigest
	}
	return t.othersDigest ^ hashEntry(t.selfID, &t.self)
}

// hashEntry hashes the ring ID, the counters and the status of a member for a
// digest.
func hashEntry(id uint64, m *Member) uint64 {
	var b [33]byte
	for i, word := range []uint64{id, m.Incarnation, m.Sequence, m.Refutations} {
		putUint64(b[8*i:], word)
	}
	b[32] = byte(m.Status)
	return xxhash.Sum64(b[:])
}
