package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenatrestle/connection/load"
	"verbenatrestle/internal/testseed"
)

const service = "kodumala/archive"

var (
	start  = time.Unix(1_800_000_000, 0)
	here   = Locality{DataCentre: "kochi-a", Region: "kerala-south"}
	ours   = []string{"utilisation", "expectedwait", "hotcold", "peakewma"}
	usual  = load.Sample{InFlight: 5, Limit: 20, Latency: 10 * time.Millisecond, State: load.Warm}
	myself = []string{"kochi-a", "kochi-a", "kochi-a", "kochi-a"}
)

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(uint64(testseed.Seed()), 1))
}

// newTable returns a table with an endpoint n0, n1, ... in each data centre.
func newTable(t testing.TB, policy string, dataCentres ...string) *Table {
	t.Helper()
	p, err := New(policy)
	if err != nil {
		t.Fatal(err)
	}
	table := NewTable(p, here)
	table.SetEndpoints(service, endpoints(dataCentres...))
	return table
}

func endpoints(dataCentres ...string) []Endpoint {
	var all []Endpoint
	for i, dc := range dataCentres {
		region := "kerala-south"
		if dc == "burnie" {
			region = "tas-north"
		}
		all = append(all, Endpoint{
			Node: fmt.Sprintf("n%d", i), DataCentre: dc, Region: region,
			State: load.Warm, Slots: 20, ColdLimit: 2,
		})
	}
	return all
}

// counts picks many times and returns how often each node was picked.
func counts(table *Table, now time.Time, rng *rand.Rand, picks int) map[string]int {
	got := make(map[string]int)
	for range picks {
		if node, ok := table.Pick(service, nil, now, rng); ok {
			got[node]++
		}
	}
	return got
}

func observeAll(table *Table, now time.Time) {
	for _, n := range []string{"n0", "n1", "n2", "n3"} {
		table.Observe(service, n, usual, now)
	}
}

func TestNewKnowsItsNames(t *testing.T) {
	for _, name := range Names() {
		if p, err := New(name); err != nil || p.Name() != name {
			t.Errorf("New(%q) = %v, %v", name, p, err)
		}
	}
	if _, err := New("best"); err == nil {
		t.Error("New knows a policy that there isn't")
	}
}

// A pick is never excluded, never of an endpoint that takes no work, never
// ejected unless most are, and there is one whenever there can be.
func TestPickRespectsStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy, _ := New(rapid.SampledFrom(Names()).Draw(t, "policy"))
		table := NewTable(policy, here)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		dcs := rapid.SliceOfN(rapid.SampledFrom([]string{"kochi-a", "kochi-b", "burnie"}), 1, 8).Draw(t, "data centres")
		all := endpoints(dcs...)
		believed := make(map[string]load.State)
		var exclude []string
		for i := range all {
			all[i].State = load.State(rapid.IntRange(0, 5).Draw(t, "known"))
			all[i].Suspect = rapid.IntRange(0, 5).Draw(t, "suspect") == 0
			believed[all[i].Node] = all[i].State
			if rapid.Bool().Draw(t, "exclude") {
				exclude = append(exclude, all[i].Node)
			}
		}
		table.SetEndpoints(service, all)
		for _, e := range all {
			if !rapid.Bool().Draw(t, "sampled") {
				continue
			}
			sample := load.Sample{
				InFlight: rapid.IntRange(0, 30).Draw(t, "in flight"),
				Limit:    rapid.IntRange(0, 20).Draw(t, "limit"),
				State:    load.State(rapid.IntRange(0, 5).Draw(t, "reported")),
			}
			table.Observe(service, e.Node, sample, start)
			if takesUnlessEjected(e.State) {
				believed[e.Node] = sample.State
			}
		}
		usable, ejected := 0, 0
		open := 0
		for _, e := range all {
			if e.Suspect || !takesUnlessEjected(believed[e.Node]) {
				believed[e.Node] = load.OutOfService
				continue
			}
			usable++
			if believed[e.Node] == load.Ejected {
				ejected++
			}
		}
		most := 2*ejected > usable
		for _, e := range all {
			takes := believed[e.Node].AcceptsRequests() || most && believed[e.Node] == load.Ejected
			if takes && !slices.Contains(exclude, e.Node) {
				open++
			}
		}
		node, ok := table.Pick(service, exclude, start, rng)
		if ok != (open > 0) {
			t.Fatalf("%d endpoints take work, and Pick says %v", open, ok)
		}
		if !ok {
			return
		}
		takes := believed[node].AcceptsRequests() || most && believed[node] == load.Ejected
		if !takes || slices.Contains(exclude, node) {
			t.Fatalf("picked %s, which is %v", node, believed[node])
		}
	})
}

