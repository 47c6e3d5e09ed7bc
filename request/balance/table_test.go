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
	start            = time.Unix(1_800_000_000, 0)
	local            = Locality{DataCentre: "kochi-a", Region: "kerala-south"}
	scoredPolicies   = []string{"utilisation", "expectedwait", "hotcold", "peakewma"}
	usualSample      = load.Sample{InFlight: 5, Limit: 20, Latency: 10 * time.Millisecond, State: load.Warm}
	localDataCentres = []string{"kochi-a", "kochi-a", "kochi-a", "kochi-a"}
)

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(uint64(testseed.Seed()), 1))
}

// newTable returns a table with endpoints n0, n1, ... in the given data centres.
func newTable(t testing.TB, policy string, dataCentres ...string) *Table {
	t.Helper()
	p, err := New(policy)
	if err != nil {
		t.Fatal(err)
	}
	table := NewTable(p, local)
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

// countPicks returns how often each node was picked in the given number of picks.
func countPicks(table *Table, now time.Time, rng *rand.Rand, picks int) map[string]int {
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
		table.Observe(service, n, usualSample, now)
	}
}

func TestNewAcceptsAllNames(t *testing.T) {
	for _, name := range Names() {
		if p, err := New(name); err != nil || p.Name() != name {
			t.Errorf("New(%q) = %v, %v", name, p, err)
		}
	}
	if _, err := New("best"); err == nil {
		t.Error("New accepted the name of a policy that does not exist")
	}
}

// A picked endpoint is not excluded, accepts work, and is not ejected unless most
// endpoints are. There is a pick whenever such an endpoint exists.
func TestPickRespectsStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy, _ := New(rapid.SampledFrom(Names()).Draw(t, "policy"))
		table := NewTable(policy, local)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		dcs := rapid.SliceOfN(rapid.SampledFrom([]string{"kochi-a", "kochi-b", "burnie"}), 1, 8).Draw(t, "data centres")
		all := endpoints(dcs...)
		expected := make(map[string]load.State)
		var exclude []string
		for i := range all {
			all[i].State = load.State(rapid.IntRange(0, 5).Draw(t, "known"))
			all[i].Suspect = rapid.IntRange(0, 5).Draw(t, "suspect") == 0
			expected[all[i].Node] = all[i].State
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
			if acceptsUnlessEjected(e.State) {
				expected[e.Node] = sample.State
			}
		}
		usable, ejected := 0, 0
		pickable := 0
		for _, e := range all {
			if e.Suspect || !acceptsUnlessEjected(expected[e.Node]) {
				expected[e.Node] = load.OutOfService
				continue
			}
			usable++
			if expected[e.Node] == load.Ejected {
				ejected++
			}
		}
		most := 2*ejected > usable
		for _, e := range all {
			takes := expected[e.Node].AcceptsRequests() || most && expected[e.Node] == load.Ejected
			if takes && !slices.Contains(exclude, e.Node) {
				pickable++
			}
		}
		node, ok := table.Pick(service, exclude, start, rng)
		if ok != (pickable > 0) {
			t.Fatalf("%d endpoints can be picked, but Pick returned %v", pickable, ok)
		}
		if !ok {
			return
		}
		takes := expected[node].AcceptsRequests() || most && expected[node] == load.Ejected
		if !takes || slices.Contains(exclude, node) {
			t.Fatalf("picked %s in state %v", node, expected[node])
		}
	})
}

// A node that refused an attempt is not picked right afterwards, and is picked
// again once the refusal and the sample have aged.
func TestRefusingNodeIsAvoidedUntilRefusalAges(t *testing.T) {
	for _, policy := range scoredPolicies {
		table, rng := newTable(t, policy, localDataCentres...), newRand()
		observeAll(table, start)
		full := usualSample
		full.InFlight = full.Limit
		table.Begin(service, "n0", start)
		table.Observe(service, "n0", full, start)
		table.End(service, "n0", start, Result{Kind: Refused})
		if got := countPicks(table, start, rng, 1000); got["n0"] > 0 {
			t.Errorf("%s: %d of 1000 picks right after the refusal", policy, got["n0"])
		}
		aged := start.Add(10 * sampleTimeConstant)
		if got := countPicks(table, aged, rng, 1000); got["n0"] < 100 {
			t.Errorf("%s: %d of 1000 picks after the refusal has aged", policy, got["n0"])
		}
	}
}

// An attempt at a node that can't be reached counts as refused although there is
// no sample. The node is not picked right afterwards.
func TestRefusalWithoutSample(t *testing.T) {
	for _, policy := range scoredPolicies {
		table, rng := newTable(t, policy, localDataCentres...), newRand()
		observeAll(table, start)
		table.Begin(service, "n0", start)
		table.End(service, "n0", start.Add(time.Millisecond), Result{Kind: Refused})
		if got := countPicks(table, start.Add(time.Millisecond), rng, 1000); got["n0"] > 0 {
			t.Errorf("%s: %d of 1000 picks right after the refusal", policy, got["n0"])
		}
	}
}

// An endpoint with quick failures must not look idle. The failures are mixed with
// answers, so that the endpoint is not ejected and its score decides.
func TestQuickFailuresDoNotLookLikeLowLoad(t *testing.T) {
	for _, policy := range scoredPolicies {
		for _, failsOf3 := range []int{1, 2} {
			testQuickFailures(t, policy, failsOf3)
		}
	}
}

