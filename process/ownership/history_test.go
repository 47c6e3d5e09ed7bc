package ownership

import (
	"strings"
	"time"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
	"verbenatrestle/process/ownership/internal/rule"
	"verbenatrestle/process/ownership/timing"
)

// scene is a random course of faults that belong together.
type scene int

const (
	sceneAny           scene = iota // faults that have nothing to do with each other
	sceneStaleOwner                 // the owner goes on although another took over
	sceneForgetful                  // and witnesses restart while its successor is paused
	sceneBounce                     // witnesses restart while its successor begins
	sceneTwoSides                   // the owner and most witnesses are cut off
	sceneReplaced                   // witnesses are replaced behind the owner's back
	sceneLateReplies                // replies of witnesses are late
	sceneEarlyKeys                  // keys from the future meet a paused owner
	sceneHandover                   // a planned handover fails on its way
	sceneSuddenRestart              // an owner restarts at once
	sceneCount
)

// history is one random course of events.
type history struct {
	seed     uint64
	nodes    int
	faults   []fault
	hesitate int
	early    time.Duration
	grace    time.Duration
}

const (
	historyStart = 8 * time.Second
	// lastScene is when the last scene may begin, and lastFault when the last
	// fault has ended. From calmFrom on new operations must be run.
	lastScene = 50 * time.Second
	lastFault = 82 * time.Second
	calmTerms = 10
	calmFrom  = lastFault + calmTerms*timing.DefaultLeaseTerm
	calmUntil = calmFrom + 6*time.Second
	// historyEnd leaves time for the last attempts.
	historyEnd = calmUntil + 4*time.Second
	meanSend   = 100 * time.Millisecond
	// shortGrace and longGrace are when a missing witness is replaced: during a
	// scene, or after it.
	shortGrace = 4 * time.Second
	longGrace  = 30 * time.Second
	// wideNodes is enough nodes to replace most witnesses.
	wideNodes = 9
)

// histories draws histories of the scenes.
func histories(scenes ...scene) *rapid.Generator[history] {
	return rapid.Custom(func(t *rapid.T) history {
		h := history{
			seed:     rapid.Uint64().Draw(t, "seed"),
			nodes:    rapid.IntRange(5, 8).Draw(t, "nodes"),
			hesitate: 30,
			early:    -3 * time.Second,
			grace:    span(t, "grace", 4*time.Second, 30*time.Second),
		}
		at := historyStart
		for at < lastScene {
			s := rapid.SampledFrom(scenes).Draw(t, "scene")
			h.add(t, s, at+span(t, "at", 0, 2*time.Second))
			at += span(t, "next", 8*time.Second, 24*time.Second)
		}
		return h
	})
}

// span draws a duration.
func span(t *rapid.T, name string, from, to time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(from.Milliseconds(), to.Milliseconds()).Draw(t, name)) * time.Millisecond
}

