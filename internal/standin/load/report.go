package load

import (
	"fmt"
	"maps"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// shownKeys bounds the keys that a report names.
const shownKeys = 10

// Latency holds percentiles in milliseconds, from the planned start to the
// whole answer.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Count holds the results of a group of operations.
type Count struct {
	Sent      int     `json:"sent"`
	Answered  int     `json:"answered"`
	NotRun    int     `json:"not_run"`
	Unknown   int     `json:"unknown"`
	Misrouted int     `json:"misrouted"`
	Truncated int     `json:"truncated"`
	Latency   Latency `json:"latency"`
	// Overhead is what sends took beyond the target's own time, from the send to
	// the whole answer.
	Overhead Latency `json:"added"`
}

// Second is the operations that were planned to start in one second.
type Second struct {
	// Second counts from the start of the load.
	Second int `json:"second"`
	Count
}

// Report is what a load found.
type Report struct {
	// BeganMs is the start in Unix milliseconds.
	BeganMs int64 `json:"began_ms"`
	// All counts all operations. Those that were done, with no answer kept,
	// count as unknown; Done tells how many.
	All  Count `json:"all"`
	Done int   `json:"done"`
	// DuplicateExecutions counts the keys that ran more than once, and Lied those that ran
	// although every send was told not-run.
	DuplicateExecutions int `json:"doubled"`
	FalseNotRun         int `json:"lied"`
	// DuplicateExecutionKeys and LiedKeys name the first of them.
	DuplicateExecutionKeys []string `json:"doubled_keys,omitempty"`
	FalseNotRunKeys        []string `json:"lied_keys,omitempty"`
	// RecordedRuns counts the runs that the journals hold.
	RecordedRuns int `json:"recorded_runs"`
	// UnreadJournals tells which journals could not be read, so that doubles may have
	// been missed.
	UnreadJournals []string `json:"unread,omitempty"`
	// Retries counts sends after the first, Duplicates the filings that were
	// sent twice at once, Broken the sends without an answer.
	Retries    int `json:"resends"`
	Duplicates int `json:"duplicates"`
	NoResponse int `json:"broken"`
	// FailureReasons counts the sends without an answer of a target, by reason.
	FailureReasons map[string]int `json:"reasons,omitempty"`
	// RefusalLatency is the latency of refusals, from send to answer.
	RefusalLatency Latency `json:"refused"`
	// Goodput is the answered operations per second.
	Goodput float64 `json:"goodput_per_s"`
	// Classes counts by class, Seconds by planned start.
	Classes map[string]Count `json:"classes"`
	Seconds []Second         `json:"seconds"`
}

func newReport(t *tally, runs map[string]int, took time.Duration) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Report{
		BeganMs:        t.began.UnixMilli(),
		All:            newCount(t.all),
		Done:           t.all.results[done],
		Retries:        t.resends,
		Duplicates:     t.copies,
		NoResponse:     t.broken,
		FailureReasons: maps.Clone(t.reasons),
		RefusalLatency: newLatency(t.refusal),
		Goodput:        float64(t.all.results[answered]) / took.Seconds(),
		Classes:        make(map[string]Count),
	}
	for name, g := range t.classes {
		r.Classes[name] = newCount(g)
	}
	for i, g := range t.seconds {
		r.Seconds = append(r.Seconds, Second{Second: i, Count: newCount(g)})
	}
	r.compare(t.keys, runs)
	return r
}

// compare holds what callers were told against what targets ran.
func (r *Report) compare(keys map[string]result, runs map[string]int) {
	for key, count := range runs {
		r.RecordedRuns += count
		if count > 1 {
			r.DuplicateExecutions++
			r.DuplicateExecutionKeys = append(r.DuplicateExecutionKeys, key)
		}
		if told, ours := keys[key]; ours && told == notRun {
			r.FalseNotRun++
			r.FalseNotRunKeys = append(r.FalseNotRunKeys, key)
		}
	}
	r.DuplicateExecutionKeys = first(r.DuplicateExecutionKeys)
	r.FalseNotRunKeys = first(r.FalseNotRunKeys)
}

func first(keys []string) []string {
	sort.Strings(keys)
	return keys[:min(len(keys), shownKeys)]
}

func newCount(g *group) Count {
	return Count{
		Sent:      g.sent,
		Answered:  g.results[answered],
		NotRun:    g.results[notRun],
		Unknown:   g.results[unknown] + g.results[done],
		Misrouted: g.results[misrouted],
		Truncated: g.results[truncated],
		Latency:   newLatency(g.latency),
		Overhead:  newLatency(g.added),
	}
}

func newLatency(h *hdrhistogram.Histogram) Latency {
	return Latency{
		P50:  millis(h, 50),
		P90:  millis(h, 90),
		P99:  millis(h, 99),
		P999: millis(h, 99.9),
		Max:  float64(h.Max()) / microsPerMs,
	}
}

func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtPercentile(percentile)) / microsPerMs
}

// SummaryLine is the report in one line.
func (r *Report) SummaryLine() string {
	return fmt.Sprintf(
		"sent=%d answered=%d not_run=%d unknown=%d doubled=%d misrouted=%d truncated=%d p50_ms=%.2f p99_ms=%.2f",
		r.All.Sent, r.All.Answered, r.All.NotRun, r.All.Unknown,
		r.DuplicateExecutions, r.All.Misrouted, r.All.Truncated, r.All.Latency.P50, r.All.Latency.P99)
}

// HasViolations reports whether the load found a promise broken, or could not tell.
func (r *Report) HasViolations() bool {
	return r.DuplicateExecutions+r.FalseNotRun+r.All.Misrouted+r.All.Truncated+len(r.UnreadJournals) > 0
}

// AnsweredShare is the share of the operations that were answered.
func (r *Report) AnsweredShare() float64 {
	if r.All.Sent == 0 {
		return 0
	}
	return float64(r.All.Answered) / float64(r.All.Sent)
}
