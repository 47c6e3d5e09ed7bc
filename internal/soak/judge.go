package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// drainBound is how long after its acknowledged leave a target may still get
// requests: the users' bound.
const drainBound = 2 * time.Second

// Result is what a run of the soak showed.
type Result struct {
	// Sent, Answered, NotRun and Unknown count requests by what was told.
	Sent, Answered, NotRun, Unknown int
	// AnsweredAfterFaults is the share of the requests of the calm end that were answered.
	AnsweredAfterFaults float64
	// Violations are the promises that were not kept.
	Violations []string
}

// CheckRecords holds what callers were told against what targets ran. CalmFrom is the
// Unix millisecond from which on nothing was disturbed any more.
func CheckRecords(told []CallerRecord, ran []RunRecord, calmFrom int64) Result {
	v := Result{Sent: len(told)}
	runs := make(map[string][]RunRecord)
	for _, r := range ran {
		runs[r.ID] = append(runs[r.ID], r)
		if r.DrainAckedMillis > 0 && r.StartMillis > r.DrainAckedMillis+drainBound.Milliseconds() {
			v.broke("drain: %s reached %s %d ms after its leave was acknowledged", r.ID, r.Instance, r.StartMillis-r.DrainAckedMillis)
		}
	}
	known := make(map[string]bool, len(told))
	calm, calmAnswered := 0, 0
	for i := range told {
		t := &told[i]
		known[t.ID] = true
		v.request(t, runs[t.ID])
		if t.EndMillis-t.DurationMillis >= calmFrom {
			calm++
			if t.Status == http.StatusOK {
				calmAnswered++
			}
		}
	}
	for id, rs := range runs {
		if !known[id] {
			v.broke("unasked: %s ran at %s, no caller asked for it", id, rs[0].Instance)
		}
	}
	if calm > 0 {
		v.AnsweredAfterFaults = float64(calmAnswered) / float64(calm)
	}
	if calm < minCalm || v.AnsweredAfterFaults < calmShare {
		v.broke("recovery: %d of %d requests answered after the faults", calmAnswered, calm)
	}
	return v
}

const (
	// minCalm is the least number of requests that tell of a recovery, and
	// calmShare the least share of them that has to be answered.
	minCalm   = 20
	calmShare = 0.9
)

// request judges one request.
func (v *Result) request(t *CallerRecord, runs []RunRecord) {
	if t.NonIdempotent && len(runs) > 1 {
		v.broke("twice: %s ran %d times", t.ID, len(runs))
	}
	for _, r := range runs {
		if r.Request != t.ExpectedBody {
			v.broke("changed: %s ran as %q, asked was %q", t.ID, r.Request, t.ExpectedBody)
		}
	}
	switch {
	case t.Status == http.StatusOK:
		v.Answered++
		v.answered(t, runs)
	case t.Status == http.StatusServiceUnavailable || t.Status == http.StatusTooManyRequests:
		v.NotRun++
		if t.NonIdempotent && len(runs) > 0 {
			v.broke("lied: %s was told not to have run, and ran at %s", t.ID, runs[0].Instance)
		}
	case t.Status == http.StatusNotFound:
		v.broke("denied: %s got 404 from %s", t.ID, t.Node)
	default:
		v.Unknown++
	}
}

// answered judges a success: it has to be the whole answer to this request.
func (v *Result) answered(t *CallerRecord, runs []RunRecord) {
	switch {
	case len(runs) == 0:
		v.broke("made up: %s was answered and never ran", t.ID)
	case t.Body != t.ExpectedBody || t.ResponseID != t.ID || !strings.Contains(t.Signature, t.ID):
		v.broke("mixed: %s got %q with id %q and signature %q", t.ID, t.Body, t.ResponseID, t.Signature)
	}
}

// maxBroken bounds the broken promises that are listed.
const maxBroken = 40

func (v *Result) broke(format string, args ...any) {
	if len(v.Violations) < maxBroken {
		v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
	}
}

// CheckFiles is Judge of files of JSON lines.
func CheckFiles(toldFiles, ranFiles []string, calmFrom int64) (Result, error) {
	var told []CallerRecord
	for _, name := range toldFiles {
		lines, err := readLines[CallerRecord](name)
		if err != nil {
			return Result{}, err
		}
		told = append(told, lines...)
	}
	var ran []RunRecord
	for _, name := range ranFiles {
		lines, err := readLines[RunRecord](name)
		if err != nil {
			return Result{}, err
		}
		ran = append(ran, lines...)
	}
	return CheckRecords(told, ran, calmFrom), nil
}
