package membership

import (
	"testing"
	"time"

	"verbenatrestle/connection/load"
	"verbenatrestle/connection/wire"
)

// expectAgreement fails the test unless the tables of all running nodes agree
// with the actual state of the nodes within limit.
func expectAgreement(t *testing.T, f *fleet, limit time.Duration) {
	t.Helper()
	if took, d := f.awaitAgreement(limit); d != "" {
		t.Fatalf("after %s: %s", took, d)
	}
}

// countStatus counts the running nodes in whose tables a member has a status.
func countStatus(f *fleet, node string, status Status) int {
	count := 0
	for _, n := range f.nodes {
		m, ok := n.table.Lookup(node)
		if ok && n.alive && !n.frozen && m.Status == status {
			count++
		}
	}
	return count
}

func totalRefutations(f *fleet) uint64 {
	var sum uint64
	for _, n := range f.nodes {
		sum += n.table.Self().Refutations
	}
	return sum
}

// TestUrgentChangeIsFlooded checks that a change of a target and the status of a
// node that leaves reach all tables within 200 ms, without waiting for the
// heartbeats.
func TestUrgentChangeIsFlooded(t *testing.T) {
	f := newFleet(60, 1, Options{})
	f.startAll(20 * time.Second)
	expectAgreement(t, f, 10*time.Second)
	n := f.nodes[7]
	f.send(n, n.table.UpdateSelf(f.now, func(m *Member) { m.Target = load.Draining }))
	f.runFor(200 * time.Millisecond)
	for _, other := range f.nodes {
		if m, _ := other.table.Lookup(n.member.Node); m.Target != load.Draining {
			t.Errorf("target of %s is %s in the table of %s, want draining", n.member.Node, m.Target, other.member.Node)
		}
	}
	f.leave(f.nodes[8])
	f.runFor(200 * time.Millisecond)
	if left := countStatus(f, "n0008", Left); left != 60 {
		t.Errorf("%d of 60 tables show that the node left", left)
	}
}

func TestFloodReachesEveryNodeOnce(t *testing.T) {
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
			t.Errorf("%s received %d rumours, want %d", other.member.Node, other.rumours, want)
		}
	}
}

// TestPausedNodeIsDeclaredDeadAndReturns checks that a paused node is declared dead, that
// it is alive again after the pause, and that it doesn't suspect the others
// because of its own pause.
func TestPausedNodeIsDeclaredDeadAndReturns(t *testing.T) {
	f := newFleet(20, 3, Options{})
	f.startAll(10 * time.Second)
	expectAgreement(t, f, 10*time.Second)
	before := totalRefutations(f)
	n := f.nodes[5]
	f.freeze(n)
	f.runFor(20 * time.Second)
	if dead := countStatus(f, n.member.Node, Dead); dead != 19 {
		t.Errorf("the frozen node is dead in %d of 19 tables", dead)
	}
	f.thaw(n)
	expectAgreement(t, f, 30*time.Second)
	f.runFor(30 * time.Second)
	own := n.table.Self().Refutations
	if others := totalRefutations(f) - own - before; others != 0 {
		t.Errorf("other nodes refuted suspicions of the thawed node %d times, want 0", others)
	}
}

// TestUnconnectedPairRefutesRarely checks that two nodes that reach all others but
// not each other stay alive, and that they suspect each other less and less
// often.
func TestUnconnectedPairRefutesRarely(t *testing.T) {
	f := newFleet(10, 4, Options{})
	f.startAll(10 * time.Second)
	a := f.nodes[0]
	b := f.byName[a.table.Neighbours()[0]]
	f.partitioned = func(x, y *fleetNode) bool { return x == a && y == b }
	f.runFor(10 * time.Minute)
	// The time until a suspicion is 3 s, doubles five times and then stays at
	// 96 s, for each of the two nodes.
	if count := totalRefutations(f); count < 2 || count > 30 {
		t.Errorf("%d refutations in 10 minutes, want 2 to 30", count)
	}
	if alive := countStatus(f, b.member.Node, Alive); alive < 9 {
		t.Errorf("%s is alive in %d of 10 tables, want at least 9", b.member.Node, alive)
	}
}

