package fleet

import (
	"fmt"
	"testing"
	"time"
)

// layout describes a fleet: the share of each service in its nodes, and its data
// centres, which the nodes are spread over evenly.
type layout struct {
	services    map[string]float64
	dataCentres int
}

// unevenServices is a fleet in which one service has few targets and is called by all
// others.
var unevenServices = layout{services: map[string]float64{"view": 0.38, "certify": 0.26, "intake": 0.1, "archive": 0.26}, dataCentres: 5}

// statuses returns the statuses of a fleet of the given size.
func (l layout) statuses(size int) []Status {
	var names []string
	for _, name := range sortedKeys(l.services) {
		for range max(1, int(l.services[name]*float64(size)+0.5)) {
			names = append(names, name)
		}
	}
	all := make([]Status, size)
	for i := range all {
		all[i] = status(fmt.Sprintf("node-%04d", i), uint64(i+1), 1)
		all[i].Service = names[i%len(names)]
		all[i].DataCentre = fmt.Sprintf("dc-%d", i%l.dataCentres)
	}
	return all
}

// tableOf returns the table of one node that has just received messages of all others, with its
// heartbeat peers.
func tableOf(all []Status, self int, now time.Time) *Table {
	table := newTestTable()
	for i := range all {
		if i != self {
			table.Merge(all[i], all[i].Node, now)
		}
	}
	table.SelectHeartbeatPeers(selfOf(&all[self]), now)
	return table
}

func selfOf(s *Status) Self { return Self{Node: s.Node, DataCentre: s.DataCentre, Service: s.Service} }

// The number of nodes that a node exchanges heartbeats with must not grow with the
// fleet, but for those beside the targets of a small service, which all others need.
func TestHeartbeatPeersAreBounded(t *testing.T) {
	for _, size := range []int{13, 76, 96, 295, 1343} {
		all := unevenServices.statuses(size)
		total := 0
		const sample = 40
		for k := range sample {
			self := k * size / sample
			table := tableOf(all, self, start)
			selected := 0
			for _, p := range table.Peers(start) {
				if !p.StatusOnly {
					selected++
				}
			}
			total += selected
			if size <= fullMeshNodes && selected != size-1 {
				t.Errorf("in a fleet of %d only %d get heartbeats", size, selected)
			}
			limit := 96
			if all[self].Service == "intake" {
				limit = 192
			}
			if size > fullMeshNodes && (selected < 40 || selected > limit) {
				t.Errorf("in a fleet of %d, %d get heartbeats of a node of %s", size, selected, all[self].Service)
			}
			if rate := float64(size) / table.StatusOnlyInterval().Seconds(); size > fullMeshNodes && rate > 5 {
				t.Errorf("%v statuses per second in a fleet of %d", rate, size)
			}
		}
		if mean := float64(total) / sample; size > fullMeshNodes && mean > 96 {
			t.Errorf("in a fleet of %d, a node has %v heartbeat peers on average", size, mean)
		}
	}
}

// Nodes that know the same fleet must agree on which pairs exchange heartbeats, once
// each has received one message of the other.
func TestBothNodesOfPairSelectEachOther(t *testing.T) {
	for _, size := range []int{13, 295} {
		all := unevenServices.statuses(size)
		tables := make([]*Table, min(40, size))
		for i := range tables {
			tables[i] = tableOf(all, i, start)
		}
		exchangeStatuses(tables, all)
		for i := range tables {
			for j := range tables {
				if i == j {
					continue
				}
				a, _ := tables[i].Peer(all[j].Node)
				b, _ := tables[j].Peer(all[i].Node)
				if a.StatusOnly != b.StatusOnly {
					t.Errorf("nodes %d and %d of %d disagree on heartbeats", i, j, size)
				}
			}
		}
	}
}

// exchangeStatuses delivers a status of each node to all others, with the Wanted flag
// that it has for them, and lets them choose again.
func exchangeStatuses(tables []*Table, all []Status) {
	for i := range tables {
		for j := range tables {
			if i != j {
				r, _ := tables[i].RecipientOf(all[j].Node, start)
				s := all[i]
				s.Sequence, s.Wanted = s.Sequence+1, r.Wanted
				tables[j].Merge(s, s.Node, start)
			}
		}
	}
	for i := range tables {
		tables[i].SelectHeartbeatPeers(selfOf(&all[i]), start)
	}
}

