package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"verbenatrestle/platform/standin"
)

// maxDrainDelay is how long after the acknowledgement of its drain a target may
// still receive requests. The users of the platform set this limit.
const maxDrainDelay = 2 * time.Second

// maxActivationDelay is how long after its acknowledgement a configuration may take to
// be active on all nodes. The users of the platform set this limit.
const maxActivationDelay = 2 * time.Second

// Result is the result of checking the records of a soak.
type Result struct {
	// Sent counts all requests, and Answered, NotRun and Unknown those with the
	// respective outcome.
	Sent, Answered, NotRun, Unknown int
	// AnsweredAfterFaults is the share of the requests started after the last
	// fault that were answered.
	AnsweredAfterFaults float64
	// Violations describes the violated invariants, at most maxViolationsOfKind for each.
	Violations []string
	// kinds counts the violations of each kind, which is the start of the format.
	kinds map[string]int
}

// CheckRecords compares the records of callers with the records of runs at
// targets. No fault was active from the Unix time faultsEndMillis on, in
// milliseconds.
func CheckRecords(callers []CallerRecord, runs []RunRecord, faultsEndMillis int64) Result {
	result := Result{Sent: len(callers)}
	runsByID := make(map[string][]RunRecord)
	for _, r := range runs {
		if !r.Incomplete {
			runsByID[r.ID] = append(runsByID[r.ID], r)
		}
		if r.DrainAckedMillis > 0 && r.StartMillis > r.DrainAckedMillis+maxDrainDelay.Milliseconds() {
			result.addViolation("drain: %s reached %s %d ms after its drain was acknowledged", r.ID, r.Instance, r.StartMillis-r.DrainAckedMillis)
		}
	}
	configSent := configsSent(callers)
	known := make(map[string]bool, len(callers))
	afterFaults, answeredAfterFaults := 0, 0
	for i := range callers {
		c := &callers[i]
		known[c.ID] = true
		result.checkRequest(c, runsByID[c.ID])
		if c.Config > 0 {
			result.checkProbe(c, configSent, faultsEndMillis)
			continue
		}
		if c.EndMillis-c.DurationMillis >= faultsEndMillis && !c.Poison && !c.Broken && !c.Ambiguous && !c.BehindClose && c.alwaysAllowed() && !c.beyondQuota() {
			afterFaults++
			if c.Status == c.expectedStatus() {
				answeredAfterFaults++
			}
		}
	}
	result.checkCallerServices(callers, runsByID)
	result.checkPoison(callers, runs)
	result.checkQuota(runs)
	result.checkCold(callers, runs)
	for i := range runs {
		result.checkArrival(&runs[i], known[runs[i].ID])
	}
	if afterFaults > 0 {
		result.AnsweredAfterFaults = float64(answeredAfterFaults) / float64(afterFaults)
	}
	if afterFaults < minRecoveryRequests || result.AnsweredAfterFaults < minRecoveryShare {
		result.addViolation("recovery: %d of %d requests answered after the faults", answeredAfterFaults, afterFaults)
	}
	return result
}

// configsSent returns when each version of the configuration was sent, in Unix milliseconds, as
// far as it was probed.
func configsSent(callers []CallerRecord) map[int]int64 {
	sent := make(map[int]int64)
	for i := range callers {
		if sentMillis := callers[i].ConfigSentMillis; sentMillis > 0 {
			sent[callers[i].Config] = sentMillis
		}
	}
	return sent
}

// WatcherLoss describes the loss of all nodes that watched the store at once, just before a change
// of the configuration. It was the only fault from FromMillis until UntilMillis, in Unix
// milliseconds. Zero means that there was none.
type WatcherLoss struct {
	FromMillis, UntilMillis int64
	// Nodes holds the addresses of the lost nodes.
	Nodes []string
}

// checkWatcherLoss checks that the change is active in time on the nodes that were not lost.
func (r *Result) checkWatcherLoss(callers []CallerRecord, loss WatcherLoss) {
	configSent := configsSent(callers)
	for i := range callers {
		c := &callers[i]
		if c.Config > 0 && c.EndMillis < loss.UntilMillis && !slices.Contains(loss.Nodes, c.Node) {
			r.checkProbe(c, configSent, loss.FromMillis)
		}
	}
}

const (
	// minRecoveryRequests is the lowest number of requests after the faults that
	// can prove a recovery, and minRecoveryShare the lowest share of them that must
	// be answered.
	minRecoveryRequests = 20
	minRecoveryShare    = 0.9
)

