package quarantine

import (
	"slices"

	"verbenatrestle/request"
)

// judgement works out the verdicts that follow from a set of crashes.
type judgement struct {
	spell int64 // milliseconds
	skew  int64 // milliseconds
	// clears holds when a fingerprint last completed.
	clears map[request.Fingerprint]int64
	// open holds the crashes of a fingerprint that nothing explains, by time.
	open    map[request.Fingerprint][]*Crash
	rulings map[request.Fingerprint]ruling
}

// judge takes the crashes by time. Again and again, it blames the fingerprint
// that is in most of the unexplained crashes, at least two; among equals, the
// one whose latest crash is later. That explains these crashes. If several
// fingerprints are blamed alike, it is one of them: they stay suspects, and
// the crashes are explained all the same. What is left of a fingerprint's
// crashes then makes it a suspect.
//
// If one fingerprint alone causes crashes, it is in all of them. So nothing
// else is ever blamed for more crashes, and no innocent is quarantined.
func judge(crashes []*Crash, clears map[request.Fingerprint]int64, s Settings) map[request.Fingerprint]ruling {
	j := &judgement{
		spell:   s.Duration.Milliseconds(),
		skew:    s.MaxClockSkew.Milliseconds(),
		clears:  clears,
		open:    make(map[request.Fingerprint][]*Crash),
		rulings: make(map[request.Fingerprint]ruling),
	}
	j.gather(crashes)
	for blamed := j.blame(); len(blamed) > 0; blamed = j.blame() {
		j.rule(blamed)
	}
	for f, open := range j.open {
		if len(open) > 0 {
			j.suspect(f, open)
		}
	}
	return j.rulings
}

// gather notes the crashes that speak against each fingerprint: those within
// a spell of its latest, after its latest completion.
func (j *judgement) gather(crashes []*Crash) {
	for _, c := range slices.Backward(crashes) {
		for _, r := range c.InFlight {
			open := j.open[r.Fingerprint]
			if j.cleared(r.Fingerprint, c) || len(open) > 0 && open[0].AtMillis-c.AtMillis > j.spell {
				continue
			}
			j.open[r.Fingerprint] = append(open, c)
		}
	}
	for _, open := range j.open {
		slices.Reverse(open)
	}
}

// cleared reports whether the request completed after the crash. A time
// within the skew counts as after.
func (j *judgement) cleared(f request.Fingerprint, c *Crash) bool {
	at, ok := j.clears[f]
	return ok && at+j.skew >= c.AtMillis
}

// blame returns the fingerprints that are in most of the unexplained crashes.
func (j *judgement) blame() []request.Fingerprint {
	var blamed []request.Fingerprint
	var worst []*Crash
	for f, open := range j.open {
		if len(open) < 2 {
			continue
		}
		order := compareBlame(open, worst)
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

// compareBlame orders by the number of crashes, then by the latest one.
func compareBlame(a, b []*Crash) int {
	if len(a) != len(b) {
		return len(a) - len(b)
	}
	return compareCrashes(a[len(a)-1], b[len(b)-1])
}

// rule quarantines what alone is blamed, makes suspects of what is blamed
// with others, and explains the crashes.
func (j *judgement) rule(blamed []request.Fingerprint) {
	explained := make(map[*Crash]bool)
	for _, f := range blamed {
		open := j.open[f]
		for _, c := range open {
			explained[c] = true
		}
		if len(blamed) > 1 {
			j.suspect(f, open)
			continue
		}
		latest := open[len(open)-1]
		j.rulings[f] = ruling{verdict: Quarantined, until: latest.AtMillis + j.spell}
	}
	for f, open := range j.open {
		j.open[f] = slices.DeleteFunc(open, func(c *Crash) bool { return explained[c] })
	}
}

// suspect makes a suspect of what isn't quarantined.
func (j *judgement) suspect(f request.Fingerprint, open []*Crash) {
	known := j.rulings[f]
	if known.verdict == Quarantined {
		return
	}
	until := open[len(open)-1].AtMillis + j.spell
	j.rulings[f] = ruling{verdict: Suspect, until: max(known.until, until)}
}
