package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenatrestle/connection/load"
	"verbenatrestle/request"
	"verbenatrestle/request/quarantine"
)

// warmGuard returns the guard of a warm target.
func warmGuard(t testing.TB) (*Controller, time.Time) {
	t.Helper()
	g := newGuard(t, "fixed")
	g.Announce(Target{Instance: "a", Slots: slots, ColdLimit: coldLimit, Connections: 200}, start)
	return g, warmUp(t, g, start)
}

// fill admits a caller's requests until there is no room.
func fill(t testing.TB, g *Controller, caller request.ShareKey, now time.Time) []Permit {
	t.Helper()
	var tickets []Permit
	for {
		ticket, refusal := g.Admit(Request{Caller: caller}, now)
		if refusal != nil {
			return tickets
		}
		tickets = append(tickets, ticket)
	}
}

func wantRefusal(t testing.TB, g *Controller, r Request, now time.Time, want Reason) *Refusal {
	t.Helper()
	_, refusal := g.Admit(r, now)
	if refusal == nil {
		t.Fatalf("admitted, want refusal: %v", want)
	}
	if refusal.Reason != want {
		t.Fatalf("refused: %v, want: %v", refusal.Reason, want)
	}
	return refusal
}

func TestRefusalCarriesTrueLoadAndNotRun(t *testing.T) {
	g, now := warmGuard(t)
	fill(t, g, alpine, now)
	refusal := wantRefusal(t, g, Request{Caller: alpine}, now, Full)
	if refusal.Sample.InFlight != slots || refusal.Sample.Limit != slots {
		t.Errorf("sample %+v", refusal.Sample)
	}
	failure := refusal.Failure("n1")
	if failure.Outcome != request.NotRun || failure.Peer != "n1" || failure.RetryAfter <= 0 {
		t.Errorf("failure %+v", failure)
	}
}

func TestSampleShowsWhatHangs(t *testing.T) {
	g, now := warmGuard(t)
	fill(t, g, alpine, now)
	later := now.Add(8 * workTime)
	if got := g.Sample(later).Latency; got < 8*workTime-time.Microsecond {
		t.Errorf("latency %v after all hung for %v", got, 8*workTime)
	}
}

func TestTooLittleTimeLeft(t *testing.T) {
	g, now := warmGuard(t)
	wantRefusal(t, g, Request{Deadline: now.Add(workTime / 2)}, now, InsufficientTime)
	wantRefusal(t, g, Request{Deadline: now}, now, Expired)
	if _, refusal := g.Admit(Request{Deadline: now.Add(2 * workTime)}, now); refusal != nil {
		t.Errorf("refused: %v", refusal)
	}
}

func TestOpeningConnectionsIsBounded(t *testing.T) {
	g, now := warmGuard(t)
	g.SetOpenConnections(3)
	if got := len(fill(t, g, alpine, now)); got != 3+DefaultSettings.MaxConnecting {
		t.Errorf("%d admitted on 3 open connections", got)
	}
	wantRefusal(t, g, Request{}, now, Connecting)
	if plan := g.PlanConnections(now); plan.Wanted != slots+spareConnections {
		t.Errorf("plan %+v", plan)
	}
}

// A target that fails fast is ejected for growing spells, gets a trickle
// meanwhile and comes back cold.
func TestFastFailerIsEjected(t *testing.T) {
	g, now := warmGuard(t)
	var former time.Duration
	for range 8 {
		for range ejectAfter {
			if ticket, refusal := g.Admit(Request{}, now); refusal == nil {
				g.Done(ticket, Result{Kind: Failed}, now)
			}
		}
		if got := g.Sample(now); got.State != load.Ejected || got.Limit != coldLimit {
			t.Fatalf("after %d failures: %+v", ejectAfter, got)
		}
		tickets := fill(t, g, alpine, now)
		if len(tickets) != coldLimit {
			t.Fatalf("%d admitted while ejected, want the trickle of %d", len(tickets), coldLimit)
		}
		refusal := wantRefusal(t, g, Request{}, now, EjectedFull)
		if refusal.RetryAfter <= former && refusal.RetryAfter < longestSpell {
			t.Fatalf("spell %v is not longer than %v", refusal.RetryAfter, former)
		}
		former = refusal.RetryAfter
		for _, ticket := range tickets {
			g.Done(ticket, Result{Kind: Cancelled}, now)
		}
		now = now.Add(former)
		if got := g.Sample(now); got.State != load.Cold || got.Limit != coldLimit {
			t.Fatalf("after the spell: %+v", got)
		}
	}
}

func TestAnswersEndASpellEarly(t *testing.T) {
	g, now := warmGuard(t)
	for range ejectAfter {
		ticket, _ := g.Admit(Request{}, now)
		g.Done(ticket, Result{Kind: Failed}, now)
	}
	for range answersToReturn {
		ticket, _ := g.Admit(Request{}, now)
		g.Done(ticket, Result{Kind: Answered}, now)
	}
	if got := g.Sample(now).State; got != load.Cold {
		t.Errorf("state %v after %d answers, want cold", got, answersToReturn)
	}
}

