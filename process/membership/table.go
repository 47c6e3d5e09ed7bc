package membership

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenatrestle/connection/wire"
)

// Change is a member's change in the table.
type Change struct {
	// Before is the former entry; its Node is "" for a new member.
	Before Member
	// After is the entry now; its Node is "" for a forgotten member.
	After Member
}

// entry is a member with what this node keeps of it.
type entry struct {
	Member
	id uint64
	// since is when the status last changed here.
	since time.Time
	// unanswered is the first heartbeat that the member hasn't answered yet;
	// zero when it has answered all.
	unanswered time.Time
	// refuted counts this node's suspicions of the member that it refuted
	// while this node couldn't reach it.
	refuted int
	// differs is since when the member's digest differs from this node's.
	differs time.Time
	// reprobed is when this node last tried to reach the dead member.
	reprobed time.Time
}

// Table is what a node knows of the fleet. It is safe for concurrent use.
type Table struct {
	mu   sync.RWMutex
	opts Options
	rng  *rand.Rand

	self    Member
	selfID  uint64
	left    bool
	joined  bool
	quiet   bool // set while news isn't to be passed on
	byID    map[uint64]*entry
	ring    ring
	others  uint64 // digest of the present members but self
	version uint64
	newest  uint64 // highest configuration version known of
	// versionsSame says whether all present members have the newest version,
	// as far as versionsKept is set.
	versionsSame, versionsKept bool
	// suspects and absent count the suspects, and the dead and left members.
	suspects, absent int

	fingersAt  uint64
	fingerList []uint64
	ringSeq    uint64

	services map[string][]Member

	news     spread
	rumours  rumours
	rumourID uint64
	// urgent is what this call passes on at once, as far as tokens go.
	urgent   []newsKey
	tokens   float64
	tokensAt time.Time

	nextRound time.Time
	lastTick  time.Time
	resumed   time.Time // when this node last ran again after a pause
	turn      int
	cursor    int
	lastSync  time.Time
	answered  int
	reprobes  int
	renamedAt time.Time

	out               []wire.Envelope
	calls             []func()
	subscribers       []func(Change)
	rumourSubscribers map[uint8][]func(time.Time, Rumour)
}

// NewTable returns a table that knows only self.
func NewTable(self Member, opts Options, rng *rand.Rand) *Table {
	opts = opts.withDefaults()
	self.Status = Alive
	t := &Table{
		opts:              opts,
		rng:               rng,
		self:              self,
		selfID:            ringID(self.Node),
		byID:              make(map[uint64]*entry),
		rumours:           newRumours(opts.MaxRumours),
		tokens:            opts.UrgentBurstBytes,
		rumourSubscribers: make(map[uint8][]func(time.Time, Rumour)),
	}
	t.ring.add(t.selfID)
	t.newest = self.ConfigVersion
	return t
}

// unlock releases the lock, then makes the calls that were put off.
func (t *Table) unlock() {
	calls := t.calls
	t.calls = nil
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

// Members returns every known member, this node included, by name.
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

// Lookup returns a member by its node's name.
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

// PeerAddress returns a member's peer address; it fits peerlink's Resolve.
// Dead members resolve as well, so that they can be found again after a cut.
func (t *Table) PeerAddress(node string) (string, bool) {
	m, ok := t.Lookup(node)
	return m.PeerAddress, ok && m.PeerAddress != ""
}

// ByService returns the present members whose target is of a service, by name.
// The slice is shared: callers must not change it. Its configuration versions
// may be older than those of Lookup.
func (t *Table) ByService(service string) []Member {
	t.mu.RLock()
	services := t.services
	t.mu.RUnlock()
	if services != nil {
		return services[service]
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services == nil {
		t.services = t.groupByService()
	}
	return t.services[service]
}

// groupByService sorts the present members by service and name.
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
// and urgent news to, nearest on the ring first.
func (t *Table) Neighbours() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for _, id := range t.fingers() {
		names = append(names, t.byID[id].Node)
	}
	return names
}

// ChangeCount counts the changes of the table, but those of configuration versions
// alone.
func (t *Table) ChangeCount() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.version
}

// Subscribe has f called after each change of a member, outside the table's
// lock. Calls for changes that come from different goroutines may overlap and
// come out of order: Lookup tells the present state. Subscribe before the table
// is in use.
func (t *Table) Subscribe(f func(Change)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscribers = append(t.subscribers, f)
}

// SubscribeRumours has f called once for each rumour of a topic from another
// node, outside the table's lock. Subscribe before the table is in use.
func (t *Table) SubscribeRumours(topic uint8, f func(now time.Time, r Rumour)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rumourSubscribers[topic] = append(t.rumourSubscribers[topic], f)
}

// entry returns the entry of another node, nil if it isn't known.
func (t *Table) entry(node string) *entry {
	e := t.byID[ringID(node)]
	if e == nil || e.Node != node {
		return nil
	}
	return e
}

// fingers returns the places of this node's neighbours.
func (t *Table) fingers() []uint64 {
	if t.fingersAt != t.ringSeq || t.fingerList == nil {
		t.fingersAt = t.ringSeq
		t.fingerList = t.ring.fingers(t.selfID)
	}
	return t.fingerList
}

// digest stands for the present members, this node included.
func (t *Table) digest() uint64 {
	if !t.self.Status.Present() {
		return t.others
	}
	return t.others ^ hashEntry(t.selfID, &t.self)
}

// hashEntry returns a member's part of a digest.
func hashEntry(id uint64, m *Member) uint64 {
	var b [33]byte
	for i, word := range []uint64{id, m.Incarnation, m.Sequence, m.Refutations} {
		putUint64(b[8*i:], word)
	}
	b[32] = byte(m.Status)
	return xxhash.Sum64(b[:])
}