// Each node must see enough targets of each service for a choice, most of them in its
// own data centre.
func TestEachServiceHasEnoughCandidates(t *testing.T) {
	all := unevenServices.statuses(295)
	for self := range 60 {
		table := tableOf(all, self, start)
		for service := range unevenServices.services {
			local, total := 0, 0
			for _, c := range table.Candidates(service, start) {
				total++
				if c.DataCentre == all[self].DataCentre {
					local++
				}
			}
			if total < 8 || local < 3 {
				t.Errorf("node %d sees %d targets of %s, %d of them in its data centre", self, total, service, local)
			}
		}
	}
}

// receiveStatuses applies statuses of some nodes with a higher sequence.
func receiveStatuses(table *Table, all []Status, self int, now time.Time, answers func(i int) bool) {
	for i := range all {
		if i != self && answers(i) {
			all[i].Sequence++
			table.Merge(all[i], all[i].Node, now)
		}
	}
}

// selectRepeatedly lets half a second pass several times, in which the chosen peers
// for which answers holds send a status.
func selectRepeatedly(table *Table, all []Status, self int, from time.Time, answers func(i int) bool) time.Time {
	now := from
	for range 12 {
		now = now.Add(500 * time.Millisecond)
		receiveStatuses(table, all, self, now, func(i int) bool {
			p, ok := table.Peer(all[i].Node)
			return ok && !p.StatusOnly && answers(i)
		})
		table.SelectHeartbeatPeers(selfOf(&all[self]), now)
	}
	return now
}

// More than half of all nodes are lost at once, or those of a whole data centre. The
// peers that are left must be replaced by others, so that each service keeps enough
// candidates.
func TestLostHeartbeatPeersAreReplaced(t *testing.T) {
	for name, alive := range map[string]func(all []Status, i int) bool{
		"herd": func(_ []Status, i int) bool { return i*7919%100 >= 55 },
		"own data centre but for this node": func(all []Status, i int) bool {
			return all[i].DataCentre != all[0].DataCentre
		},
	} {
		all := unevenServices.statuses(295)
		table := tableOf(all, 0, start)
		now := selectRepeatedly(table, all, 0, start, func(i int) bool { return alive(all, i) })
		for service := range unevenServices.services {
			if found := len(table.Candidates(service, now)); found < 7 {
				t.Errorf("%s: %d candidates of %s", name, found, service)
			}
		}
	}
}

// While the own data centre is out of service, its targets are replaced by others.
func TestTargetsOutOfServiceAreReplaced(t *testing.T) {
	all := unevenServices.statuses(295)
	self := selfOf(&all[0])
	self.DataCentresOut = []string{self.DataCentre}
	table := tableOf(all, 0, start)
	remote := func() map[string]int {
		counts := make(map[string]int)
		for _, p := range table.Peers(start) {
			if !p.StatusOnly && p.Status.DataCentre != self.DataCentre {
				counts[p.Status.Service]++
			}
		}
		return counts
	}
	now := start.Add(settleTime)
	receiveStatuses(table, all, 0, now, func(int) bool { return true })
	table.SelectHeartbeatPeers(self, now)
	after := remote()
	for _, service := range []string{"view", "certify", "archive"} {
		if want := localTargets + remoteTargets - 1; after[service] < want {
			t.Errorf("%s: %d remote heartbeat peers, want %d", service, after[service], want)
		}
	}
}

// Two nodes disagree on the size of a service, so that only one of them chooses the
// other. Both must exchange heartbeats, and stop when it drops the other.
func TestPeerThatWantsHeartbeatsGetsThem(t *testing.T) {
	all := unevenServices.statuses(295)
	table := tableOf(all, 0, start)
	var other string
	for _, p := range table.Peers(start) {
		if p.StatusOnly {
			other = p.Status.Node
			break
		}
	}
	s, _ := table.Peer(other)
	wants := s.Status
	wants.Sequence, wants.Wanted = wants.Sequence+1, true
	table.Merge(wants, other, start)
	table.SelectHeartbeatPeers(selfOf(&all[0]), start)
	if p, _ := table.Peer(other); p.StatusOnly {
		t.Fatal("a peer that chose this node gets no heartbeats")
	}
	table.MergeHeartbeat(Heartbeat{Incarnation: wants.Incarnation, Sequence: wants.Sequence + 1}, start)
	table.SelectHeartbeatPeers(selfOf(&all[0]), start)
	if p, _ := table.Peer(other); !p.StatusOnly {
		t.Fatal("a peer that dropped this node still gets heartbeats")
	}
}
