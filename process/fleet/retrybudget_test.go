package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenatrestle/process/gate"
)

const (
	// budgetStep is the resolution of the simulated time.
	budgetStep = 100 * time.Millisecond
	// budgetStatusInterval is the interval of statuses to each peer.
	budgetStatusInterval = time.Second
	// budgetDownTime is how long a killed node is down.
	budgetDownTime = 500 * time.Millisecond
	// maxBudgetRestarts bounds the restarts of a node within the window.
	maxBudgetRestarts = 3
)

var serviceBudget = gate.RetryBudget{Ratio: 0.2, Slack: 60, Window: retryWindow}

// budgetNode is a node of a budgetFleet. While it is down, upAt is when it starts again.
type budgetNode struct {
	name                  string
	table                 *Table
	gate                  *gate.Gate
	incarnation, sequence uint64
	slackFrom, upAt       time.Time
	up                    bool
	killedAt              []time.Time
}

// budgetFleet simulates the gates of a service and the statuses of their nodes.
type budgetFleet struct {
	nodes           []*budgetNode
	messages        []budgetMessage
	incarnations    uint64
	requests        int
	firsts, retries []time.Time
}

// budgetMessage is a status on its way.
type budgetMessage struct {
	from, to int
	status   Status
	at       time.Time
}

// newBudgetFleet returns a fleet that starts for the first time.
func newBudgetFleet(targets int, now time.Time) *budgetFleet {
	f := &budgetFleet{}
	for i := range targets {
		f.nodes = append(f.nodes, &budgetNode{name: fmt.Sprint("n", i)})
	}
	for _, n := range f.nodes {
		f.start(n, now, now)
	}
	return f
}

// start starts a process of a node, which lists the others at once.
func (f *budgetFleet) start(n *budgetNode, slackFrom, now time.Time) {
	f.incarnations++
	n.up, n.incarnation, n.sequence, n.slackFrom = true, f.incarnations, 0, slackFrom
	n.table = NewTable(Settings{UnreachableAfter: time.Second, ForgetAfter: time.Hour})
	n.gate = gate.New(gate.Settings{QueueShare: 1, RetryBudget: serviceBudget, SlackFrom: slackFrom, DedupWindow: time.Second})
	n.gate.ApplyReport(gate.Report{Instance: "i", Service: "s", Slots: 1000, Sequence: 1, StartedMillis: 1}, now)
	for _, other := range f.nodes {
		if other != n {
			n.table.AddDiscovered(Discovered{Node: other.name, Service: "s", DatagramAddress: other.name}, now)
		}
	}
	n.gate.SetPeerTargets(n.table.PeerTargets("s", retryWindow, now))
}

// kill ends the process of a node unless it was killed too often within the window.
func (f *budgetFleet) kill(n *budgetNode, now time.Time) {
	n.killedAt = slices.DeleteFunc(n.killedAt, func(at time.Time) bool { return now.Sub(at) >= retryWindow })
	if !n.up || len(n.killedAt) >= maxBudgetRestarts {
		return
	}
	n.up, n.upAt = false, now.Add(budgetDownTime)
	n.killedAt = append(n.killedAt, now)
}

// send sends a status from one node to another.
func (f *budgetFleet) send(from, to int, delay time.Duration, now time.Time) {
	n := f.nodes[from]
	r, _ := n.table.RecipientOf(f.nodes[to].name, now)
	n.sequence++
	status := Status{
		Node: n.name, Service: "s", Incarnation: n.incarnation, Sequence: n.sequence,
		WholeSlack: !now.Before(n.slackFrom), AfterWholeSlack: r.AfterWholeSlack,
	}
	f.messages = append(f.messages, budgetMessage{from: from, to: to, status: status, at: now.Add(delay)})
}

// deliver delivers the statuses that have arrived. A new incarnation gets a status back.
func (f *budgetFleet) deliver(now time.Time) {
	arrived := f.messages
	f.messages = nil
	for _, m := range arrived {
		n := f.nodes[m.to]
		switch {
		case m.at.After(now):
			f.messages = append(f.messages, m)
		case n.up:
			isNew, newIncarnation := n.table.Merge(m.status, f.nodes[m.from].name, now)
			if newIncarnation {
				f.send(m.to, m.from, 0, now)
			}
			if isNew && m.status.AfterWholeSlack == n.incarnation {
				n.gate.ConfirmOneProcessBefore()
			}
		}
	}
}

// offer offers a gate a request, which ends at once. It comes from callers of all services, so
// that it does not count as a nested call.
func (f *budgetFleet) offer(n *budgetNode, retry bool, now time.Time) {
	f.requests++
	req := gate.Request{
		ID: fmt.Sprint(f.requests), Kind: "k", Caller: fmt.Sprint("s", f.requests%4), Retry: retry,
		Due: now.Add(time.Second), Deadline: now.Add(time.Second),
	}
	if !n.up || !n.gate.Admit(req, now).Admitted() {
		return
	}
	n.gate.Done(req, time.Millisecond, false, now)
	if retry {
		f.retries = append(f.retries, now)
	} else {
		f.firsts = append(f.firsts, now)
	}
}

