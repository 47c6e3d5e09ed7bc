package quarantine

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
	"verbenatrestle/request"
)

var start = time.Unix(1_800_000_000, 0)

// running returns requests in flight, the first of them as suspects.
func running(suspects int, fingerprints ...request.Fingerprint) []InFlightRequest {
	var all []InFlightRequest
	for i, f := range fingerprints {
		all = append(all, InFlightRequest{Fingerprint: f, Suspect: i < suspects})
	}
	return all
}

func wantVerdict(t *testing.T, table *Table, f request.Fingerprint, now time.Time, want Verdict) {
	t.Helper()
	if got, _ := table.Check(f, now); got != want {
		t.Errorf("%v is %v, want %v", f, got, want)
	}
}

func TestSecondCrashConvictsTheOnlySuspect(t *testing.T) {
	table := New(DefaultSettings)
	table.RecordCrash(CrashID{"n1", "a"}, running(0, 1, 2, 3), start)
	for _, f := range []request.Fingerprint{1, 2, 3} {
		wantVerdict(t, table, f, start, Suspect)
	}
	later := start.Add(time.Second)
	table.RecordCompletion(2, true, later)
	wantVerdict(t, table, 2, later, Unsuspected)
	table.RecordCrash(CrashID{"n2", "b"}, running(1, 1, 7, 8), later)
	wantVerdict(t, table, 1, later, Quarantined)
	for _, f := range []request.Fingerprint{2, 3, 7, 8} {
		wantVerdict(t, table, f, later, Unsuspected)
	}
	wantVerdict(t, table, 1, later.Add(DefaultSettings.Duration), Unsuspected)
}

func TestCrashReportedTwiceConvictsNobody(t *testing.T) {
	table := New(DefaultSettings)
	for range 2 {
		table.RecordCrash(CrashID{"n1", "a"}, running(0, 1), start)
	}
	wantVerdict(t, table, 1, start, Suspect)
}

func TestTwoSuspectsInOneCrashStaySuspects(t *testing.T) {
	table := New(DefaultSettings)
	table.RecordCrash(CrashID{"n1", "a"}, running(0, 1, 2), start)
	table.RecordCrash(CrashID{"n2", "b"}, running(0, 1, 2), start.Add(time.Second))
	wantVerdict(t, table, 1, start.Add(time.Second), Suspect)
	wantVerdict(t, table, 2, start.Add(time.Second), Suspect)
}

// A node that has not heard of the first crash yet gets a request marked as a
// suspect beside one that isn't marked although it should be.
func TestMarkAloneConvictsNobody(t *testing.T) {
	table := New(DefaultSettings)
	table.RecordCrash(CrashID{"n2", "b"}, running(1, 2, 1), start)
	wantVerdict(t, table, 2, start, Suspect)
	first := Crash{ID: CrashID{"n1", "a"}, AtMillis: start.UnixMilli() - 5, InFlight: running(0, 1, 2)}
	table.Merge(Message{Crashes: []Crash{first}}, start)
	wantVerdict(t, table, 2, start, Suspect)
	table.RecordCrash(CrashID{"n3", "c"}, running(1, 1, 9), start.Add(time.Second))
	wantVerdict(t, table, 1, start.Add(time.Second), Quarantined)
	wantVerdict(t, table, 2, start.Add(time.Second), Unsuspected)
	wantVerdict(t, table, 9, start.Add(time.Second), Unsuspected)
}

// Two crashers at once: 1 and 2 each crash two targets, and 5 is in a crash of
// each. It is let go once the second crasher has shown itself.
func TestFurtherCrashAcquits(t *testing.T) {
	table := New(DefaultSettings)
	table.RecordCrash(CrashID{"n1", "a"}, running(0, 1, 5), start)
	table.RecordCrash(CrashID{"n2", "b"}, running(1, 5, 2), start.Add(time.Second))
	later := start.Add(2 * time.Second)
	table.RecordCrash(CrashID{"n3", "c"}, running(0, 2, 8), later)
	wantVerdict(t, table, 2, later, Quarantined)
	wantVerdict(t, table, 5, later, Suspect)
	table.RecordCrash(CrashID{"n4", "d"}, running(1, 1, 7), later)
	wantVerdict(t, table, 1, later, Quarantined)
	wantVerdict(t, table, 5, later, Unsuspected)
	wantVerdict(t, table, 8, later, Unsuspected)
}

func TestImplausibleTimesAreIgnored(t *testing.T) {
	table := New(DefaultSettings)
	for _, at := range []time.Duration{-2 * DefaultSettings.Duration, 2 * maxFutureOffset} {
		crash := Crash{ID: CrashID{"n1", "a"}, AtMillis: start.Add(at).UnixMilli(), InFlight: running(1, 1)}
		if table.Merge(Message{Crashes: []Crash{crash}}, start) {
			t.Errorf("a crash %v from now was taken in", at)
		}
	}
}

func TestMemoryIsBounded(t *testing.T) {
	s := Settings{Duration: time.Hour, MaxCrashes: 4, MaxInFlight: 3, MaxCompletions: 5}
	table := New(s)
	for i := range 50 {
		now := start.Add(time.Duration(i) * time.Second)
		f := request.Fingerprint(i * 10)
		table.RecordCrash(CrashID{"n1", now.String()}, running(0, f, f+1, f+2, f+3, f+4), now)
		table.RecordCompletion(f, true, now)
	}
	m := table.Export()
	if len(m.Crashes) > 4 || len(m.Completions) > 5 || len(table.verdicts) > 12 {
		t.Errorf("%d crashes, %d clears, %d verdicts kept", len(m.Crashes), len(m.Completions), len(table.verdicts))
	}
	for _, c := range m.Crashes {
		if len(c.InFlight) > 3 {
			t.Errorf("%d requests of a crash kept", len(c.InFlight))
		}
	}
}

