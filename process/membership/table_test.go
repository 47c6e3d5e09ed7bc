package membership

import (
	"testing"
	"time"

	"verbenatrestle/connection/load"
	"verbenatrestle/connection/wire"
)

// expect fails the test unless every live table agrees with the truth in time.
func expect(t *testing.T, f *fleet, limit time.Duration) {
	t.Helper()
	if took, d := f.settle(limit); d != "" {
		t.Fatalf("after %s: %s", took, d)
	}
}

// knownBy counts the live tables in which a member has a status.
func knownBy(f *fleet, node string, status Status) int {
	count := 0
	for _, n := range f.nodes {
		m, ok := n.table.Lookup(node)
		if ok && n.alive && !n.frozen && m.Status == status {
			count++
		}
	}
	return count
}

func refutations(f *fleet) uint64 {
	var sum uint64
	for _, n := range f.nodes {
		sum += n.table.Self().Refutations
	}
	return sum
}

func TestUrgentChangeIsFlooded(t *testing.T) {
	f := newFleet(60, 1, Options{})
	f.startAll(20 * time.Second)
	expect(t, f, 10*time.Second)
	n := f.nodes[7]
	f.send(n, n.table.UpdateSelf(f.now, func(m *Member) { m.Target = load.Draining }))
	f.runFor(200 * time.Millisecond)
	for _, other := range f.nodes {
		if m, _ := other.table.Lookup(n.member.Node); m.Target != load.Draining {
			t.Errorf("%s believes %s", other.member.Node, m.Target)
		}
	}
	f.leave(f.nodes[8])
	f.runFor(200 * time.Millisecond)
	if left := knownBy(f, "n0008", Left); left != 60 {
		t.Errorf("%d of 60 know of the leave", left)
	}
}

func TestRumourReachesEveryNodeOnce(t *testing.T) {
	f := newFleet(60, 2, Options{})
	f.startAll(20 * time.Second)
	n := f.nodes[3]
	for range 3 {
		f.send(n, n.table.Flood(f.now, TopicConfiguration, []byte("version")))
	}
	f.send(n, n.table.Flood(f.now, TopicConfiguration, make([]byte, 5000)))
	f.runFor(30 * time.Second)
	for _, other := range f.nodes {
		want := 3
		if other == n {
			want = 0
		}
		if other.rumours != want {
			t.Errorf("%s heard %d rumours, want %d", other.member.Node, other.rumours, want)
		}
	}
}

func TestFrozenNodeDiesAndReturns(t *testing.T) {
	f := newFleet(20, 3, Options{})
	f.startAll(10 * time.Second)
	expect(t, f, 10*time.Second)
	before := refutations(f)
	n := f.nodes[5]
	f.freeze(n)
	f.runFor(20 * time.Second)
	if dead := knownBy(f, n.member.Node, Dead); dead != 19 {
		t.Errorf("the frozen node is dead to %d of 19", dead)
	}
	f.thaw(n)
	expect(t, f, 30*time.Second)
	f.runFor(30 * time.Second)
	own := n.table.Self().Refutations
	if others := refutations(f) - own - before; others != 0 {
		t.Errorf("the thawed node had others refute %d times", others)
	}
}

func TestBrokenPairRefutesSeldom(t *testing.T) {
	f := newFleet(10, 4, Options{})
	f.startAll(10 * time.Second)
	a := f.nodes[0]
	b := f.byName[a.table.Neighbours()[0]]
	f.cut = func(x, y *fleetNode) bool { return x == a && y == b }
	f.runFor(10 * time.Minute)
	// 3 s doubled five times, then every 96 s, from each of the two.
	if count := refutations(f); count < 2 || count > 30 {
		t.Errorf("%d refutations in 10 minutes", count)
	}
	if alive := knownBy(f, b.member.Node, Alive); alive < 9 {
		t.Errorf("alive to %d of 10", alive)
	}
}

func TestVersionsBecomeKnown(t *testing.T) {
	f := newFleet(30, 6, Options{})
	f.startAll(10 * time.Second)
	expect(t, f, 10*time.Second)
	lagging := f.nodes[4]
	for _, n := range f.nodes {
		if n != lagging {
			f.send(n, n.table.UpdateSelf(f.now, func(m *Member) { m.ConfigVersion = 7 }))
		}
	}
	f.runFor(30 * time.Second)
	for _, n := range f.nodes {
		for _, m := range n.table.Members() {
			if inForce := m.ConfigVersion == 7; inForce != (m.Node != lagging.member.Node) {
				t.Errorf("%s believes version %d in force on %s", n.member.Node, m.ConfigVersion, m.Node)
			}
		}
	}
}

