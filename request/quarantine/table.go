package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"verbenatrestle/request"
)

// Settings configures a Table.
type Settings struct {
	// Duration is how long a suspicion or a quarantine lasts.
	Duration time.Duration
	// MaxClockSkew is the largest assumed difference between the wall clocks of
	// nodes.
	MaxClockSkew time.Duration
	// MaxCrashes is how many crashes are kept. The oldest are dropped first.
	MaxCrashes int
	// MaxInFlight is how many in-flight requests of one crash are kept. Suspects
	// are kept first.
	MaxInFlight int
	// MaxCompletions is how many completions are kept. The oldest are dropped
	// first.
	MaxCompletions int
}

// DefaultSettings limits a table to less than 2 MB.
var DefaultSettings = Settings{
	Duration:       5 * time.Minute,
	MaxClockSkew:   250 * time.Millisecond,
	MaxCrashes:     128,
	MaxInFlight:    256,
	MaxCompletions: 4096,
}

// maxFutureOffset is how far the time of a record may be ahead of the clock of
// this node.
const maxFutureOffset = time.Minute

// Table holds the crashes and completions that a node has recorded or received,
// and the verdicts derived from them. It is safe for concurrent use.
type Table struct {
	settings Settings

	mu          sync.RWMutex
	crashes     map[CrashID]*Crash
	completions map[request.Fingerprint]int64
	verdicts    map[request.Fingerprint]timedVerdict
	generation  uint64
}

// timedVerdict is a verdict that applies until a wall-clock time in Unix
// milliseconds.
type timedVerdict struct {
	verdict Verdict
	until   int64
}

// New returns an empty table.
func New(settings Settings) *Table {
	return &Table{
		settings:    settings,
		crashes:     make(map[CrashID]*Crash),
		completions: make(map[request.Fingerprint]int64),
		verdicts:    make(map[request.Fingerprint]timedVerdict),
	}
}

// Check returns the verdict on a fingerprint and how long it still applies. The
// time is 0 for Unsuspected.
func (t *Table) Check(f request.Fingerprint, now time.Time) (Verdict, time.Duration) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	v, ok := t.verdicts[f]
	remaining := time.Duration(v.until-now.UnixMilli()) * time.Millisecond
	if !ok || remaining <= 0 {
		return Unsuspected, 0
	}
	return v.verdict, remaining
}

// RecordCrash records a crash of this node's target with the requests that were in
// flight. It returns the message to send to the other nodes.
func (t *Table) RecordCrash(id CrashID, inFlight []InFlightRequest, now time.Time) Message {
	crash := Crash{ID: id, AtMillis: now.UnixMilli(), InFlight: inFlight}
	message := Message{Crashes: []Crash{crash}}
	t.Merge(message, now)
	return message
}

// RecordCompletion records that a target answered a request. The suspect argument
// is whether the request ran as a suspect. It returns the message to send to the
// other nodes, which is empty if the request ran unsuspected and still is.
func (t *Table) RecordCompletion(f request.Fingerprint, suspect bool, now time.Time) Message {
	verdict, _ := t.Check(f, now)
	if verdict == Unsuspected && !suspect {
		return Message{}
	}
	message := Message{Completions: []Completion{{Fingerprint: f, AtMillis: now.UnixMilli()}}}
	t.Merge(message, now)
	return message
}

// Export returns all records, for a node that has just started.
func (t *Table) Export() Message {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var m Message
	for _, crash := range t.crashesByTime() {
		m.Crashes = append(m.Crashes, *crash)
	}
	for f, at := range t.completions {
		m.Completions = append(m.Completions, Completion{Fingerprint: f, AtMillis: at})
	}
	slices.SortFunc(m.Completions, compareCompletions)
	return m
}

// Merge adds the records of another node. It reports whether any of them was new,
// in which case the message should be forwarded.
func (t *Table) Merge(m Message, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, crash := range m.Crashes {
		changed = t.addCrash(crash, now) || changed
	}
	for _, completion := range m.Completions {
		changed = t.addCompletion(completion, now) || changed
	}
	if changed {
		t.prune(now)
		t.verdicts = attributeCrashes(t.crashesByTime(), t.completions, t.settings)
		t.generation++
	}
	return changed
}

// Generation returns a number that grows whenever the records change.
func (t *Table) Generation() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.generation
}

// QuarantinedCrashes returns the crashes recorded by a node with only those of their
// requests that are quarantined, ordered by time. A table that has no other records and
// merges those of all nodes quarantines the same requests.
func (t *Table) QuarantinedCrashes(node string, now time.Time) []Crash {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var crashes []Crash
	for _, crash := range t.crashesByTime() {
		if crash.ID.Node != node {
			continue
		}
		quarantined := slices.DeleteFunc(slices.Clone(crash.InFlight), func(r InFlightRequest) bool {
			v := t.verdicts[r.Fingerprint]
			return v.verdict != Quarantined || v.until <= now.UnixMilli()
		})
		if len(quarantined) > 0 {
			crashes = append(crashes, Crash{ID: crash.ID, AtMillis: crash.AtMillis, InFlight: quarantined})
		}
	}
	return crashes
}