// clusterModel is a model of targets, each run by its own node, and of callers that
// send again what was in flight at a crash. One request crashes every target
// that runs it. Every guard runs one suspect at a time. What nodes tell each
// other arrives late, twice and in any order, but before the next event when
// gossip is prompt.
type clusterModel struct {
	t               *rapid.T
	tables          []*Table
	running         [][]InFlightRequest
	inboxes         [][]Message
	resends         []request.Fingerprint
	now             time.Time
	instances       int
	crashes         int
	lastFingerprint request.Fingerprint
}

const crasher request.Fingerprint = 999

func newFleet(t *rapid.T, nodes int) *clusterModel {
	f := &clusterModel{t: t, now: start, lastFingerprint: 1000}
	for range nodes {
		f.tables = append(f.tables, New(DefaultSettings))
		f.running = append(f.running, nil)
		f.inboxes = append(f.inboxes, nil)
	}
	f.resends = []request.Fingerprint{crasher}
	return f
}

func (f *clusterModel) broadcast(from int, m Message) {
	for i := range f.inboxes {
		if i != from && !m.Empty() {
			f.inboxes[i] = append(f.inboxes[i], m)
		}
	}
}

func (f *clusterModel) deliver(i int) {
	for _, m := range rapid.Permutation(f.inboxes[i]).Draw(f.t, "order") {
		f.tables[i].Merge(m, f.now)
	}
	f.inboxes[i] = nil
}

// send runs a request at a node's target unless it is refused. The ingress
// node marks what it takes for a suspect.
func (f *clusterModel) send(i int, fp request.Fingerprint) {
	verdict, _ := f.tables[i].Check(fp, f.now)
	ingress := rapid.IntRange(0, len(f.tables)-1).Draw(f.t, "ingress")
	marked, _ := f.tables[ingress].Check(fp, f.now)
	if max(verdict, marked) == Quarantined {
		if fp != crasher {
			f.t.Fatalf("innocent %v is quarantined", fp)
		}
		return
	}
	suspect := verdict == Suspect || marked == Suspect
	if suspect && f.runsSuspect(i) {
		f.resends = append(f.resends, fp)
		return
	}
	f.running[i] = append(f.running[i], InFlightRequest{Fingerprint: fp, Suspect: suspect})
}

func (f *clusterModel) runsSuspect(i int) bool {
	for _, r := range f.running[i] {
		if r.Suspect {
			return true
		}
	}
	return false
}

func (f *clusterModel) crash(i int) {
	f.crashes++
	f.instances++
	id := CrashID{Node: string(rune('a' + i)), Instance: string(rune(f.instances))}
	f.broadcast(i, f.tables[i].RecordCrash(id, f.running[i], f.now))
	for _, r := range f.running[i] {
		f.resends = append(f.resends, r.Fingerprint)
	}
	f.running[i] = nil
}

func (f *clusterModel) complete(i int) {
	for _, r := range f.running[i] {
		if r.Fingerprint != crasher {
			f.broadcast(i, f.tables[i].RecordCompletion(r.Fingerprint, r.Suspect, f.now))
		}
	}
	f.running[i] = nil
}

func (f *clusterModel) step() {
	i := rapid.IntRange(0, len(f.tables)-1).Draw(f.t, "node")
	f.now = f.now.Add(time.Second)
	switch rapid.IntRange(0, 3).Draw(f.t, "event") {
	case 0:
		f.lastFingerprint++
		f.send(i, f.lastFingerprint)
	case 1:
		if len(f.resends) > 0 {
			fp := f.resends[0]
			f.resends = f.resends[1:]
			f.send(i, fp)
		}
	case 2:
		if f.runsCrasher(i) {
			f.crash(i)
			return
		}
		f.complete(i)
	case 3:
		f.deliver(i)
	}
}

func (f *clusterModel) runsCrasher(i int) bool {
	for _, r := range f.running[i] {
		if r.Fingerprint == crasher {
			return true
		}
	}
	return false
}

// The crasher is quarantined at its second crash when nodes hear of the first
// in time, and innocents never are.
func TestCrasherIsQuarantinedAtTheSecondCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(1, 4).Draw(t, "nodes"))
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			f.step()
			for i := range f.tables {
				f.deliver(i)
			}
			if f.crashes > 2 {
				t.Fatalf("%d crashes", f.crashes)
			}
		}
		for i, table := range f.tables {
			if verdict, _ := table.Check(crasher, f.now); f.crashes == 2 && verdict != Quarantined {
				t.Fatalf("node %d takes the crasher for %v", i, verdict)
			}
		}
	})
}

// However late and mixed up the nodes hear of crashes, they never quarantine
// an innocent, and come to the same verdicts once they have heard all.
func TestLateGossipQuarantinesNoInnocent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(2, 4).Draw(t, "nodes"))
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			f.step()
		}
		for i := range f.tables {
			f.deliver(i)
		}
		for i, table := range f.tables {
			if !reflect.DeepEqual(table.verdicts, f.tables[0].verdicts) {
				t.Fatalf("nodes 0 and %d disagree: %v, %v", i, f.tables[0].verdicts, table.verdicts)
			}
			for fp, r := range table.verdicts {
				if r.verdict == Quarantined && fp != crasher {
					t.Fatalf("innocent %v is quarantined", fp)
				}
			}
		}
	})
}
