package ownership

import (
	"strings"
	"time"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
	"verbenatrestle/process/ownership/internal/rule"
	"verbenatrestle/process/ownership/timing"
)

// scenario is a kind of failure that consists of several related faults.
type scenario int

const (
	scenarioAny                scenario = iota // unrelated faults
	scenarioStaleOwner                         // the owner continues to work although another node took over
	scenarioForgetfulWitnesses                 // like scenarioStaleOwner; witnesses also restart while the successor is paused
	scenarioRestartedWitnesses                 // witnesses restart while the successor's tenure begins
	scenarioSplit                              // the owner and a majority of the witnesses are cut off
	scenarioReplacedWitnesses                  // witnesses are replaced while the owner receives no updates
	scenarioLateReplies                        // replies of witnesses are late
	scenarioFutureKeys                         // keys from the future are sent to a paused owner
	scenarioHandover                           // a planned handover is interrupted
	scenarioSuddenRestart                      // an owner restarts within 300 ms
	scenarioCount
)

// history is the input of one simulation: a random sequence of faults and the
// conditions under which they happen. See simulation for the other fields.
type history struct {
	seed            uint64
	nodes           int
	faults          []fault
	slowStepDivisor int
	callerClockLead time.Duration
	witnessGrace    time.Duration
}

const (
	historyStart = 8 * time.Second
	// lastScenarioStart is the latest start of a scenario, and lastFaultEnd the
	// latest end of a fault. From recoveredFrom on all new operations must be
	// run.
	lastScenarioStart = 50 * time.Second
	lastFaultEnd      = 82 * time.Second
	recoveryTerms     = 10
	recoveredFrom     = lastFaultEnd + recoveryTerms*timing.DefaultLeaseTerm
	recoveredUntil    = recoveredFrom + 6*time.Second
	// historyEnd is late enough for the last attempts to end.
	historyEnd       = recoveredUntil + 4*time.Second
	meanSendInterval = 100 * time.Millisecond
	// With shortGrace a missing witness is replaced during a scenario, with
	// longGrace after it.
	shortGrace = 4 * time.Second
	longGrace  = 30 * time.Second
	// wideNodes is a number of nodes that suffices to replace a majority of the
	// witnesses.
	wideNodes = 9
)

// histories returns a generator of histories that consist of the given scenarios.
func histories(scenarios ...scenario) *rapid.Generator[history] {
	return rapid.Custom(func(t *rapid.T) history {
		h := history{
			seed:            rapid.Uint64().Draw(t, "seed"),
			nodes:           rapid.IntRange(5, 8).Draw(t, "nodes"),
			slowStepDivisor: 30,
			callerClockLead: -3 * time.Second,
			witnessGrace:    drawDuration(t, "grace", 4*time.Second, 30*time.Second),
		}
		at := historyStart
		for at < lastScenarioStart {
			s := rapid.SampledFrom(scenarios).Draw(t, "scenario")
			h.add(t, s, at+drawDuration(t, "at", 0, 2*time.Second))
			at += drawDuration(t, "next", 8*time.Second, 24*time.Second)
		}
		return h
	})
}

// drawDuration draws a duration in whole milliseconds.
func drawDuration(t *rapid.T, name string, from, to time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(from.Milliseconds(), to.Milliseconds()).Draw(t, name)) * time.Millisecond
}