// addCrash adds a crash. If the crash is recorded already, it adds the requests
// that the record lacks and keeps the earlier time. It reports whether anything
// changed.
func (t *Table) addCrash(crash Crash, now time.Time) bool {
	if !t.plausible(crash.AtMillis, now) {
		return false
	}
	existing := t.crashes[crash.ID]
	if existing == nil {
		added := crash
		added.InFlight = t.mergeInFlight(nil, crash.InFlight)
		t.crashes[crash.ID] = &added
		return true
	}
	merged := t.mergeInFlight(existing.InFlight, crash.InFlight)
	earliest := min(existing.AtMillis, crash.AtMillis)
	if earliest == existing.AtMillis && slices.Equal(merged, existing.InFlight) {
		return false
	}
	t.crashes[crash.ID] = &Crash{ID: crash.ID, AtMillis: earliest, InFlight: merged}
	return true
}

// addCompletion adds a completion if it is later than the recorded one of its
// fingerprint. It reports whether it did.
func (t *Table) addCompletion(c Completion, now time.Time) bool {
	if !t.plausible(c.AtMillis, now) || t.completions[c.Fingerprint] >= c.AtMillis {
		return false
	}
	t.completions[c.Fingerprint] = c.AtMillis
	return true
}

// plausible reports whether a record with the time is worth keeping: it is neither
// past its retention nor too far in the future.
func (t *Table) plausible(at int64, now time.Time) bool {
	return at > t.retentionCutoff(now) && at <= now.Add(maxFutureOffset).UnixMilli()
}

// retentionCutoff returns the time up to which records are dropped, in Unix
// milliseconds. Records are kept for twice Settings.Duration: a second crash can
// implicate a request until one Duration after the first, and the verdict then
// lasts for another.
func (t *Table) retentionCutoff(now time.Time) int64 {
	return now.Add(-2 * t.settings.Duration).UnixMilli()
}

// mergeInFlight returns the union of two lists, truncated to MaxInFlight. The
// result is ordered by suspicion, suspects first, and then by fingerprint, so that
// all nodes truncate alike.
func (t *Table) mergeInFlight(a, b []InFlightRequest) []InFlightRequest {
	suspect := make(map[request.Fingerprint]bool, len(a)+len(b))
	for _, r := range slices.Concat(a, b) {
		suspect[r.Fingerprint] = suspect[r.Fingerprint] || r.Suspect
	}
	union := make([]InFlightRequest, 0, len(suspect))
	for f, s := range suspect {
		union = append(union, InFlightRequest{Fingerprint: f, Suspect: s})
	}
	slices.SortFunc(union, compareInFlight)
	return union[:min(len(union), t.settings.MaxInFlight)]
}

// prune drops the records past their retention, and the oldest ones above the
// limits.
func (t *Table) prune(now time.Time) {
	cutoff := t.retentionCutoff(now)
	for id, crash := range t.crashes {
		if crash.AtMillis <= cutoff {
			delete(t.crashes, id)
		}
	}
	for f, at := range t.completions {
		if at <= cutoff {
			delete(t.completions, f)
		}
	}
	ordered := t.crashesByTime()
	for len(t.crashes) > t.settings.MaxCrashes {
		delete(t.crashes, ordered[0].ID)
		ordered = ordered[1:]
	}
	t.pruneCompletions()
}

// pruneCompletions drops the oldest completions above MaxCompletions.
func (t *Table) pruneCompletions() {
	excess := len(t.completions) - t.settings.MaxCompletions
	if excess <= 0 {
		return
	}
	all := make([]Completion, 0, len(t.completions))
	for f, at := range t.completions {
		all = append(all, Completion{Fingerprint: f, AtMillis: at})
	}
	slices.SortFunc(all, compareCompletions)
	for _, c := range all[:excess] {
		delete(t.completions, c.Fingerprint)
	}
}

// crashesByTime returns the crashes, sorted by time.
func (t *Table) crashesByTime() []*Crash {
	all := make([]*Crash, 0, len(t.crashes))
	for _, crash := range t.crashes {
		all = append(all, crash)
	}
	slices.SortFunc(all, compareCrashes)
	return all
}

// compareCrashes orders by time, then by ID, so that all nodes use the same order.
func compareCrashes(a, b *Crash) int {
	if a.AtMillis != b.AtMillis {
		return cmp.Compare(a.AtMillis, b.AtMillis)
	}
	if order := strings.Compare(a.ID.Node, b.ID.Node); order != 0 {
		return order
	}
	return strings.Compare(a.ID.Instance, b.ID.Instance)
}

// compareInFlight orders suspects before others, then by fingerprint.
func compareInFlight(a, b InFlightRequest) int {
	if a.Suspect != b.Suspect {
		if a.Suspect {
			return -1
		}
		return 1
	}
	return cmp.Compare(uint64(a.Fingerprint), uint64(b.Fingerprint))
}

// compareCompletions orders by time, then by fingerprint.
func compareCompletions(a, b Completion) int {
	if a.AtMillis != b.AtMillis {
		return cmp.Compare(a.AtMillis, b.AtMillis)
	}
	return cmp.Compare(uint64(a.Fingerprint), uint64(b.Fingerprint))
}