// TestActiveVersionsReachAllTables checks that all tables show on which nodes the newest
// configuration version is active, and that it isn't active on the node that
// lags behind.
func TestActiveVersionsReachAllTables(t *testing.T) {
	f := newFleet(30, 6, Options{})
	f.startAll(10 * time.Second)
	expectAgreement(t, f, 10*time.Second)
	lagging := f.nodes[4]
	for _, n := range f.nodes {
		if n != lagging {
			f.send(n, n.table.UpdateSelf(f.now, func(m *Member) { m.ConfigVersion = 7 }))
		}
	}
	f.runFor(30 * time.Second)
	for _, n := range f.nodes {
		for _, m := range n.table.Members() {
			if active := m.ConfigVersion == 7; active != (m.Node != lagging.member.Node) {
				t.Errorf("in the table of %s version %d is active on %s, want 7 on all nodes except %s", n.member.Node, m.ConfigVersion, m.Node, lagging.member.Node)
			}
		}
	}
}

// TestVersionMapOfAnotherRingIsIgnored checks that a map of another ring and a
// malformed map are ignored. Their bits would apply to the wrong members, or
// to members beyond the ring.
func TestVersionMapOfAnotherRingIsIgnored(t *testing.T) {
	f := newFleet(30, 7, Options{})
	f.startAll(30 * time.Second)
	table := f.nodes[0].table
	m := VersionMap{Version: 9, RingDigest: table.ring.digest + 1, Count: 30}
	table.handleVersionMap(f.now, &m)
	m.RingDigest, m.First = table.ring.digest, 1
	table.handleVersionMap(f.now, &m)
	m.First, m.Bits = 0, []byte{1}
	table.handleVersionMap(f.now, &m)
	if table.newestConfigVersion != 0 {
		t.Error("a map of another ring, one beyond the ring or one with too few bits was applied")
	}
	m.Bits = nil
	table.handleVersionMap(f.now, &m)
	if table.newestConfigVersion != 9 {
		t.Error("a map of the same ring was not applied")
	}
}

func TestUnknownStatusIsDropped(t *testing.T) {
	f := newFleet(2, 8, Options{})
	f.startAll(time.Second)
	table := f.nodes[0].table
	before, _ := table.Lookup("n0001")
	invalid := before
	invalid.Incarnation, invalid.Status = invalid.Incarnation+1, statusCount
	table.Handle(f.now, "n0001", &Gossip{Updates: Updates{Records: []Member{invalid}}})
	table.Handle(f.now, "n0001", &Gossip{Updates: Updates{Livenesses: []Liveness{
		{ID: ringID("n0001"), Incarnation: before.Incarnation, Refutations: 5, Status: statusCount},
	}}})
	if after, _ := table.Lookup("n0001"); after != before {
		t.Errorf("a record or liveness with an unknown status changed %+v to %+v", before, after)
	}
}

// FuzzHandle sends a table arbitrary messages, as a faulty peer that has the
// peer key could.
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
			t.Errorf("%d members, want at most 6", len(table.byID))
		}
	})
}

// TestTableIsBounded checks that a table keeps its limits on members, rumours and
// queued updates when more arrive, that a new member replaces a dead one, and
// that dead members are forgotten in the end.
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
	if len(n.table.byID) > 20 || len(n.table.rumours.seen) > 10 || len(n.table.updates.states) > 50 {
		t.Errorf("%d members, %d rumours, %d queued updates, want at most 20, 10 and 50", len(n.table.byID), len(n.table.rumours.seen), len(n.table.updates.states))
	}
	if _, ok := n.table.Lookup("n0039"); !ok {
		t.Error("a live member was not added, although dead ones could be forgotten")
	}
	f.runFor(3 * time.Hour)
	if len(n.table.byID) != 0 {
		t.Errorf("%d dead members were not forgotten", len(n.table.byID))
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
		t.Errorf("fingers of an ID that is not on the ring: got %v, want 60 first", absent)
	}
}