func TestVersionMapOfAnotherRingIsNotTaken(t *testing.T) {
	f := newFleet(30, 7, Options{})
	f.startAll(30 * time.Second)
	table := f.nodes[0].table
	m := VersionMap{Version: 9, RingDigest: table.ring.sum + 1, Count: 30}
	table.hearVersions(f.now, &m)
	m.RingDigest, m.First = table.ring.sum, 1
	table.hearVersions(f.now, &m)
	m.First, m.Bits = 0, []byte{1}
	table.hearVersions(f.now, &m)
	if table.newest != 0 {
		t.Error("taken")
	}
	m.Bits = nil
	table.hearVersions(f.now, &m)
	if table.newest != 9 {
		t.Error("a map of the same ring was not taken")
	}
}

func TestUnknownStatusIsDropped(t *testing.T) {
	f := newFleet(2, 8, Options{})
	f.startAll(time.Second)
	table := f.nodes[0].table
	before, _ := table.Lookup("n0001")
	odd := before
	odd.Incarnation, odd.Status = odd.Incarnation+1, statusCount
	table.Handle(f.now, "n0001", &Gossip{Updates: Updates{Records: []Member{odd}}})
	table.Handle(f.now, "n0001", &Gossip{Updates: Updates{Livenesses: []Liveness{
		{ID: ringID("n0001"), Incarnation: before.Incarnation, Refutations: 5, Status: statusCount},
	}}})
	if after, _ := table.Lookup("n0001"); after != before {
		t.Errorf("%+v became %+v", before, after)
	}
}

// FuzzHandle hands a table whatever a peer that holds the key may send.
func FuzzHandle(f *testing.F) {
	codec := wire.NewCodec()
	Register(codec)
	for _, message := range []any{
		&Heartbeat{Versions: VersionMap{Count: 5, Bits: []byte{1}}, Updates: Updates{Records: []Member{{Node: "n0001"}}}},
		&Gossip{Updates: Updates{Livenesses: []Liveness{{Status: Dead}}, RequestedIDs: []uint64{1}}},
		&SyncRequest{BucketDigests: make([]uint64, bucketCount)},
		&SyncEntries{Buckets: []uint8{1, 200}, Entries: []SyncEntry{{ID: 1}}},
	} {
		data, err := codec.Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := codec.Decode(data)
		if err != nil {
			return
		}
		fleet := newFleet(4, 1, Options{MaxMembers: 6})
		fleet.startAll(2 * time.Second)
		table := fleet.nodes[0].table
		for range 2 {
			table.Handle(fleet.now, "n0001", message)
			table.Handle(fleet.now, "stranger", message)
			table.Tick(fleet.now.Add(time.Minute))
		}
		if len(table.byID) > 6 {
			t.Errorf("%d members", len(table.byID))
		}
	})
}

func TestTableIsBounded(t *testing.T) {
	f := newFleet(40, 5, Options{MaxMembers: 20, MaxRumours: 10})
	n := f.nodes[0]
	f.start(n)
	for i, other := range f.nodes[1:] {
		m := other.member
		if i%2 == 0 {
			m.Status = Suspect
		}
		f.send(n, n.table.Handle(f.now, m.Node, &Gossip{Updates: Updates{Records: []Member{m}}}))
		f.runFor(10 * time.Second)
		n.table.Flood(f.now, TopicQuarantine, nil)
	}
	if len(n.table.byID) > 20 || len(n.table.rumours.seen) > 10 || len(n.table.news.pieces) > 50 {
		t.Errorf("%d members, %d rumours, %d pieces of news", len(n.table.byID), len(n.table.rumours.seen), len(n.table.news.pieces))
	}
	if _, ok := n.table.Lookup("n0039"); !ok {
		t.Error("a tombstone kept a live member out")
	}
	f.runFor(3 * time.Hour)
	if len(n.table.byID) != 0 {
		t.Errorf("%d tombstones were not forgotten", len(n.table.byID))
	}
}

func TestFingers(t *testing.T) {
	var r ring
	for id := range uint64(13) {
		r.add(id * 10)
	}
	want := []uint64{60, 70, 90, 0}
	got := r.fingers(50)
	if len(got) != len(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("got %v, want %v", got, want)
		}
	}
	if absent := r.fingers(55); absent[0] != 60 {
		t.Errorf("fingers of a place that is not on the ring: %v", absent)
	}
}
