package quarantine

import (
	"slices"

	"verbenatrestle/request"
)

// attribution is the state while crashes are attributed to requests.
type attribution struct {
	duration     int64 // milliseconds
	maxClockSkew int64 // milliseconds
	// completions holds the time of the last completion of each fingerprint, in
	// Unix milliseconds.
	completions map[request.Fingerprint]int64
	// unexplained holds the crashes that implicate each fingerprint and are not
	// yet explained, sorted by time.
	unexplained map[request.Fingerprint][]*Crash
	verdicts    map[request.Fingerprint]timedVerdict
}

// attributeCrashes derives the verdicts from the crashes, which must be sorted by
// time, and the times of the last completions.
//
// It repeatedly attributes crashes to the fingerprint that is in most of the
// unexplained crashes, at least two. Among fingerprints in equally many, it takes
// the one whose latest crash is later. The fingerprint is quarantined, and these
// crashes are explained. If several fingerprints tie in both, one of them is the
// cause: they become suspects, and the crashes count as explained as well.
// Finally, each fingerprint with unexplained crashes left becomes a suspect.
//
// If a single fingerprint causes all crashes, it is in all of them. No other
// fingerprint can be in more, so no harmless request is quarantined.
func attributeCrashes(crashes []*Crash, completions map[request.Fingerprint]int64, s Settings) map[request.Fingerprint]timedVerdict {
	a := &attribution{
		duration:     s.Duration.Milliseconds(),
		maxClockSkew: s.MaxClockSkew.Milliseconds(),
		completions:  completions,
		unexplained:  make(map[request.Fingerprint][]*Crash),
		verdicts:     make(map[request.Fingerprint]timedVerdict),
	}
	a.collect(crashes)
	for implicated := a.mostImplicated(); len(implicated) > 0; implicated = a.mostImplicated() {
		a.explain(implicated)
	}
	for f, unexplained := range a.unexplained {
		if len(unexplained) > 0 {
			a.markSuspect(f, unexplained)
		}
	}
	return a.verdicts
}

// collect sets the unexplained crashes of each fingerprint: those after its last
// completion that are within the duration before its latest crash.
func (a *attribution) collect(crashes []*Crash) {
	for _, c := range slices.Backward(crashes) {
		for _, r := range c.InFlight {
			unexplained := a.unexplained[r.Fingerprint]
			if a.completedAfter(r.Fingerprint, c) || len(unexplained) > 0 && unexplained[0].AtMillis-c.AtMillis > a.duration {
				continue
			}
			a.unexplained[r.Fingerprint] = append(unexplained, c)
		}
	}
	for _, unexplained := range a.unexplained {
		slices.Reverse(unexplained)
	}
}

// completedAfter reports whether the request completed after the crash. A
// completion that is earlier by no more than the clock skew counts as later.
func (a *attribution) completedAfter(f request.Fingerprint, c *Crash) bool {
	at, ok := a.completions[f]
	return ok && at+a.maxClockSkew >= c.AtMillis
}

// mostImplicated returns the fingerprints that are in most of the unexplained
// crashes, or none if no fingerprint is in two. It returns several in case of a tie.
func (a *attribution) mostImplicated() []request.Fingerprint {
	var implicated []request.Fingerprint
	var most []*Crash
	for f, unexplained := range a.unexplained {
		if len(unexplained) < 2 {
			continue
		}
		order := compareImplication(unexplained, most)
		if order > 0 {
			implicated = implicated[:0]
			most = unexplained
		}
		if order >= 0 {
			implicated = append(implicated, f)
		}
	}
	return implicated
}

// compareImplication orders the crashes of two fingerprints by their number, then
// by the latest crash.
func compareImplication(a, b []*Crash) int {
	if len(a) != len(b) {
		return len(a) - len(b)
	}
	return compareCrashes(a[len(a)-1], b[len(b)-1])
}

// explain attributes the unexplained crashes of the most implicated fingerprints
// to these and removes the crashes from all fingerprints. A single fingerprint is
// quarantined, several become suspects.
func (a *attribution) explain(implicated []request.Fingerprint) {
	explained := make(map[*Crash]bool)
	for _, f := range implicated {
		unexplained := a.unexplained[f]
		for _, c := range unexplained {
			explained[c] = true
		}
		if len(implicated) > 1 {
			a.markSuspect(f, unexplained)
			continue
		}
		latest := unexplained[len(unexplained)-1]
		a.verdicts[f] = timedVerdict{verdict: Quarantined, until: latest.AtMillis + a.duration}
	}
	for f, unexplained := range a.unexplained {
		a.unexplained[f] = slices.DeleteFunc(unexplained, func(c *Crash) bool { return explained[c] })
	}
}

// markSuspect makes a fingerprint a suspect unless it is quarantined. The suspicion
// lasts until one duration after its latest crash.
func (a *attribution) markSuspect(f request.Fingerprint, unexplained []*Crash) {
	previous := a.verdicts[f]
	if previous.verdict == Quarantined {
		return
	}
	until := unexplained[len(unexplained)-1].AtMillis + a.duration
	a.verdicts[f] = timedVerdict{verdict: Suspect, until: max(previous.until, until)}
}