// add adds the faults of a scenario that begins at a time.
func (h *history) add(t *rapid.T, s scenario, at time.Duration) {
	fault := func(kind faultKind, node int, after, atLeast, atMost time.Duration) {
		h.faults = append(h.faults, fault{kind: kind, node: node, at: at + after, lasts: drawDuration(t, "lasts", atLeast, atMost)})
	}
	const second = time.Second
	switch s {
	case scenarioAny:
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			kind := faultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind"))
			node := rapid.IntRange(currentOwner, h.nodes-1).Draw(t, "node")
			fault(kind, node, drawDuration(t, "after", 0, 10*second), 100*time.Millisecond, 15*second)
		}
	case scenarioStaleOwner:
		fault(faultNoObjectUpdates, currentOwner, 0, 10*second, 18*second)
		fault(faultDeclaredDead, currentOwner, drawDuration(t, "after", 0, second), 5*second, 16*second)
		fault(faultPause, currentOwner, drawDuration(t, "after", 5*second, 8*second), 3*second, 8*second)
	case scenarioRestartedWitnesses:
		fault(faultNoObjectUpdates, currentOwner, 0, 8*second, 12*second)
		fault(faultDeclaredDead, currentOwner, 0, 8*second, 10*second)
		fault(faultRestartWitnessesAfterWrite, currentOwner, drawDuration(t, "after", 0, 2*second), 5*second, 8*second)
	case scenarioForgetfulWitnesses:
		h.witnessGrace = longGrace
		after := drawDuration(t, "after", 7*second, 9*second)
		fault(faultNoObjectUpdates, currentOwner, 0, 16*second, 20*second)
		fault(faultDeclaredDead, currentOwner, 0, 16*second, 18*second)
		fault(faultPause, currentOwner, after, 5*second, 10*second)
		fault(faultRestartWitnesses, currentOwner, after+drawDuration(t, "then", 0, 300*time.Millisecond), 10*time.Millisecond, 300*time.Millisecond)
	case scenarioSplit:
		h.nodes = max(h.nodes, wideNodes)
		h.witnessGrace = shortGrace
		fault(faultSplit, currentOwner, 0, 12*second, 18*second)
	case scenarioReplacedWitnesses:
		h.nodes = max(h.nodes, wideNodes)
		h.witnessGrace = shortGrace
		fault(faultNoObjectUpdates, currentOwner, 0, 24*second, 28*second)
		fault(faultWitnessesIneligible, currentOwner, drawDuration(t, "after", 0, second), 16*second, 20*second)
		fault(faultDeclaredDead, currentOwner, drawDuration(t, "after", 9*second, 12*second), 8*second, 12*second)
	case scenarioLateReplies:
		fault(faultDelay, 0, 0, 6*second, 10*second)
		fault(faultNoObjectUpdates, currentOwner, 0, 6*second, 12*second)
		fault(faultDeclaredDead, currentOwner, 0, 6*second, 12*second)
	case scenarioFutureKeys:
		h.slowStepDivisor = 4
		h.callerClockLead = 5 * second
		fault(faultPause, currentOwner, 0, 7*second, 12*second)
	case scenarioHandover:
		fault(faultIneligible, currentOwner, 0, 4*second, 12*second)
		kinds := []faultKind{faultNoPlatform, faultLateWrites, faultLostAnswers, faultLoss, faultPlatformDown}
		fault(rapid.SampledFrom(kinds).Draw(t, "kind"), currentOwner, 0, second, 8*second)
		end := rapid.SampledFrom([]faultKind{faultKill, faultPause, faultCutOff, faultClockStep}).Draw(t, "end")
		fault(end, currentOwner, drawDuration(t, "after", 0, 8*second), 3*second, 8*second)
	case scenarioSuddenRestart:
		fault(faultKill, currentOwner, 0, time.Millisecond, 300*time.Millisecond)
	}
}

// play simulates a history to its end, or until an invariant is violated.
func (h history) play(skew time.Duration, disabled rule.Set) *simulation {
	sim := newSimulation(h, skew, disabled)
	for _, f := range h.faults {
		sim.after(f.at, func() {
			end := sim.beginFault(f)
			sim.after(f.lasts, end)
		})
	}
	sim.after(historyStart, sim.sendOperations)
	sim.after(lastFaultEnd, func() { sim.faultsOver = true })
	for sim.now < historyEnd && len(sim.violations) == 0 {
		sim.run(sim.now + time.Second)
	}
	sim.checkRecovery()
	return sim
}

// checkRecovery checks that operations with dated keys that were created from
// recoveredFrom on were run.
func (sim *simulation) checkRecovery() {
	if sim.now < historyEnd || len(sim.violations) > 0 {
		return
	}
	for _, key := range sortedKeys(sim.ops) {
		op := sim.ops[key]
		if !op.dated || op.created < recoveredFrom || op.clockLead > 0 {
			continue
		}
		for _, verdict := range op.verdicts {
			ok := verdict == "replay " || verdict == "refused admission" || strings.HasPrefix(verdict, "unknown ") && len(op.runs) > 0
			sim.check(ok, "%s: %s after recovery, owner %v", key, verdict, sim.assignment())
		}
	}
}

// sendOperations creates an operation, schedules several attempts of it, and
// schedules the next operation.
func (sim *simulation) sendOperations() {
	if sim.now > recoveredUntil {
		return
	}
	sim.after(sim.duration(2*meanSendInterval), sim.sendOperations)
	clockLead := time.Duration(0)
	if sim.rng.IntN(3) == 0 {
		clockLead = sim.callerClockLead + sim.duration(8*time.Second)
	}
	op := sim.newOperation(sim.rng.IntN(3) > 0, clockLead)
	for range 1 + sim.rng.IntN(4) {
		sim.after(sim.resendDelay(), func() { sim.submit(op, sim.ingress(), sim.ingressDelay()) })
	}
	if clockLead > 0 {
		// A key from the future is refused with a time to retry after.
		sim.after(clockLead+sim.duration(2*time.Second), func() { sim.submit(op, sim.ingress(), 0) })
	}
}

// ingress returns the node that a caller sends to. It prefers nodes that receive
// no updates of the object.
func (sim *simulation) ingress() *process {
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	for _, m := range sim.nodes {
		if m.noObjectUpdates && sim.rng.IntN(3) == 0 {
			return m
		}
	}
	return n
}

// ingressDelay returns the time for which the ingress delays an attempt.
func (sim *simulation) ingressDelay() time.Duration {
	if sim.faultsOver || sim.rng.IntN(20) > 0 {
		return 0
	}
	return sim.duration(2 * modelWindow)
}

// resendDelay returns the delay of an attempt: short, or long enough for a
// takeover, or about as long as the key stays in the resend window.
func (sim *simulation) resendDelay() time.Duration {
	switch sim.rng.IntN(4) {
	case 0:
		return sim.duration(50 * time.Millisecond)
	case 1:
		return sim.duration(3 * time.Second)
	case 2:
		return sim.duration(12 * time.Second)
	default:
		return sim.duration(modelWindow * 5 / 2)
	}
}