// A node that refused is unattractive at once, and tried again once its
// sample has aged.
func TestRefusalIsUnattractiveUntilAged(t *testing.T) {
	for _, policy := range ours {
		table, rng := newTable(t, policy, myself...), newRand()
		observeAll(table, start)
		full := usual
		full.InFlight = full.Limit
		table.Begin(service, "n0", start)
		table.Observe(service, "n0", full, start)
		table.End(service, "n0", start, Result{Kind: Refused})
		if got := counts(table, start, rng, 1000); got["n0"] > 0 {
			t.Errorf("%s: %d of 1000 picks right after the refusal", policy, got["n0"])
		}
		aged := start.Add(10 * ageing)
		if got := counts(table, aged, rng, 1000); got["n0"] < 100 {
			t.Errorf("%s: %d of 1000 picks once aged", policy, got["n0"])
		}
	}
}

// A node that can't be reached sends no sample; its refusal counts all the same.
func TestRefusalWithoutSample(t *testing.T) {
	for _, policy := range ours {
		table, rng := newTable(t, policy, myself...), newRand()
		observeAll(table, start)
		table.Begin(service, "n0", start)
		table.End(service, "n0", start.Add(time.Millisecond), Result{Kind: Refused})
		if got := counts(table, start.Add(time.Millisecond), rng, 1000); got["n0"] > 0 {
			t.Errorf("%s: %d of 1000 picks right after the refusal", policy, got["n0"])
		}
	}
}

// An endpoint that fails at once must not look idle. The failures are mixed
// with answers, so that ejection doesn't hide the score.
func TestQuickFailuresDoNotLookLikeLowLoad(t *testing.T) {
	for _, policy := range ours {
		for _, failsOf3 := range []int{1, 2} {
			testQuickFailures(t, policy, failsOf3)
		}
	}
}

func testQuickFailures(t *testing.T, policy string, failsOf3 int) {
	table, rng := newTable(t, policy, myself...), newRand()
	now, failer := start, 0
	const rounds = 2000
	for i := range rounds {
		now = now.Add(time.Millisecond)
		node, _ := table.Pick(service, nil, now, rng)
		table.Begin(service, node, now)
		sample, result := usual, Result{Kind: Answered, Latency: 10 * time.Millisecond}
		if node == "n0" {
			failer++
			sample = load.Sample{InFlight: 0, Limit: 20, Latency: 100 * time.Microsecond, State: load.Warm}
			result = Result{Kind: Failed, Latency: 100 * time.Microsecond}
			if i%3 >= failsOf3 {
				result.Kind = Answered
			}
		}
		table.Observe(service, node, sample, now)
		table.End(service, node, now, result)
	}
	if failer > rounds/10 {
		t.Errorf("%s: the endpoint that fails %d of 3 got %d of %d", policy, failsOf3, failer, rounds)
	}
}

// An endpoint that only fails is ejected for growing spells, whatever the policy.
func TestEjectionSpellsGrow(t *testing.T) {
	for _, policy := range Names() {
		table, rng := newTable(t, policy, myself...), newRand()
		now := start
		fail := func() {
			table.Begin(service, "n0", now)
			table.End(service, "n0", now, Result{Kind: Failed})
		}
		for range ejectAfter {
			fail()
		}
		for n := range 8 {
			length := spell("n0", n)
			if n > 0 && n < 6 && length < 3*spell("n0", n-1)/2 {
				t.Fatalf("spell %d lasts %v, the one before %v", n, length, spell("n0", n-1))
			}
			if got := counts(table, now.Add(length-1), rng, 300); got["n0"] > 0 {
				t.Fatalf("%s: picked during spell %d", policy, n)
			}
			now = now.Add(length)
			fail()
		}
	}
}

// If more than half of a service is ejected, ejection is ignored.
func TestMostEjectedMeansNoneEjected(t *testing.T) {
	for _, policy := range Names() {
		table, rng := newTable(t, policy, myself...), newRand()
		ejected := load.Sample{Limit: 2, State: load.Ejected}
		for i, node := range []string{"n0", "n1", "n2"} {
			table.Observe(service, node, ejected, start)
			got := counts(table, start, rng, 4000)
			if most := i+1 > 2; (got[node] > 0) != most {
				t.Errorf("%s: %d of 4 ejected, picks %v", policy, i+1, got)
			}
		}
	}
}

