package ownership

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
	"verbenatrestle/process/ownership/internal/rule"
)

// faultKind is what goes wrong, or what operators do.
type faultKind int

const (
	faultPause faultKind = iota
	faultKill
	faultKillPair
	faultCutOff
	faultOneWay
	faultHalves
	faultPlatformDown
	faultNoPlatform
	faultLoss
	faultDelay
	faultLateWrites
	faultLostAnswers
	faultIneligible
	faultClockStep
	faultKinds
)

// fault begins at a moment and ends after a time.
type fault struct {
	kind      faultKind
	node      int
	at, lasts time.Duration
}

func (f fault) String() string {
	names := [...]string{"pause", "kill", "kill-pair", "cut-off", "one-way", "halves", "platform-down",
		"no-platform", "loss", "delay", "late-writes", "lost-answers", "ineligible", "clock-step"}
	return fmt.Sprintf("%s(n%d %v+%v)", names[f.kind], f.node, f.at, f.lasts)
}

// history is one random course of events.
type history struct {
	seed   uint64
	nodes  int
	faults []fault
	// sends is the mean time between two new operations.
	sends time.Duration
}

const (
	historyStart = 6 * time.Second
	historyFault = 80 * time.Second
	historyCalm  = 30 * time.Second
	historyEnd   = historyFault + historyCalm + 10*time.Second
)

// histories draws histories of faults that overlap.
func histories() *rapid.Generator[history] {
	return rapid.Custom(func(t *rapid.T) history {
		h := history{
			seed:  rapid.Uint64().Draw(t, "seed"),
			nodes: rapid.IntRange(5, 7).Draw(t, "nodes"),
			sends: 120 * time.Millisecond,
		}
		for range rapid.IntRange(1, 24).Draw(t, "faults") {
			h.faults = append(h.faults, fault{
				kind:  faultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind")),
				node:  rapid.IntRange(0, h.nodes-1).Draw(t, "node"),
				at:    historyStart + millis(t, "at", historyFault-historyStart-20*time.Second),
				lasts: time.Second + millis(t, "lasts", 19*time.Second),
			})
		}
		return h
	})
}

func millis(t *rapid.T, name string, bound time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, bound.Milliseconds()).Draw(t, name)) * time.Millisecond
}

// play runs a history to its end, or to the first broken promise.
func (h history) play(skew time.Duration, without rule.Set) *world {
	w := newWorld(h.seed, h.nodes, skew, without)
	for _, f := range h.faults {
		w.after(f.at, func() { w.begin(f) })
		w.after(f.at+f.lasts, func() { w.finish(f) })
	}
	w.after(historyStart, func() { w.callers(h.sends) })
	for w.now < historyEnd && len(w.problems) == 0 {
		w.run(w.now + time.Second)
	}
	return w
}

// begin lets a fault begin.
func (w *world) begin(f fault) {
	n := w.nodes[f.node]
	switch f.kind {
	case faultPause:
		w.pause(n)
	case faultKill:
		w.kill(n)
	case faultKillPair:
		w.kill(n)
		w.kill(w.nodes[(f.node+1)%len(w.nodes)])
	case faultCutOff, faultOneWay, faultHalves:
		w.setCut(f, true)
	case faultPlatformDown:
		w.cond.platformDown = true
	case faultNoPlatform:
		n.noPlatform = true
	case faultLoss:
		w.cond.lossPercent = 30
	case faultDelay:
		w.cond.delayMax = 4 * time.Second
	case faultLateWrites:
		w.cond.writesLate = true
	case faultLostAnswers:
		w.cond.answersLost = true
	case faultIneligible:
		n.eligible = false
	case faultClockStep:
		n.offset = w.randomOffset()
	}
}

// finish lets a fault end.
func (w *world) finish(f fault) {
	n := w.nodes[f.node]
	switch f.kind {
	case faultPause:
		w.wake(n)
	case faultKill:
		w.restart(n)
	case faultKillPair:
		w.restart(n)
		w.restart(w.nodes[(f.node+1)%len(w.nodes)])
	case faultCutOff, faultOneWay, faultHalves:
		w.setCut(f, false)
	case faultPlatformDown:
		w.cond.platformDown = false
	case faultNoPlatform:
		n.noPlatform = false
	case faultLoss:
		w.cond.lossPercent = 0
	case faultDelay:
		w.cond.delayMax = 0
	case faultLateWrites:
		w.cond.writesLate = false
	case faultLostAnswers:
		w.cond.answersLost = false
	case faultIneligible:
		n.eligible = true
	}
}

func (w *world) restart(n *process) {
	if !n.alive {
		w.start(n)
	}
}

// setCut cuts or joins links.
func (w *world) setCut(f fault, cut bool) {
	for i, a := range w.nodes {
		for j, b := range w.nodes {
			if i != j && f.cuts(i, j, len(w.nodes)) {
				w.cut[[2]string{a.name, b.name}] = cut
			}
		}
	}
}

// cuts reports whether the fault cuts the link from i to j.
func (f fault) cuts(i, j, nodes int) bool {
	switch f.kind {
	case faultCutOff:
		return i == f.node || j == f.node
	case faultOneWay:
		return i == f.node
	default:
		left := func(k int) bool { return (k-f.node+nodes)%nodes < nodes/2 }
		return left(i) != left(j)
	}
}

// callers sends new operations, and old ones again.
func (w *world) callers(mean time.Duration) {
	if w.now > historyFault+historyCalm {
		return
	}
	w.after(w.duration(2*mean), func() { w.callers(mean) })
	off := time.Duration(0)
	if w.rng.IntN(3) == 0 {
		off = w.duration(8*time.Second) - 3*time.Second
	}
	op := w.newOperation(w.rng.IntN(3) > 0, off)
	for range 1 + w.rng.IntN(4) {
		hold := time.Duration(0)
		if w.rng.IntN(20) == 0 {
			hold = w.duration(2 * modelWindow)
		}
		w.after(w.resendDelay(), func() { w.submit(op, w.nodes[w.rng.IntN(len(w.nodes))], hold) })
	}
}

// resendDelay is when an operation is sent again: soon, after a takeover, or
// about when its key leaves the resend window.
func (w *world) resendDelay() time.Duration {
	switch w.rng.IntN(4) {
	case 0:
		return w.duration(50 * time.Millisecond)
	case 1:
		return w.duration(3 * time.Second)
	case 2:
		return w.duration(12 * time.Second)
	default:
		return w.duration(modelWindow * 5 / 2)
	}
}
