package quarantine

import "verbenatrestle/request"

// judgement works out the verdicts that follow from crashes in their order.
type judgement struct {
	spell int64 // milliseconds
	skew  int64 // milliseconds
	// clears holds when a fingerprint last completed.
	clears map[request.Fingerprint]int64
	// earlier holds the crashes that a fingerprint was in.
	earlier map[request.Fingerprint][]*Crash
	// explained holds the crasher of a crash.
	explained map[*Crash]request.Fingerprint
	rulings   map[request.Fingerprint]ruling
}

func judge(crashes []*Crash, clears map[request.Fingerprint]int64, s Settings) map[request.Fingerprint]ruling {
	j := &judgement{
		spell:     s.Spell.Milliseconds(),
		skew:      s.Skew.Milliseconds(),
		clears:    clears,
		earlier:   make(map[request.Fingerprint][]*Crash),
		explained: make(map[*Crash]request.Fingerprint),
		rulings:   make(map[request.Fingerprint]ruling),
	}
	for _, crash := range crashes {
		j.try(crash)
	}
	for _, crash := range crashes {
		j.suspect(crash)
	}
	return j.rulings
}

// try convicts the only suspect among a crash's requests, if there is just one.
func (j *judgement) try(crash *Crash) {
	var suspects []request.Fingerprint
	for _, r := range crash.Running {
		if j.suspected(r, crash) {
			suspects = append(suspects, r.Fingerprint)
		}
		j.earlier[r.Fingerprint] = append(j.earlier[r.Fingerprint], crash)
	}
	if len(suspects) != 1 {
		return
	}
	crasher := suspects[0]
	for _, c := range j.earlier[crasher] {
		if j.counts(c, crasher) {
			j.explained[c] = crasher
		}
	}
	j.explained[crash] = crasher
	j.rulings[crasher] = ruling{verdict: Quarantined, until: crash.AtMillis + j.spell}
}

// suspected reports whether a request was a suspect when it was in a crash.
func (j *judgement) suspected(r Running, crash *Crash) bool {
	if r.Suspect && !j.cleared(r.Fingerprint, crash) {
		return true
	}
	for _, c := range j.earlier[r.Fingerprint] {
		if crash.AtMillis-c.AtMillis <= j.spell && j.counts(c, r.Fingerprint) {
			return true
		}
	}
	return false
}

// counts reports whether a crash speaks against one of its requests.
func (j *judgement) counts(c *Crash, f request.Fingerprint) bool {
	crasher, explained := j.explained[c]
	if explained && crasher != f {
		return false
	}
	return !j.cleared(f, c)
}

// cleared reports whether the request completed after the crash. A time
// within the skew counts as after.
func (j *judgement) cleared(f request.Fingerprint, c *Crash) bool {
	at, ok := j.clears[f]
	return ok && at+j.skew >= c.AtMillis
}

// suspect rules on the requests of a crash that nothing explains.
func (j *judgement) suspect(crash *Crash) {
	for _, r := range crash.Running {
		if !j.counts(crash, r.Fingerprint) {
			continue
		}
		known := j.rulings[r.Fingerprint]
		if known.verdict == Quarantined {
			continue
		}
		until := max(known.until, crash.AtMillis+j.spell)
		j.rulings[r.Fingerprint] = ruling{verdict: Suspect, until: until}
	}
}
