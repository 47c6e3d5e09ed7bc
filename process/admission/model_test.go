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

func newController(t rapid.TB, adaptive string) *Controller {
	t.Helper()
	settings := DefaultSettings
	settings.Limit = adaptive
	c, err := New(settings, rand.New(rand.NewPCG(uint64(testseed.Seed()), 2)))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// model tracks the target of a controller independently of it, by the documented
// rules only.
type model struct {
	t            *rapid.T
	controller   *Controller
	now          time.Time
	target       Target
	present      bool
	draining     bool
	outOfService bool
	instances    int
	running      []modelRun
	// capacity is the number of requests that the target can run: it starts at
	// the cold limit when the target turns cold and grows up to the slots.
	capacity        int
	capacityAnswers int
	coldAt          time.Time
}

type modelRun struct {
	permit  Permit
	suspect bool
}

func (m *model) turnCold() {
	m.capacity = m.target.ColdLimit
	m.capacityAnswers = 0
	m.coldAt = m.now
}

// countAnswer counts an answer to a request that was admitted after the target
// turned cold. The capacity grows by one with every 2*capacity answers, and at
// least 16.
func (m *model) countAnswer(r modelRun) {
	if r.permit.AdmittedAt.Before(m.coldAt) {
		return
	}
	m.capacityAnswers++
	if m.capacityAnswers >= max(2*m.capacity, 16) && m.capacity < m.target.Slots {
		m.capacity++
		m.capacityAnswers = 0
	}
}

func (m *model) announce() {
	m.instances++
	slots := rapid.IntRange(1, 40).Draw(m.t, "slots")
	m.target = Target{
		Instance:  fmt.Sprintf("instance-%d", m.instances),
		Slots:     slots,
		ColdLimit: rapid.IntRange(1, min(slots, 5)).Draw(m.t, "cold limit"),
	}
	m.controller.Announce(m.target, m.now)
	m.present = true
	m.draining = false
	m.turnCold()
}

func (m *model) reannounce() {
	if m.instances == 0 {
		return
	}
	m.controller.Announce(m.target, m.now)
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
	m.tryAdmit(r)
}

// tryAdmit asks the controller to admit a request, checks the decision and
// reports whether the request was admitted.
func (m *model) tryAdmit(r Request) bool {
	permit, refusal := m.controller.Admit(r, m.now)
	if refusal != nil {
		if permit != (Permit{}) {
			m.t.Fatal("Admit returned both a refusal and a permit")
		}
		m.controller.Done(permit, Result{Kind: Answered}, m.now)
		return false
	}
	m.checkAdmitted(r)
	m.running = append(m.running, modelRun{permit: permit, suspect: r.Suspect})
	return true
}

// checkAdmitted fails the test if the admission of a request broke a rule.
func (m *model) checkAdmitted(r Request) {
	switch {
	case !m.present:
		m.t.Fatal("admitted without a target")
	case m.draining:
		m.t.Fatal("admitted while draining")
	case m.outOfService:
		m.t.Fatal("admitted while out of service")
	case !r.Expiry.IsZero() && !m.now.Before(r.Expiry):
		m.t.Fatal("admitted past its expiry")
	case len(m.running) >= m.target.Slots:
		m.t.Fatalf("%d run at %d slots", len(m.running)+1, m.target.Slots)
	case len(m.running) >= m.capacity:
		m.t.Fatalf("%d run at a target with a capacity of %d", len(m.running)+1, m.capacity)
	}
	for _, other := range m.running {
		if r.Suspect && other.suspect {
			m.t.Fatal("two suspect requests run at once")
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

// end ends a request. It calls Done twice, since the second call must do nothing.
func (m *model) end(i int, result Result) {
	ended := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.controller.Done(ended.permit, result, m.now)
	current := ended.permit.Instance == m.target.Instance
	if current && result.Kind == Answered {
		m.countAnswer(ended)
	}
	coldSign := result.Cold || result.Kind == Shed
	if current && coldSign || m.controller.Sample(m.now).State == load.Ejected {
		m.turnCold()
	}
	m.controller.Done(ended.permit, result, m.now)
}

// work fills the target in many rounds, so that its limit grows.
func (m *model) work() {
	for range rapid.IntRange(1, 60).Draw(m.t, "rounds") {
		for m.tryAdmit(Request{Caller: alpine}) {
			continue
		}
		m.now = m.now.Add(20 * time.Millisecond)
		for len(m.running) > 0 {
			m.end(0, Result{Kind: Answered})
		}
	}
	for m.tryAdmit(Request{Caller: alpine}) {
		continue
	}
}

func (m *model) reportCold() {
	state := rapid.SampledFrom([]load.State{load.Cold, load.Warm, load.Warm}).Draw(m.t, "reported")
	m.controller.Report(Report{Instance: m.target.Instance, State: state, Slots: 1000}, m.now)
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
		m.draining = m.controller.Drain(m.target.Instance) || m.draining
	case 3:
		m.controller.SetOutOfService(!m.outOfService, m.now)
		m.outOfService = !m.outOfService
		m.turnCold()
	case 4:
		m.controller.TargetLost(rapid.Bool().Draw(m.t, "crashed"), m.now)
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
	sample := m.controller.Sample(m.now)
	if sample.InFlight != len(m.running) || m.controller.Idle() != (len(m.running) == 0) {
		m.t.Fatalf("the controller counts %d requests in flight, the model %d", sample.InFlight, len(m.running))
	}
}

// The controller never admits more requests than the slots or than the capacity
// of a cold target. It admits none while the target drains, is out of service or
// is lost, none after its expiry, and never two suspect requests at once. Its
// count of requests in flight is exact.
func TestControllerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, now: start}
		m.controller = newController(t, rapid.SampledFrom(limit.Names()).Draw(t, "limit"))
		m.announce()
		for range 300 {
			m.step()
		}
	})
}
