package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"verbenatrestle/request"
)

// Settings bounds a Table.
type Settings struct {
	// Duration is how long a suspicion and a quarantine last.
	Duration time.Duration
	// MaxClockSkew is how far the wall clocks of nodes may differ.
	MaxClockSkew time.Duration
	// MaxCrashes is how many crashes are kept.
	MaxCrashes int
	// MaxInFlight is how many requests of one crash are kept, suspects first.
	MaxInFlight int
	// MaxCompletions is how many clears are kept.
	MaxCompletions int
}

// DefaultSettings keeps a table under 2 MB.
var DefaultSettings = Settings{
	Duration:       5 * time.Minute,
	MaxClockSkew:   250 * time.Millisecond,
	MaxCrashes:     128,
	MaxInFlight:    256,
	MaxCompletions: 4096,
}

// maxFutureOffset is how far ahead of the own clock a recorded time may lie.
const maxFutureOffset = time.Minute

// Table holds the crashes and clears that a node knows, and what follows.
type Table struct {
	settings Settings

	mu          sync.RWMutex
	crashes     map[CrashID]*Crash
	completions map[request.Fingerprint]int64
	verdicts    map[request.Fingerprint]timedVerdict
}

// timedVerdict is a verdict until a wall-clock time in Unix milliseconds.
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

// Check returns the verdict on a fingerprint, and how long it still lasts.
func (t *Table) Check(f request.Fingerprint, now time.Time) (Verdict, time.Duration) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.verdicts[f]
	left := time.Duration(r.until-now.UnixMilli()) * time.Millisecond
	if !ok || left <= 0 {
		return Unsuspected, 0
	}
	return r.verdict, left
}

// RecordCrash records that a target beside this node crashed, and returns what to
// tell the other nodes.
func (t *Table) RecordCrash(id CrashID, running []InFlightRequest, now time.Time) Message {
	crash := Crash{ID: id, AtMillis: now.UnixMilli(), InFlight: running}
	message := Message{Crashes: []Crash{crash}}
	t.Merge(message, now)
	return message
}

// RecordCompletion records that a request was answered. It returns what to tell the
// other nodes, which is nothing unless the request was a suspect.
func (t *Table) RecordCompletion(f request.Fingerprint, suspect bool, now time.Time) Message {
	verdict, _ := t.Check(f, now)
	if verdict == Unsuspected && !suspect {
		return Message{}
	}
	message := Message{Completions: []Completion{{Fingerprint: f, AtMillis: now.UnixMilli()}}}
	t.Merge(message, now)
	return message
}

// Export returns all that is known, for a node that has just started.
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

// Merge takes in what another node told. It reports whether anything was
// new, in which case it is worth passing on.
func (t *Table) Merge(m Message, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, crash := range m.Crashes {
		changed = t.addCrash(crash, now) || changed
	}
	for _, clearing := range m.Completions {
		changed = t.addCompletion(clearing, now) || changed
	}
	if changed {
		t.prune(now)
		t.verdicts = attributeCrashes(t.crashesByTime(), t.completions, t.settings)
	}
	return changed
}

// addCrash takes in a crash. A crash that is known already gains requests.
func (t *Table) addCrash(crash Crash, now time.Time) bool {
	if !t.plausible(crash.AtMillis, now) {
		return false
	}
	known := t.crashes[crash.ID]
	if known == nil {
		kept := crash
		kept.InFlight = t.mergeInFlight(nil, crash.InFlight)
		t.crashes[crash.ID] = &kept
		return true
	}
	merged := t.mergeInFlight(known.InFlight, crash.InFlight)
	earliest := min(known.AtMillis, crash.AtMillis)
	if earliest == known.AtMillis && slices.Equal(merged, known.InFlight) {
		return false
	}
	t.crashes[crash.ID] = &Crash{ID: crash.ID, AtMillis: earliest, InFlight: merged}
	return true
}

func (t *Table) addCompletion(c Completion, now time.Time) bool {
	if !t.plausible(c.AtMillis, now) || t.completions[c.Fingerprint] >= c.AtMillis {
		return false
	}
	t.completions[c.Fingerprint] = c.AtMillis
	return true
}

// plausible refuses times that are too old to matter or in the far future.
func (t *Table) plausible(at int64, now time.Time) bool {
	return at > t.retentionCutoff(now) && at <= now.Add(maxFutureOffset).UnixMilli()
}

// retentionCutoff is the time up to which records matter no more. A crash is kept for
// two spells, since the crash that convicts may come a spell later.
func (t *Table) retentionCutoff(now time.Time) int64 {
	return now.Add(-2 * t.settings.Duration).UnixMilli()
}

// mergeInFlight returns the union of two lists in a fixed order, suspects first, cut
// to the limit.
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

// prune drops what matters no more, and the oldest records over the limits.
func (t *Table) prune(now time.Time) {
	horizon := t.retentionCutoff(now)
	for id, crash := range t.crashes {
		if crash.AtMillis <= horizon {
			delete(t.crashes, id)
		}
	}
	for f, at := range t.completions {
		if at <= horizon {
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

// crashesByTime returns the crashes by time.
func (t *Table) crashesByTime() []*Crash {
	all := make([]*Crash, 0, len(t.crashes))
	for _, crash := range t.crashes {
		all = append(all, crash)
	}
	slices.SortFunc(all, compareCrashes)
	return all
}

func compareCrashes(a, b *Crash) int {
	if a.AtMillis != b.AtMillis {
		return cmp.Compare(a.AtMillis, b.AtMillis)
	}
	if order := strings.Compare(a.ID.Node, b.ID.Node); order != 0 {
		return order
	}
	return strings.Compare(a.ID.Instance, b.ID.Instance)
}

func compareInFlight(a, b InFlightRequest) int {
	if a.Suspect != b.Suspect {
		if a.Suspect {
			return -1
		}
		return 1
	}
	return cmp.Compare(uint64(a.Fingerprint), uint64(b.Fingerprint))
}

func compareCompletions(a, b Completion) int {
	if a.AtMillis != b.AtMillis {
		return cmp.Compare(a.AtMillis, b.AtMillis)
	}
	return cmp.Compare(uint64(a.Fingerprint), uint64(b.Fingerprint))
}