func testQuickFailures(t *testing.T, policy string, failsOf3 int) {
	table, rng := newTable(t, policy, localDataCentres...), newRand()
	now, failingPicks := start, 0
	const rounds = 2000
	for i := range rounds {
		now = now.Add(time.Millisecond)
		node, _ := table.Pick(service, nil, now, rng)
		table.Begin(service, node, now)
		sample, result := usualSample, Result{Kind: Answered, Latency: 10 * time.Millisecond}
		if node == "n0" {
			failingPicks++
			sample = load.Sample{InFlight: 0, Limit: 20, Latency: 100 * time.Microsecond, State: load.Warm}
			result = Result{Kind: Failed, Latency: 100 * time.Microsecond}
			if i%3 >= failsOf3 {
				result.Kind = Answered
			}
		}
		table.Observe(service, node, sample, now)
		table.End(service, node, now, result)
	}
	if failingPicks > rounds/10 {
		t.Errorf("%s: the endpoint that fails %d of 3 got %d of %d", policy, failsOf3, failingPicks, rounds)
	}
}

// With any policy, an endpoint that always fails is ejected for growing times.
func TestEjectionPeriodsGrow(t *testing.T) {
	for _, policy := range Names() {
		table, rng := newTable(t, policy, localDataCentres...), newRand()
		now := start
		fail := func() {
			table.Begin(service, "n0", now)
			table.End(service, "n0", now, Result{Kind: Failed})
		}
		for range ejectionThreshold {
			fail()
		}
		for n := range 8 {
			duration := ejectionTime("n0", n)
			if n > 0 && n < 6 && duration < 3*ejectionTime("n0", n-1)/2 {
				t.Fatalf("ejection %d lasts %v, the one before %v", n, duration, ejectionTime("n0", n-1))
			}
			if got := countPicks(table, now.Add(duration-1), rng, 300); got["n0"] > 0 {
				t.Fatalf("%s: picked during ejection %d", policy, n)
			}
			now = now.Add(duration)
			fail()
		}
	}
}

// If more than half of a service's endpoints are ejected, ejection is ignored.
func TestEjectionIsIgnoredIfMostAreEjected(t *testing.T) {
	for _, policy := range Names() {
		table, rng := newTable(t, policy, localDataCentres...), newRand()
		ejected := load.Sample{Limit: 2, State: load.Ejected}
		for i, node := range []string{"n0", "n1", "n2"} {
			table.Observe(service, node, ejected, start)
			got := countPicks(table, start, rng, 4000)
			if most := i+1 > 2; (got[node] > 0) != most {
				t.Errorf("%s: %d of 4 ejected, picks %v", policy, i+1, got)
			}
		}
	}
}

// A cold endpoint gets about the share of its limit in the sum of all limits,
// although it is idle.
func TestColdEndpointGetsShareOfItsLimit(t *testing.T) {
	for _, policy := range scoredPolicies {
		for _, warm := range []load.Sample{usualSample, {Limit: 20, Latency: 10 * time.Millisecond, State: load.Warm}} {
			table, rng := newTable(t, policy, localDataCentres...), newRand()
			for _, n := range []string{"n1", "n2", "n3"} {
				table.Observe(service, n, warm, start)
			}
			table.Observe(service, "n0", load.Sample{Limit: 2, Latency: 10 * time.Millisecond, State: load.Cold}, start)
			got := countPicks(table, start, rng, 10_000)
			if got["n0"] < 10_000/62 || got["n0"] > 2*10_000*2/62 {
				t.Errorf("%s: the cold endpoint got %d of 10000, its limit is 2 of 62", policy, got["n0"])
			}
		}
	}
}

// Work stays in the local data centre while it has capacity. Then it spills over
// to the region and to other regions, before any endpoint is full.
func TestWorkSpillsOverBeforeEndpointsAreFull(t *testing.T) {
	for _, policy := range scoredPolicies {
		table, rng := newTable(t, policy, "burnie", "kochi-b", "kochi-a"), newRand()
		for _, n := range []string{"n0", "n1", "n2"} {
			table.Observe(service, n, load.Sample{Limit: 20, Latency: time.Millisecond, State: load.Warm}, start)
		}
		capacity := int(spillUtilisation * 20)
		for i := range 3 * capacity {
			node, ok := table.Pick(service, nil, start, rng)
			want := []string{"n2", "n1", "n0"}[i/capacity]
			if !ok || node != want {
				t.Fatalf("%s: pick %d is %s, want %s", policy, i, node, want)
			}
			table.Begin(service, node, start)
		}
	}
}

// An endpoint is not picked while the attempts of this node hang there, although
// its samples look normal.
func TestEndpointWithHangingAttemptsIsAvoided(t *testing.T) {
	for _, policy := range []string{"expectedwait", "hotcold", "peakewma"} {
		table, rng := newTable(t, policy, localDataCentres...), newRand()
		observeAll(table, start)
		for _, node := range []string{"n0", "n1"} {
			table.Begin(service, node, start)
		}
		now := start.Add(80 * time.Millisecond)
		table.End(service, "n1", now, Result{Latency: 80 * time.Millisecond, Kind: Cancelled})
		observeAll(table, now)
		if got := countPicks(table, now, rng, 1000); got["n0"] > 0 {
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
		t.Fatal("a target that returned is not picked")
	}
}

func TestOracleUsesActualLoad(t *testing.T) {
	actualLoad := func(_, node string) (load.Sample, bool) {
		return load.Sample{InFlight: int(node[1] - '0'), Limit: 3, Latency: time.Millisecond}, node != "n0"
	}
	table := NewTable(NewOracle(actualLoad), local)
	table.SetEndpoints(service, endpoints(localDataCentres...))
	if got := countPicks(table, start, newRand(), 100); got["n1"] != 100 {
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
					table.Observe(service, node, usualSample, now)
					table.End(service, node, now, Result{Latency: time.Millisecond})
				}
			})
		}
	}
}