// add adds the faults of a scene that begins at a moment.
func (h *history) add(t *rapid.T, s scene, at time.Duration) {
	fault := func(kind faultKind, node int, after, atLeast, atMost time.Duration) {
		h.faults = append(h.faults, fault{kind: kind, node: node, at: at + after, lasts: span(t, "lasts", atLeast, atMost)})
	}
	const second = time.Second
	switch s {
	case sceneAny:
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			kind := faultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind"))
			node := rapid.IntRange(presentOwner, h.nodes-1).Draw(t, "node")
			fault(kind, node, span(t, "after", 0, 10*second), 100*time.Millisecond, 15*second)
		}
	case sceneStaleOwner:
		fault(faultNoNews, presentOwner, 0, 10*second, 18*second)
		fault(faultHeldDead, presentOwner, span(t, "after", 0, second), 5*second, 16*second)
		fault(faultPause, presentOwner, span(t, "after", 5*second, 8*second), 3*second, 8*second)
	case sceneBounce:
		fault(faultNoNews, presentOwner, 0, 8*second, 12*second)
		fault(faultHeldDead, presentOwner, 0, 8*second, 10*second)
		fault(faultBounceNext, presentOwner, span(t, "after", 0, 2*second), 5*second, 8*second)
	case sceneForgetful:
		h.grace = longGrace
		after := span(t, "after", 7*second, 9*second)
		fault(faultNoNews, presentOwner, 0, 16*second, 20*second)
		fault(faultHeldDead, presentOwner, 0, 16*second, 18*second)
		fault(faultPause, presentOwner, after, 5*second, 10*second)
		fault(faultBounce, presentOwner, after+span(t, "then", 0, 300*time.Millisecond), 10*time.Millisecond, 300*time.Millisecond)
	case sceneTwoSides:
		h.nodes = max(h.nodes, wideNodes)
		h.grace = shortGrace
		fault(faultHalves, presentOwner, 0, 12*second, 18*second)
	case sceneReplaced:
		h.nodes = max(h.nodes, wideNodes)
		h.grace = shortGrace
		fault(faultNoNews, presentOwner, 0, 24*second, 28*second)
		fault(faultOthersOut, presentOwner, span(t, "after", 0, second), 16*second, 20*second)
		fault(faultHeldDead, presentOwner, span(t, "after", 9*second, 12*second), 8*second, 12*second)
	case sceneLateReplies:
		fault(faultDelay, 0, 0, 6*second, 10*second)
		fault(faultNoNews, presentOwner, 0, 6*second, 12*second)
		fault(faultHeldDead, presentOwner, 0, 6*second, 12*second)
	case sceneEarlyKeys:
		h.hesitate = 4
		h.early = 5 * second
		fault(faultPause, presentOwner, 0, 7*second, 12*second)
	case sceneHandover:
		fault(faultIneligible, presentOwner, 0, 4*second, 12*second)
		kinds := []faultKind{faultNoPlatform, faultLateWrites, faultLostAnswers, faultLoss, faultPlatformDown}
		fault(rapid.SampledFrom(kinds).Draw(t, "kind"), presentOwner, 0, second, 8*second)
		end := rapid.SampledFrom([]faultKind{faultKill, faultPause, faultCutOff, faultClockStep}).Draw(t, "end")
		fault(end, presentOwner, span(t, "after", 0, 8*second), 3*second, 8*second)
	case sceneSuddenRestart:
		fault(faultKill, presentOwner, 0, time.Millisecond, 300*time.Millisecond)
	}
}

// play runs a history to its end, or to the first broken promise.
func (h history) play(skew time.Duration, without rule.Set) *world {
	w := newWorld(h, skew, without)
	for _, f := range h.faults {
		w.after(f.at, func() {
			end := w.begin(f)
			w.after(f.lasts, end)
		})
	}
	w.after(historyStart, w.callers)
	w.after(lastFault, func() { w.calm = true })
	for w.now < historyEnd && len(w.problems) == 0 {
		w.run(w.now + time.Second)
	}
	w.checkCalm()
	return w
}

// checkCalm checks that operations are run again some terms after the faults.
func (w *world) checkCalm() {
	if w.now < historyEnd || len(w.problems) > 0 {
		return
	}
	for _, key := range sortedKeys(w.ops) {
		op := w.ops[key]
		if !op.dated || op.created < calmFrom || op.early > 0 {
			continue
		}
		for _, verdict := range op.verdicts {
			ok := verdict == "replay " || verdict == "refused admission" || strings.HasPrefix(verdict, "unknown ") && len(op.runs) > 0
			w.check(ok, "%s: %s in calm times, owner %v", key, verdict, w.assignment())
		}
	}
}

// callers sends new operations, and old ones again.
func (w *world) callers() {
	if w.now > calmUntil {
		return
	}
	w.after(w.duration(2*meanSend), w.callers)
	off := time.Duration(0)
	if w.rng.IntN(3) == 0 {
		off = w.early + w.duration(8*time.Second)
	}
	op := w.newOperation(w.rng.IntN(3) > 0, off)
	for range 1 + w.rng.IntN(4) {
		w.after(w.resendDelay(), func() { w.submit(op, w.ingress(), w.hold()) })
	}
	if off > 0 {
		// A refusal of a key from the future says when to come back.
		w.after(off+w.duration(2*time.Second), func() { w.submit(op, w.ingress(), 0) })
	}
}

// ingress picks the node that a caller sends to, more often a stale one.
func (w *world) ingress() *process {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	for _, m := range w.nodes {
		if m.noNews && w.rng.IntN(3) == 0 {
			return m
		}
	}
	return n
}

// hold is how long an ingress sits on an attempt.
func (w *world) hold() time.Duration {
	if w.calm || w.rng.IntN(20) > 0 {
		return 0
	}
	return w.duration(2 * modelWindow)
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
