package fleet

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
)

var start = time.Unix(1_800_000_000, 0)

func newTestTable() *Table {
	return NewTable(Settings{UnreachableAfter: time.Second, ForgetAfter: time.Minute, AvoidFor: 300 * time.Millisecond})
}

func status(node string, incarnation, sequence uint64) Status {
	return Status{
		Node: node, Incarnation: incarnation, Sequence: sequence, HopAddress: "10.0.0.1:1",
		Service: "s", Instance: "i", Slots: 4, Slowdown: 100, Accepting: true,
	}
}

func TestLateStatusOfAnEarlierLifeIsDropped(t *testing.T) {
	table := newTestTable()
	table.Merge(status("a", 1, 5), "c", start)
	if news, fresh := table.Merge(status("a", 2, 1), "c", start); !news || !fresh {
		t.Fatal("a new life whose count starts anew is no news")
	}
	if news, _ := table.Merge(status("a", 1, 6), "c", start); news {
		t.Fatal("a late status of the former life is news")
	}
	if news, _ := table.Merge(status("a", 2, 1), "c", start); news {
		t.Fatal("a status that came twice is news")
	}
}

func TestOrderOfDatagramsDoesNotMatterWithinALife(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTestTable()
		highest := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "datagrams") {
			sequence := rapid.Uint64Range(1, 30).Draw(t, "sequence")
			if rapid.Bool().Draw(t, "beat") {
				table.MergeHeartbeat(Heartbeat{Incarnation: 1, Sequence: sequence, Running: int(sequence)}, start)
				if highest > 0 {
					highest = max(highest, sequence)
				}
			} else {
				s := status("a", 1, sequence)
				s.Running = int(sequence)
				table.Merge(s, "c", start)
				highest = max(highest, sequence)
			}
			if p, ok := table.Peer("a"); ok && p.Status.Running != int(highest) {
				t.Fatalf("load of datagram %d counts, the newest is %d", p.Status.Running, highest)
			}
		}
	})
}

// Packets pass one way only: a node that is heard, and does not hear this one,
// is no candidate.
func TestPeerHasToHearThisNode(t *testing.T) {
	table := newTestTable()
	s := status("a", 1, 1)
	s.EchoMillis = -1
	table.Merge(s, "c", start)
	if len(table.Candidates("s", start)) != 0 {
		t.Fatal("a peer that does not hear this node is a candidate")
	}
	s.Sequence, s.EchoMillis = 2, 100
	table.Merge(s, "c", start)
	if len(table.Candidates("s", start)) != 1 {
		t.Fatal("a peer in reach is no candidate")
	}
	s.Sequence, s.EchoMillis = 3, 2000
	table.Merge(s, "c", start.Add(500*time.Millisecond))
	if len(table.Candidates("s", start.Add(500*time.Millisecond))) != 0 {
		t.Fatal("a peer that no longer hears this node is a candidate")
	}
}

func TestSilentStoppingClosedAndFailedPeersAreNoCandidates(t *testing.T) {
	for name, spoil := range map[string]func(table *Table) time.Time{
		"silent": func(*Table) time.Time { return start.Add(1100 * time.Millisecond) },
		"stopping": func(t *Table) time.Time {
			s := status("a", 1, 2)
			s.Stopping = true
			t.Merge(s, "c", start)
			return start
		},
		"closed": func(t *Table) time.Time {
			s := status("a", 1, 2)
			s.Accepting = false
			t.Merge(s, "c", start)
			return start
		},
		"refusal": func(t *Table) time.Time { t.MergeLoad("a", Load{}, start); return start },
		"failed":  func(t *Table) time.Time { t.HopFailed("a", start); return start.Add(100 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			table := newTestTable()
			table.Merge(status("a", 1, 1), "c", start)
			if len(table.Candidates("s", start)) != 1 {
				t.Fatal("no candidate at first")
			}
			if now := spoil(table); len(table.Candidates("s", now)) != 0 {
				t.Fatal("still a candidate")
			}
		})
	}
}

func TestSilenceTellsEachLossAndReturnOnce(t *testing.T) {
	table := newTestTable()
	var silence ReachabilityTracker
	table.Merge(status("a", 1, 1), "c", start)
	if c := silence.Changes(table, start); len(c) != 1 || !c[0].Reachable {
		t.Fatalf("at first: %v", c)
	}
	later := start.Add(3 * time.Second)
	if c := silence.Changes(table, later); len(c) != 1 || c[0].Reachable {
		t.Fatalf("when silent: %v", c)
	}
	if c := silence.Changes(table, later); len(c) != 0 {
		t.Fatalf("a second time: %v", c)
	}
}

