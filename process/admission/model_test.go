package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenatrestle/connection/load"
	"verbenatrestle/internal/testseed"
	"verbenatrestle/process/admission/limit"
	"verbenatrestle/request"
)

var (
	start  = time.Unix(1_800_000_000, 0)
	alpine = request.ShareKey{Organisation: "kodumala", Service: "viewing"}
	valley = request.ShareKey{Organisation: "kodumala", Service: "filing"}
)

func newGuard(t rapid.TB, adaptive string) *Controller {
	t.Helper()
	settings := DefaultSettings
	settings.Limit = adaptive
	g, err := New(settings, rand.New(rand.NewPCG(uint64(testseed.Seed()), 2)))
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// model follows a guard's target by the promises alone.
type model struct {
	t        *rapid.T
	guard    *Controller
	now      time.Time
	target   Target
	present  bool
	draining bool
	out      bool
	lives    int
	running  []modelRun
	// bears is what the target bears: its slots, or what it has proven since
	// it was last known to be cold.
	bears  int
	proven int
	coldAt time.Time
}

type modelRun struct {
	ticket  Permit
	suspect bool
}

func (m *model) turnCold() {
	m.bears = m.target.ColdLimit
	m.proven = 0
	m.coldAt = m.now
}

// prove counts an answer to a request that began after the target turned
// cold. One more takes two rounds of answers, and at least 16.
func (m *model) prove(r modelRun) {
	if r.ticket.AdmittedAt.Before(m.coldAt) {
		return
	}
	m.proven++
	if m.proven >= max(2*m.bears, 16) && m.bears < m.target.Slots {
		m.bears++
		m.proven = 0
	}
}

func (m *model) announce() {
	m.lives++
	slots := rapid.IntRange(1, 40).Draw(m.t, "slots")
	m.target = Target{
		Instance:  fmt.Sprintf("life-%d", m.lives),
		Slots:     slots,
		ColdLimit: rapid.IntRange(1, min(slots, 5)).Draw(m.t, "cold limit"),
	}
	m.guard.Announce(m.target, m.now)
	m.present = true
	m.draining = false
	m.turnCold()
}

func (m *model) reannounce() {
	if m.lives == 0 {
		return
	}
	m.guard.Announce(m.target, m.now)
	if !m.present {
		m.turnCold()
	}
	m.present = true
}

func (m *model) admit() {
	r := Request{
		Caller:  rapid.SampledFrom([]request.ShareKey{alpine, valley}).Draw(m.t, "caller"),
		Suspect: rapid.IntRange(0, 4).Draw(m.t, "suspect") == 0,
	}
	if rapid.IntRange(0, 4).Draw(m.t, "dated") == 0 {
		r.Expiry = m.now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(m.t, "expiry")))
	}
	m.admitted(r)
}

// admitted asks the guard and checks what it says.
func (m *model) admitted(r Request) bool {
	ticket, refusal := m.guard.Admit(r, m.now)
	if refusal != nil {
		if ticket != (Permit{}) {
			m.t.Fatal("a refusal came with a ticket")
		}
		m.guard.Done(ticket, Result{Kind: Answered}, m.now)
		return false
	}
	m.checkAdmitted(r)
	m.running = append(m.running, modelRun{ticket: ticket, suspect: r.Suspect})
	return true
}

// checkAdmitted fails if a request was admitted that must not be.
func (m *model) checkAdmitted(r Request) {
	switch {
	case !m.present:
		m.t.Fatal("admitted without a target")
	case m.draining:
		m.t.Fatal("admitted while draining")
	case m.out:
		m.t.Fatal("admitted while out")
	case !r.Expiry.IsZero() && !m.now.Before(r.Expiry):
		m.t.Fatal("admitted past its expiry")
	case len(m.running) >= m.target.Slots:
		m.t.Fatalf("%d run at %d slots", len(m.running)+1, m.target.Slots)
	case len(m.running) >= m.bears:
		m.t.Fatalf("%d run at a target that bears %d", len(m.running)+1, m.bears)
	}
	for _, other := range m.running {
		if r.Suspect && other.suspect {
			m.t.Fatal("two suspects run at once")
		}
	}
}

func (m *model) done() {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "which")
	result := Result{Kind: ResultKind(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5}).Draw(m.t, "kind"))}
	result.Cold = rapid.IntRange(0, 60).Draw(m.t, "cold") == 0
	m.end(i, result)
}

// end ends a run, and tells the guard twice.
func (m *model) end(i int, result Result) {
	ended := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.guard.Done(ended.ticket, result, m.now)
	current := ended.ticket.Instance == m.target.Instance
	if current && result.Kind == Answered {
		m.prove(ended)
	}
	coldSign := result.Cold || result.Kind == Shed
	if current && coldSign || m.guard.Sample(m.now).State == load.Ejected {
		m.turnCold()
	}
	m.guard.Done(ended.ticket, result, m.now)
}

// work fills the target round after round, so that its limit grows.
func (m *model) work() {
	for range rapid.IntRange(1, 60).Draw(m.t, "rounds") {
		for m.admitted(Request{Caller: alpine}) {
			continue
		}
		m.now = m.now.Add(20 * time.Millisecond)
		for len(m.running) > 0 {
			m.end(0, Result{Kind: Answered})
		}
	}
	for m.admitted(Request{Caller: alpine}) {
		continue
	}
}

func (m *model) reportCold() {
	state := rapid.SampledFrom([]load.State{load.Cold, load.Warm, load.Warm}).Draw(m.t, "reported")
	m.guard.Report(Report{Instance: m.target.Instance, State: state, Slots: 1000}, m.now)
	if state == load.Cold && m.present {
		m.turnCold()
	}
}

func (m *model) step() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(m.t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 150).Draw(m.t, "event") {
	case 0:
		m.announce()
	case 1:
		m.reannounce()
	case 2:
		m.draining = m.guard.Drain(m.target.Instance) || m.draining
	case 3:
		m.guard.SetOutOfService(!m.out, m.now)
		m.out = !m.out
		m.turnCold()
	case 4:
		m.guard.TargetLost(rapid.Bool().Draw(m.t, "crashed"), m.now)
		m.present = false
	case 5:
		m.reportCold()
	case 6, 7, 8, 9, 10, 11:
		m.work()
	default:
		if rapid.IntRange(0, 9).Draw(m.t, "admit") < 6 {
			m.admit()
		} else {
			m.done()
		}
	}
	sample := m.guard.Sample(m.now)
	if sample.InFlight != len(m.running) || m.guard.Idle() != (len(m.running) == 0) {
		m.t.Fatalf("guard counts %d, %d run", sample.InFlight, len(m.running))
	}
}

// The guard never lets in more than the slots or than a cold target has
// proven to bear, nothing while the target drains, is out or is gone, nothing
// past its expiry and never two suspects at once; its count is exact.
func TestGuardKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, now: start}
		m.guard = newGuard(t, rapid.SampledFrom(limit.Names()).Draw(t, "limit"))
		m.announce()
		for range 300 {
			m.step()
		}
	})
}