// checkRequest checks one request and counts its outcome.
func (r *Result) checkRequest(c *CallerRecord, runs []RunRecord) {
	if c.NonIdempotent && len(runs) > 1 {
		r.addViolation("twice: %s ran %d times", c.ID, len(runs))
	}
	if c.Broken && (c.Signature != "" || c.Status == http.StatusOK) {
		r.addViolation("mixed: %s got %d with %q, but no valid answer was sent", c.ID, c.Status, c.Body)
		return
	}
	if c.BehindClose && len(runs) > 0 {
		r.addViolation("lost: %s ran at %s behind a response that closed its connection", c.ID, runs[0].Instance)
	}
	for _, run := range runs {
		if !c.isSent(run.Request) {
			r.addViolation("changed: %s ran as %q, but was sent as %q", c.ID, run.Request, c.ExpectedBody)
		}
		r.checkOrganisation(c, &run)
	}
	if c.Status == http.StatusUnauthorized && c.alwaysAllowed() {
		r.addViolation("denied: %s got 401 from %s, with key %q and public=%v", c.ID, c.Node, c.Key, c.Public)
	}
	if c.Status == http.StatusTooManyRequests && !c.beyondQuota() {
		r.addViolation("denied: %s got 429 from %s, its organisation %q has no quota", c.ID, c.Node, c.Organisation)
	}
	switch {
	case c.Status == http.StatusOK || c.Status == c.expectedStatus():
		r.Answered++
		r.checkResponse(c, runs)
	case c.Status == http.StatusServiceUnavailable || c.Status == http.StatusTooManyRequests || c.Status == http.StatusUnauthorized:
		r.NotRun++
		if c.NonIdempotent && len(runs) > 0 {
			r.addViolation("lied: %s was answered as not run, but ran at %s", c.ID, runs[0].Instance)
		}
	case c.Status == http.StatusNotFound && c.Config == 0:
		r.addViolation("denied: %s got 404 from %s", c.ID, c.Node)
	default:
		r.Unknown++
	}
}

// checkProbe checks a request for the route, or with the key, of one version of the
// configuration, if no fault was active. configSent holds when each version was sent: the next one may be active
// before its acknowledgement is recorded.
func (r *Result) checkProbe(c *CallerRecord, configSent map[int]int64, faultsEndMillis int64) {
	sent := c.EndMillis - c.DurationMillis
	limit := maxActivationDelay.Milliseconds()
	refused := c.Status == http.StatusNotFound || c.Status == http.StatusUnauthorized
	mayBeReplaced := false
	for version, sentMillis := range configSent {
		mayBeReplaced = mayBeReplaced || version >= c.Config+max(1, c.RouteVersions) && sentMillis <= c.EndMillis
	}
	switch {
	case sent < faultsEndMillis:
	case !mayBeReplaced && c.SupersededMillis == 0 && refused && sent > c.AckedMillis+limit:
		r.addViolation("config: %s got %d from %s for version %d, acknowledged %d ms before", c.ID, c.Status, c.Node, c.Config, sent-c.AckedMillis)
	case c.SupersededMillis > 0 && c.Status == http.StatusOK && sent > c.SupersededMillis+limit:
		r.addViolation("config: %s was served by %s for version %d, superseded %d ms before", c.ID, c.Node, c.Config, sent-c.SupersededMillis)
	}
}

// expectedStatus returns the status of the response of a target.
func (c *CallerRecord) expectedStatus() int {
	if c.Early {
		return standin.EarlyStatus
	}
	return http.StatusOK
}

// checkResponse checks a successful response: it must be the complete response
// of a target to this request.
func (r *Result) checkResponse(c *CallerRecord, runs []RunRecord) {
	correct := c.isSent(c.Body)
	if c.Early {
		correct = c.Body == standin.EarlyBody
	}
	switch {
	case len(runs) == 0 && !c.Early: // the rest of its body may be cut off
		r.addViolation("made up: %s was answered, but never ran", c.ID)
	case !correct || c.Status != c.expectedStatus() || c.ResponseID != c.ID || !strings.Contains(c.Signature, c.ID):
		r.addViolation("mixed: %s got %q with id %q and signature %q", c.ID, c.Body, c.ResponseID, c.Signature)
	}
}

// maxViolationsOfKind is the maximum number of violations of one kind that are listed. One
// kind must not hide the others.
const maxViolationsOfKind = 20

func (r *Result) addViolation(format string, args ...any) {
	if r.kinds == nil {
		r.kinds = make(map[string]int)
	}
	kind, _, _ := strings.Cut(format, ":")
	r.kinds[kind]++
	if r.kinds[kind] <= maxViolationsOfKind {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// CheckFiles is like CheckRecords, but reads the records from files of JSON
// lines. It returns an error if a file cannot be read.
func CheckFiles(callerFiles, runFiles []string, faultsEndMillis int64, loss WatcherLoss) (Result, error) {
	var callers []CallerRecord
	for _, name := range callerFiles {
		lines, err := readLines[CallerRecord](name)
		if err != nil {
			return Result{}, err
		}
		callers = append(callers, lines...)
	}
	var runs []RunRecord
	for _, name := range runFiles {
		lines, err := readLines[RunRecord](name)
		if err != nil {
			return Result{}, err
		}
		runs = append(runs, lines...)
	}
	result := CheckRecords(callers, runs, faultsEndMillis)
	result.checkWatcherLoss(callers, loss)
	return result, nil
}