// A crash tells what ran, and what broke just before, once.
func TestCrashTellsWhatRan(t *testing.T) {
	g, now := warmGuard(t)
	admit := func(f request.Fingerprint, suspect bool) Permit {
		ticket, refusal := g.Admit(Request{Fingerprint: f, Suspect: suspect}, now)
		if refusal != nil {
			t.Fatal(refusal)
		}
		return ticket
	}
	g.Done(admit(1, false), Result{Kind: Broken}, now) // an answer follows: no crash
	now = now.Add(time.Millisecond)
	g.Done(admit(2, false), Result{Kind: Answered}, now)
	g.Done(admit(3, true), Result{Kind: Broken}, now)
	wantRefusal(t, g, Request{Suspect: true}, now, SuspectRunning)
	admit(4, false)
	crash := g.TargetLost(true, now)
	want := map[quarantine.InFlightRequest]bool{{Fingerprint: 3, Suspect: true}: true, {Fingerprint: 4}: true}
	if crash == nil || len(crash.InFlight) != len(want) || crash.Instance != "a" {
		t.Fatalf("crash %+v", crash)
	}
	for _, r := range crash.InFlight {
		if !want[r] {
			t.Errorf("%+v was not in flight", r)
		}
	}
	if again := g.Announce(Target{Instance: "b", Slots: slots}, now); again != nil {
		t.Errorf("the crash is told twice: %+v", again)
	}
}

func TestLateMessagesOfFormerLivesAreIgnored(t *testing.T) {
	g, now := warmGuard(t)
	g.Drain("a")
	g.Announce(Target{Instance: "b", Slots: slots, ColdLimit: coldLimit}, now)
	g.Announce(Target{Instance: "a", Slots: 100, ColdLimit: 100}, now)
	if g.Drain("a") {
		t.Error("a former life drained the present one")
	}
	if got := g.Sample(now); got.Limit != coldLimit || got.State != load.Cold {
		t.Errorf("sample %+v", got)
	}
}

// A caller below its share gets the next free slot of a full target, ahead of
// one above its share, but a slot isn't kept for long.
func TestNextFreeSlotGoesToWhoHasLess(t *testing.T) {
	g, now := warmGuard(t)
	tickets := fill(t, g, alpine, now)
	wantRefusal(t, g, Request{Caller: valley}, now, Full)
	g.Done(tickets[0], Result{Kind: Cancelled}, now)
	wantRefusal(t, g, Request{Caller: alpine}, now, OverShare)
	if _, refusal := g.Admit(Request{Caller: valley}, now); refusal != nil {
		t.Fatalf("the waiting caller is refused: %v", refusal)
	}
	wantRefusal(t, g, Request{Caller: valley}, now, Full)
	g.Done(tickets[1], Result{Kind: Cancelled}, now)
	if _, refusal := g.Admit(Request{Caller: alpine}, now.Add(wantLife)); refusal != nil {
		t.Errorf("a slot is kept for longer than %v: %v", wantLife, refusal)
	}
}

// However much one caller asks for, another that keeps asking runs its share
// by weight on average, less a slot, and no slot stays free while both ask.
func TestPeakOfOneLeavesTheOthersShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGuard(t, "fixed")
		const many = 20
		g.Announce(Target{Instance: "a", Slots: many, ColdLimit: many}, start)
		weight := float64(rapid.IntRange(1, 4).Draw(t, "weight"))
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 4))
		greed := rapid.IntRange(1, 10).Draw(t, "greed")
		g.SetWeights(map[request.ShareKey]float64{valley: weight})
		running := map[request.ShareKey][]Permit{}
		now, sum, rounds := start, 0, 0
		ask := func(key request.ShareKey) {
			if ticket, refusal := g.Admit(Request{Caller: key}, now); refusal == nil {
				running[key] = append(running[key], ticket)
			}
		}
		for round := range 1000 {
			now = now.Add(time.Millisecond)
			total := len(running[alpine]) + len(running[valley])
			if total > 0 { // one of all that run ends
				key := alpine
				if rng.IntN(total) < len(running[valley]) {
					key = valley
				}
				g.Done(running[key][0], Result{Kind: Cancelled}, now)
				running[key] = running[key][1:]
			}
			for range greed {
				ask(alpine)
			}
			ask(valley)
			if round >= 500 {
				sum += len(running[valley])
				rounds++
			}
		}
		share := many * weight / (weight + 1)
		if got := float64(sum) / float64(rounds); got < share-1 {
			t.Fatalf("the caller of weight %v runs %v of %d, its share is %v", weight, got, many, share)
		}
		if total := len(running[alpine]) + len(running[valley]); total < many-1 {
			t.Fatalf("%d of %d slots are in use", total, many)
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
	g, now := warmGuard(b)
	r := Request{Caller: alpine, Deadline: now.Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		ticket, _ := g.Admit(r, now)
		g.Done(ticket, Result{Kind: Answered}, now)
	}
}

func BenchmarkRefuse(b *testing.B) {
	g, now := warmGuard(b)
	fill(b, g, alpine, now)
	b.ReportAllocs()
	for b.Loop() {
		if _, refusal := g.Admit(Request{Caller: valley}, now); refusal == nil {
			b.Fatal("admitted")
		}
	}
}