func TestIntroducedNodeKeepsTheAddressThatItIsHeardFrom(t *testing.T) {
	table := newTestTable()
	table.Merge(status("a", 1, 1), "new", start)
	table.AddDiscovered("a", "dc", "old-hop", "old", start)
	if p, _ := table.Peer("a"); p.DatagramAddress != "new" {
		t.Fatalf("contact %q", p.DatagramAddress)
	}
	later := start.Add(10 * time.Second)
	table.AddDiscovered("a", "dc", "moved-hop", "moved", later)
	if p, _ := table.Peer("a"); p.DatagramAddress != "moved" || p.Status.HopAddress != "moved-hop" {
		t.Fatalf("contact %q, hop %q after a silence", p.DatagramAddress, p.Status.HopAddress)
	}
}

// However many nodes there are, and whichever of them reach the store, a few
// are on duty, and in a fleet that is whole they agree on who.
// A target and the node beside it end, and their address goes to a new node:
// the others tell only the new one, and know that they hear each other.
func TestNodeThatGetsTheAddressOfAnotherReplacesIt(t *testing.T) {
	for name, introduced := range map[string]bool{"found by its statuses": false, "found at the store before": true} {
		table := newTestTable()
		table.Merge(status("gone", 1, 1), "10.0.0.9:1", start)
		later := start.Add(10 * time.Second)
		if introduced {
			table.AddDiscovered("new", "dc", "10.0.0.9:2", "10.0.0.9:1", later)
		}
		table.Merge(status("new", 2, 1), "10.0.0.9:1", later)
		table.AddDiscovered("gone", "dc", "10.0.0.9:2", "10.0.0.9:1", later)
		peers := table.Peers(later)
		if len(peers) != 1 || peers[0].Status.Node != "new" {
			t.Errorf("%s: told are %+v", name, peers)
		}
	}
}

func TestAFewNodesFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "nodes")
		reaches := make([]bool, count)
		reaching := 0
		for i := range reaches {
			reaches[i] = rapid.Bool().Draw(t, "reaches")
			if reaches[i] {
				reaching++
			}
		}
		duties := 0
		for i := range count {
			table := newTestTable()
			for j := range count {
				if i != j {
					s := status(fmt.Sprintf("n%02d", j), uint64(j+1), 1)
					s.ReachesStore = reaches[j]
					table.Merge(s, s.Node, start)
				}
			}
			duty := table.StoreWatchRole(fmt.Sprintf("n%02d", i), reaches[i], 3, start)
			if duty.Active {
				duties++
			}
			if want := min(3, reaching); reaching > 0 && duty.Watchers != want {
				t.Fatalf("%d share, want %d", duty.Watchers, want)
			}
			if reaching == 0 && duty.Watchers != count {
				t.Fatalf("%d share in an outage, want all %d", duty.Watchers, count)
			}
		}
		if want := min(3, reaching); reaching > 0 && duties != want || reaching == 0 && duties != count {
			t.Fatalf("%d on duty of %d that reach the store and %d in all", duties, reaching, count)
		}
	})
}

func TestNodesFollowABoundedNumberClosely(t *testing.T) {
	for _, size := range []int{13, 76, 300, 1300} {
		name := func(i int) string { return fmt.Sprintf("node-%d", i) }
		service := func(i int) string { return fmt.Sprintf("s%d", i%4) }
		tables := make([]*Table, 12)
		for i := range tables {
			tables[i] = newTestTable()
			for j := range size {
				if j == i {
					continue
				}
				s := status(name(j), uint64(j+1), 1)
				s.Service = service(j)
				tables[i].Merge(s, s.Node, start)
			}
			tables[i].SelectHeartbeatPeers(name(i), service(i), start)
		}
		for i, table := range tables {
			near := 0
			for _, p := range table.Peers(start) {
				if !p.StatusOnly {
					near++
				}
			}
			if size == 13 && near != 12 {
				t.Errorf("in a fleet of 13 only %d are close", near)
			}
			if size > 13 && (near < 10 || near > 4*heartbeatTargets*3/2) {
				t.Errorf("in a fleet of %d, %d are close", size, near)
			}
			for j, other := range tables {
				a, _ := table.Peer(name(j))
				b, _ := other.Peer(name(i))
				if i != j && a.StatusOnly != b.StatusOnly {
					t.Errorf("%d and %d of %d do not agree", i, j, size)
				}
			}
			if rate := float64(size) / table.StatusOnlyInterval().Seconds(); rate > 80 {
				t.Errorf("%v statuses a second in a fleet of %d", rate, size)
			}
		}
	}
}

// A distant node is told of seldom, and is out of reach later.
func TestDistantNodeMayBeSilentForLonger(t *testing.T) {
	table := newTestTable()
	table.Merge(status("a", 1, 1), "c", start)
	table.peers["a"].StatusOnly, table.statusOnlyInterval = true, time.Second
	if !table.Reachable("a", start.Add(2*time.Second)) || table.Reachable("a", start.Add(3*time.Second)) {
		t.Fatal("not out of reach after 2.6 periods")
	}
}
