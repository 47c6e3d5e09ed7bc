package load

import (
	"fmt"
	"maps"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxShownKeys is the maximum number of keys in a list of a report.
const maxShownKeys = 10

// Latency holds percentiles of a latency in milliseconds. Unless a field says
// otherwise, latency is measured from the planned start to the end of the
// response.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Count holds the number of operations of a group by result, and their latency.
type Count struct {
	Sent      int     `json:"sent"`
	Answered  int     `json:"answered"`
	NotRun    int     `json:"not_run"`
	Unknown   int     `json:"unknown"`
	Misrouted int     `json:"misrouted"`
	Truncated int     `json:"truncated"`
	Latency   Latency `json:"latency"`
	// Overhead is the latency of answered attempts, from sending the request to
	// the end of the response, less the time that the target took.
	Overhead Latency `json:"added"`
}

// Second counts the operations that were planned to start in one second.
type Second struct {
	// Second is the number of full seconds since the start of the load.
	Second int `json:"second"`
	Count
}

// Report holds the results of a load.
type Report struct {
	// BeganMs is the start of the load in Unix milliseconds.
	BeganMs int64 `json:"began_ms"`
	// All counts all operations. Those that ran, but whose response is not
	// available, count as unknown.
	All Count `json:"all"`
	// Done counts the operations that ran, but whose response is not available.
	Done int `json:"done"`
	// DuplicateExecutions counts the keys that ran more than once, and
	// FalseNotRun those that ran although every attempt was answered not-run.
	DuplicateExecutions int `json:"doubled"`
	FalseNotRun         int `json:"lied"`
	// DuplicateExecutionKeys and FalseNotRunKeys list the first of these keys in
	// lexical order.
	DuplicateExecutionKeys []string `json:"doubled_keys,omitempty"`
	FalseNotRunKeys        []string `json:"lied_keys,omitempty"`
	// RecordedRuns is the number of runs in all journals.
	RecordedRuns int `json:"recorded_runs"`
	// UnreadJournals holds the errors of the journals that could not be read.
	// Duplicate executions may be missing then.
	UnreadJournals []string `json:"unread,omitempty"`
	// Retries counts the attempts after the first one, Duplicates the filings
	// that were sent twice at the same time, and NoResponse the attempts that
	// ended without a response.
	Retries    int `json:"resends"`
	Duplicates int `json:"duplicates"`
	NoResponse int `json:"broken"`
	// FailureReasons counts the attempts that no target answered, by reason.
	FailureReasons map[string]int `json:"reasons,omitempty"`
	// RefusalLatency is the latency of responses with the outcome not-run, from
	// sending the request.
	RefusalLatency Latency `json:"refused"`
	// Goodput is the number of answered operations per second.
	Goodput float64 `json:"goodput_per_s"`
	// Classes counts operations by class, and Seconds by planned start.
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
		Retries:        t.retries,
		Duplicates:     t.duplicates,
		NoResponse:     t.noResponse,
		FailureReasons: maps.Clone(t.reasons),
		RefusalLatency: newLatency(t.refusalLatency),
		Goodput:        float64(t.all.results[answered]) / took.Seconds(),
		Classes:        make(map[string]Count),
	}
	for name, g := range t.classes {
		r.Classes[name] = newCount(g)
	}
	for i, g := range t.seconds {
		r.Seconds = append(r.Seconds, Second{Second: i, Count: newCount(g)})
	}
	r.countViolations(t.keys, runs)
	return r
}

// countViolations compares the results of the operations with the runs at the
// targets.
func (r *Report) countViolations(keys map[string]result, runs map[string]int) {
	for key, count := range runs {
		r.RecordedRuns += count
		if count > 1 {
			r.DuplicateExecutions++
			r.DuplicateExecutionKeys = append(r.DuplicateExecutionKeys, key)
		}
		if got, known := keys[key]; known && got == notRun {
			r.FalseNotRun++
			r.FalseNotRunKeys = append(r.FalseNotRunKeys, key)
		}
	}
	r.DuplicateExecutionKeys = firstKeys(r.DuplicateExecutionKeys)
	r.FalseNotRunKeys = firstKeys(r.FalseNotRunKeys)
}

func firstKeys(keys []string) []string {
	sort.Strings(keys)
	return keys[:min(len(keys), maxShownKeys)]
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
		Overhead:  newLatency(g.overhead),
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

// SummaryLine returns the most important figures in one line.
func (r *Report) SummaryLine() string {
	return fmt.Sprintf(
		"sent=%d answered=%d not_run=%d unknown=%d doubled=%d misrouted=%d truncated=%d p50_ms=%.2f p99_ms=%.2f",
		r.All.Sent, r.All.Answered, r.All.NotRun, r.All.Unknown,
		r.DuplicateExecutions, r.All.Misrouted, r.All.Truncated, r.All.Latency.P50, r.All.Latency.P99)
}

// HasViolations reports whether the load found a violated invariant, or could
// not read a journal that may show one.
func (r *Report) HasViolations() bool {
	return r.DuplicateExecutions+r.FalseNotRun+r.All.Misrouted+r.All.Truncated+len(r.UnreadJournals) > 0
}

// AnsweredShare returns the share of the operations that were answered, from 0
// to 1.
func (r *Report) AnsweredShare() float64 {
	if r.All.Sent == 0 {
		return 0
	}
	return float64(r.All.Answered) / float64(r.All.Sent)
}
