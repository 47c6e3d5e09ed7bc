package quarantine

import (
	"slices"

	"verbenatrestle/request"
)

// attribution works out the verdicts that follow from a set of crashes.
type attribution struct {
	duration     int64 // milliseconds
	maxClockSkew int64 // milliseconds
	// completions holds when a fingerprint last completed.
	completions map[request.Fingerprint]int64
	// unexplained holds the crashes of a fingerprint that nothing explains, by time.
	unexplained map[request.Fingerprint][]*Crash
	verdicts    map[request.Fingerprint]timedVerdict
}

// attributeCrashes takes the crashes by time. Again and again, it blames the fingerprint
// that is in most of the unexplained crashes, at least two; among equals, the
// one whose latest crash is later. That explains these crashes. If several
// fingerprints are blamed alike, it is one of them: they stay suspects, and
// the crashes are explained all the same. What is left of a fingerprint's
// crashes then makes it a suspect.
//
// If one fingerprint alone causes crashes, it is in all of them. So nothing
// else is ever blamed for more crashes, and no innocent is quarantined.
func attributeCrashes(crashes []*Crash, clears map[request.Fingerprint]int64, s Settings) map[request.Fingerprint]timedVerdict {
	j := &attribution{
		duration:     s.Duration.Milliseconds(),
		maxClockSkew: s.MaxClockSkew.Milliseconds(),
		completions:  clears,
		unexplained:  make(map[request.Fingerprint][]*Crash),
		verdicts:     make(map[request.Fingerprint]timedVerdict),
	}
	j.collect(crashes)
	for blamed := j.mostImplicated(); len(blamed) > 0; blamed = j.mostImplicated() {
		j.explain(blamed)
	}
	for f, open := range j.unexplained {
		if len(open) > 0 {
			j.markSuspect(f, open)
		}
	}
	return j.verdicts
}

// collect notes the crashes that speak against each fingerprint: those within
// a spell of its latest, after its latest completion.
func (j *attribution) collect(crashes []*Crash) {
	for _, c := range slices.Backward(crashes) {
		for _, r := range c.InFlight {
			open := j.unexplained[r.Fingerprint]
			if j.completedAfter(r.Fingerprint, c) || len(open) > 0 && open[0].AtMillis-c.AtMillis > j.duration {
				continue
			}
			j.unexplained[r.Fingerprint] = append(open, c)
		}
	}
	for _, open := range j.unexplained {
		slices.Reverse(open)
	}
}

// completedAfter reports whether the request completed after the crash. A time
// within the skew counts as after.
func (j *attribution) completedAfter(f request.Fingerprint, c *Crash) bool {
	at, ok := j.completions[f]
	return ok && at+j.maxClockSkew >= c.AtMillis
}

// mostImplicated returns the fingerprints that are in most of the unexplained crashes.
func (j *attribution) mostImplicated() []request.Fingerprint {
	var blamed []request.Fingerprint
	var worst []*Crash
	for f, open := range j.unexplained {
		if len(open) < 2 {
			continue
		}
		order := compareImplication(open, worst)
		if order > 0 {
			blamed = blamed[:0]
			worst = open
		}
		if order >= 0 {
			blamed = append(blamed, f)
		}
	}
	return blamed
}

// compareImplication orders by the number of crashes, then by the latest one.
func compareImplication(a, b []*Crash) int {
	if len(a) != len(b) {
		return len(a) - len(b)
	}
	return compareCrashes(a[len(a)-1], b[len(b)-1])
}

// explain quarantines what alone is blamed, makes suspects of what is blamed
// with others, and explains the crashes.
func (j *attribution) explain(blamed []request.Fingerprint) {
	explained := make(map[*Crash]bool)
	for _, f := range blamed {
		open := j.unexplained[f]
		for _, c := range open {
			explained[c] = true
		}
		if len(blamed) > 1 {
			j.markSuspect(f, open)
			continue
		}
		latest := open[len(open)-1]
		j.verdicts[f] = timedVerdict{verdict: Quarantined, until: latest.AtMillis + j.duration}
	}
	for f, open := range j.unexplained {
		j.unexplained[f] = slices.DeleteFunc(open, func(c *Crash) bool { return explained[c] })
	}
}

// markSuspect makes a suspect of what isn't quarantined.
func (j *attribution) markSuspect(f request.Fingerprint, open []*Crash) {
	known := j.verdicts[f]
	if known.verdict == Quarantined {
		return
	}
	until := open[len(open)-1].AtMillis + j.duration
	j.verdicts[f] = timedVerdict{verdict: Suspect, until: max(known.until, until)}
}
