package target

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"verbenatrestle/internal/wait"
)

// Control switches misbehaviour on and off. Fields that are absent from the
// JSON form stay as they are.
type Control struct {
	// Cold makes the target cold without warning, or warm.
	Cold *bool `json:"cold,omitempty"`
	// SlowFactor makes work take as many times longer, for SlowForMs
	// milliseconds from now; without SlowForMs, for good.
	SlowFactor *float64 `json:"slow_factor,omitempty"`
	SlowForMs  *int     `json:"slow_for_ms,omitempty"`
	// FailFast makes every request fail at once with 500, not run.
	FailFast *bool `json:"fail_fast,omitempty"`
	// Shed is the share of requests that are shed, from 0 to 1.
	Shed *float64 `json:"shed,omitempty"`
	// LoadReportFactor multiplies the in_flight that /load reports.
	LoadReportFactor *float64 `json:"lie,omitempty"`
	// Drain asks the node to drain the target, which goes on announcing
	// nothing. Without it, the target announces itself again.
	Drain *bool `json:"drain,omitempty"`
	// Crash makes the target crash.
	Crash bool `json:"crash,omitempty"`
	// ServiceMs sets the mean service time, in milliseconds.
	ServiceMs *float64 `json:"service_ms,omitempty"`
	// ResetStats starts the counters and peaks of /stats anew.
	ResetStats bool `json:"reset_stats,omitempty"`
}

// forGood is the time of a slowdown without end.
const forGood = 24 * time.Hour

// faults is the misbehaviour that is in force.
type faults struct {
	slowFactor float64
	slowUntil  time.Time
	failFast   bool
	shed       float64
	lie        float64
	// changed is closed, and replaced, when a control arrives.
	changed chan struct{}
}

// report is what /load tells.
type report struct {
	InFlight int    `json:"in_flight"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Instance string `json:"instance"`
}

// Apply puts the misbehaviour that control names in force.
func (t *Target) Apply(control Control) {
	now := time.Now()
	t.mu.Lock()
	if control.Cold != nil && *control.Cold {
		t.capacity.turnCold(now, t.options.ColdGrace)
	}
	if control.Cold != nil && !*control.Cold {
		t.capacity.answers = t.options.WarmupResponses
	}
	t.faults.apply(control, now)
	if control.Drain != nil {
		t.draining = *control.Drain
	}
	if control.ServiceMs != nil {
		t.options.ServiceTime = time.Duration(*control.ServiceMs * float64(time.Millisecond))
	}
	if control.ResetStats {
		t.stats = Stats{PeakInFlight: t.capacity.inFlight}
	}
	t.mu.Unlock()
	if control.Drain != nil && *control.Drain {
		go t.drainNow()
	}
	if control.Crash {
		t.crash()
	}
}

func (f *faults) apply(control Control, now time.Time) {
	close(f.changed)
	f.changed = make(chan struct{})
	if control.SlowFactor != nil {
		f.slowFactor = *control.SlowFactor
		f.slowUntil = now.Add(forGood)
	}
	if control.SlowForMs != nil {
		f.slowUntil = now.Add(time.Duration(*control.SlowForMs) * time.Millisecond)
	}
	if control.FailFast != nil {
		f.failFast = *control.FailFast
	}
	if control.Shed != nil {
		f.shed = *control.Shed
	}
	if control.LoadReportFactor != nil {
		f.lie = *control.LoadReportFactor
	}
}

func (t *Target) drainNow() {
	ctx, cancel := context.WithTimeout(context.Background(), t.options.DrainTimeout)
	defer cancel()
	if err := t.drain(ctx); err != nil {
		level.Warn(t.options.Logger).Log("msg", "drain", "err", err)
	}
}

// sample renews what /load reports as often as it may lag.
func (t *Target) sample(ctx context.Context) {
	if t.options.LoadReportLag <= 0 {
		return
	}
	for wait.For(ctx, t.options.LoadReportLag) {
		t.mu.Lock()
		t.reported = t.reportLocked(time.Now())
		t.mu.Unlock()
	}
}

func (t *Target) reportLocked(now time.Time) report {
	return report{
		InFlight: int(float64(t.capacity.inFlight) * t.faults.lie),
		Slots:    t.options.Slots,
		State:    t.stateLocked(now),
		Instance: t.instance,
	}
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	reported := t.reported
	if t.options.LoadReportLag <= 0 || reported.Instance == "" {
		reported = t.reportLocked(time.Now())
	}
	t.mu.Unlock()
	writeJSON(w, reported)
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	stats := t.Stats()
	if stats.State == "draining" || stats.State == "failing" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(stats.State + "\n"))
}

// JournalResponse is the answer of /journal.
type JournalResponse struct {
	// Instance names the target's present life.
	Instance string `json:"instance"`
	// Runs counts the runs of each idempotency key.
	Runs map[string]int `json:"runs"`
}

func (t *Target) serveJournal(w http.ResponseWriter, _ *http.Request) {
	instance, _ := t.current()
	writeJSON(w, JournalResponse{Instance: instance, Runs: t.journal.Runs()})
}

func (t *Target) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.Stats())
}

func (t *Target) serveControl(w http.ResponseWriter, r *http.Request) {
	var control Control
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&control); err != nil {
		http.Error(w, "decode control: "+err.Error(), http.StatusBadRequest)
		return
	}
	t.Apply(control)
	w.WriteHeader(http.StatusOK)
}

func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