// excess returns by how much the retries within the window exceed the budget of the service.
func (f *budgetFleet) excess(now time.Time) float64 {
	old := func(at time.Time) bool { return now.Sub(at) >= retryWindow }
	f.firsts, f.retries = slices.DeleteFunc(f.firsts, old), slices.DeleteFunc(f.retries, old)
	return float64(len(f.retries)) - serviceBudget.Ratio*float64(len(f.firsts)) - serviceBudget.Slack
}

// budgetKill ends the processes of some nodes.
type budgetKill struct {
	step  int
	nodes []bool
}

// drawKills returns kills of single nodes and of herds within two windows.
func drawKills(t *rapid.T, targets int) []budgetKill {
	node := rapid.Map(rapid.IntRange(0, targets-1), func(i int) []bool {
		nodes := make([]bool, targets)
		nodes[i] = true
		return nodes
	})
	herd := rapid.SliceOfN(rapid.Bool(), targets, targets)
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) budgetKill {
		return budgetKill{
			step:  rapid.IntRange(1, int(2*retryWindow/budgetStep)).Draw(t, "step"),
			nodes: rapid.OneOf(node, herd).Draw(t, "nodes"),
		}
	}), 0, 4*maxBudgetRestarts).Draw(t, "kills")
}

// step advances the fleet by one step, of a retry storm or before it. Each gate gets a first send
// at every firstEvery-th step.
func (f *budgetFleet) step(step, firstEvery int, delay time.Duration, storm bool, now time.Time) {
	for i, n := range f.nodes {
		started := !n.up && !now.Before(n.upAt)
		if started {
			f.start(n, now.Add(retryWindow), now)
		}
		for j := range f.nodes {
			if i != j && n.up && (started || step%int(budgetStatusInterval/budgetStep) == 0) {
				f.send(i, j, delay, now)
			}
		}
	}
	f.deliver(now)
	for _, n := range f.nodes {
		if step%firstEvery == 0 {
			f.offer(n, false, now)
		}
		for range 5 {
			if storm {
				f.offer(n, true, now)
			}
		}
	}
}

// Every process that replaced another one of its node had slack of its own, so that nodes that
// were killed up to three times within a window, alone or together, sent the targets more
// retries than the budget of their service allows.
func TestRestartsKeepTheServiceWithinItsRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		targets := rapid.IntRange(1, 6).Draw(t, "targets")
		f := newBudgetFleet(targets, start)
		kills := drawKills(t, targets)
		delay := rapid.SampledFrom([]time.Duration{0, budgetStep}).Draw(t, "delay")
		firstEvery := rapid.IntRange(5, 100).Draw(t, "first send every")
		for step := range int(3 * retryWindow / budgetStep) {
			now := start.Add(time.Duration(step) * budgetStep)
			for _, kill := range kills {
				for i, n := range f.nodes {
					if kill.step == step && kill.nodes[i] {
						f.kill(n, now)
					}
				}
			}
			f.step(step, firstEvery, delay, true, now)
			if excess := f.excess(now); excess > 0 {
				t.Fatalf("%.1f retries more than allowed %v after the start", excess, now.Sub(start))
			}
		}
	})
}

// First sends before a retry storm allow the retries at its start. Processes that were restarted
// in the storm earned the same share once more by their own first sends, so that the targets got
// more retries than the budget of their service allows.
func TestRestartsInARetryStormKeepTheBudgetThatFirstSendsEarned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		targets := rapid.IntRange(1, 6).Draw(t, "targets")
		f := newBudgetFleet(targets, start)
		kills := drawKills(t, targets)
		firstEvery := rapid.IntRange(1, 10).Draw(t, "first send every")
		const calmSteps = int(retryWindow / budgetStep)
		offered := float64(targets * (calmSteps/firstEvery + 1)) // first sends, arrived or not
		for step := range 4 * calmSteps {
			now := start.Add(time.Duration(step) * budgetStep)
			for _, kill := range kills {
				for i, n := range f.nodes {
					if kill.step+calmSteps == step && kill.nodes[i] {
						f.kill(n, now)
					}
				}
			}
			f.step(step, firstEvery, 0, step >= calmSteps, now)
			f.excess(now) // drops what is older than the window
			if allowed := serviceBudget.Ratio*offered + serviceBudget.Slack; float64(len(f.retries)) > allowed {
				t.Fatalf("%d retries %v after the start, want at most %.1f", len(f.retries), now.Sub(start), allowed)
			}
		}
	})
}