// A cold endpoint gets about the share that it bears, not the share of an
// idle one.
func TestColdGetsProportionallyLittle(t *testing.T) {
	for _, policy := range ours {
		for _, warm := range []load.Sample{usual, {Limit: 20, Latency: 10 * time.Millisecond, State: load.Warm}} {
			table, rng := newTable(t, policy, myself...), newRand()
			for _, n := range []string{"n1", "n2", "n3"} {
				table.Observe(service, n, warm, start)
			}
			table.Observe(service, "n0", load.Sample{Limit: 2, Latency: 10 * time.Millisecond, State: load.Cold}, start)
			got := counts(table, start, rng, 10_000)
			if got["n0"] < 10_000/62 || got["n0"] > 2*10_000*2/62 {
				t.Errorf("%s: the cold endpoint got %d of 10000, it bears 2 of 62", policy, got["n0"])
			}
		}
	}
}

// Work stays in the local data centre while it has room, then goes to the
// region and then beyond, before any endpoint is full.
func TestSpillsBeforeItQueues(t *testing.T) {
	for _, policy := range ours {
		table, rng := newTable(t, policy, "burnie", "kochi-b", "kochi-a"), newRand()
		for _, n := range []string{"n0", "n1", "n2"} {
			table.Observe(service, n, load.Sample{Limit: 20, Latency: time.Millisecond, State: load.Warm}, start)
		}
		room := int(roomShare * 20)
		for i := range 3 * room {
			node, ok := table.Pick(service, nil, start, rng)
			want := []string{"n2", "n1", "n0"}[i/room]
			if !ok || node != want {
				t.Fatalf("%s: pick %d is %s, want %s", policy, i, node, want)
			}
			table.Begin(service, node, start)
		}
	}
}

// An endpoint whose own attempts hang is left alone before it answers.
func TestHangingAttemptsShow(t *testing.T) {
	for _, policy := range []string{"expectedwait", "hotcold", "peakewma"} {
		table, rng := newTable(t, policy, myself...), newRand()
		observeAll(table, start)
		for _, node := range []string{"n0", "n1"} {
			table.Begin(service, node, start)
		}
		now := start.Add(80 * time.Millisecond)
		table.End(service, "n1", now, Result{Latency: 80 * time.Millisecond, Kind: Cancelled})
		observeAll(table, now)
		if got := counts(table, now, rng, 1000); got["n0"] > 0 {
			t.Errorf("%s: the hanging endpoint got %d of 1000", policy, got["n0"])
		}
	}
}

func TestMembershipOverrulesAnOlderSample(t *testing.T) {
	table, rng := newTable(t, DefaultPolicy, "kochi-a"), newRand()
	table.Observe(service, "n0", load.Sample{State: load.Draining}, start)
	if _, ok := table.Pick(service, nil, start, rng); ok {
		t.Fatal("picked a draining target")
	}
	returned := endpoints("kochi-a")
	returned[0].State = load.Cold
	table.SetEndpoints(service, returned)
	if _, ok := table.Pick(service, nil, start, rng); !ok {
		t.Fatal("a target that came back is not picked")
	}
}

func TestOracleKnowsTheTruth(t *testing.T) {
	truth := func(_, node string) (load.Sample, bool) {
		return load.Sample{InFlight: int(node[1] - '0'), Limit: 3, Latency: time.Millisecond}, node != "n0"
	}
	table := NewTable(NewOracle(truth), here)
	table.SetEndpoints(service, endpoints(myself...))
	if got := counts(table, start, newRand(), 100); got["n1"] != 100 {
		t.Errorf("picks %v, want n1 only", got)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, policy := range Names() {
		for _, size := range []int{4, 11, 40} {
			b.Run(fmt.Sprintf("%s/%d", policy, size), func(b *testing.B) {
				table := newTable(b, policy, slices.Repeat([]string{"kochi-a", "kochi-b"}, size/2+1)[:size]...)
				rng, now := newRand(), start
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(100 * time.Microsecond)
					node, _ := table.Pick(service, nil, now, rng)
					table.Begin(service, node, now)
					table.Observe(service, node, usual, now)
					table.End(service, node, now, Result{Latency: time.Millisecond})
				}
			})
		}
	}
}
