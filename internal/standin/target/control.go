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

// Control switches injected faults on and off. Fields that are absent in the
// JSON document leave their fault as it is.
type Control struct {
	// Cold makes the target cold, or warm if false, at once.
	Cold *bool `json:"cold,omitempty"`
	// SlowFactor multiplies the duration of work, for SlowForMs milliseconds from
	// now. Without SlowForMs it applies until it is changed.
	SlowFactor *float64 `json:"slow_factor,omitempty"`
	SlowForMs  *int     `json:"slow_for_ms,omitempty"`
	// FailFast makes every request fail at once with 500, without running it.
	FailFast *bool `json:"fail_fast,omitempty"`
	// Shed is the share of requests to shed, from 0 to 1.
	Shed *float64 `json:"shed,omitempty"`
	// LoadReportFactor multiplies in_flight in the response of /load, which makes
	// the report false.
	LoadReportFactor *float64 `json:"lie,omitempty"`
	// Drain requests a drain from the node and stops the announcements. If false,
	// the target announces itself again.
	Drain *bool `json:"drain,omitempty"`
	// Crash makes the target crash.
	Crash bool `json:"crash,omitempty"`
	// ServiceMs is the new mean service time in milliseconds.
	ServiceMs *float64 `json:"service_ms,omitempty"`
	// ResetStats resets the counters and maxima of /stats.
	ResetStats bool `json:"reset_stats,omitempty"`
}

// unlimitedSlowdown is the duration of a slowdown that was set without one. It is
// longer than any test or measurement.
const unlimitedSlowdown = 24 * time.Hour

// faults holds the active faults.
type faults struct {
	slowFactor       float64
	slowUntil        time.Time
	failFast         bool
	shedShare        float64
	loadReportFactor float64
	// changed is closed and replaced when a Control is applied.
	changed chan struct{}
}

// loadReport is the response of /load.
type loadReport struct {
	InFlight int    `json:"in_flight"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Instance string `json:"instance"`
}

// Apply activates and deactivates faults as control says.
func (t *Target) Apply(control Control) {
	now := time.Now()
	t.mu.Lock()
	if control.Cold != nil && *control.Cold {
		t.capacity.turnCold(now, t.options.ColdGrace)
	}
	if control.Cold != nil && !*control.Cold {
		t.capacity.responses = t.options.WarmupResponses
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
		go t.drainInBackground()
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
		f.slowUntil = now.Add(unlimitedSlowdown)
	}
	if control.SlowForMs != nil {
		f.slowUntil = now.Add(time.Duration(*control.SlowForMs) * time.Millisecond)
	}
	if control.FailFast != nil {
		f.failFast = *control.FailFast
	}
	if control.Shed != nil {
		f.shedShare = *control.Shed
	}
	if control.LoadReportFactor != nil {
		f.loadReportFactor = *control.LoadReportFactor
	}
}

func (t *Target) drainInBackground() {
	ctx, cancel := context.WithTimeout(context.Background(), t.options.DrainTimeout)
	defer cancel()
	if err := t.drain(ctx); err != nil {
		level.Warn(t.options.Logger).Log("msg", "drain", "err", err)
	}
}

// sampleLoadReport updates the response of /load with the period LoadReportLag
// until the context ends.
func (t *Target) sampleLoadReport(ctx context.Context) {
	if t.options.LoadReportLag <= 0 {
		return
	}
	for wait.For(ctx, t.options.LoadReportLag) {
		t.mu.Lock()
		t.lastLoadReport = t.loadReportLocked(time.Now())
		t.mu.Unlock()
	}
}

func (t *Target) loadReportLocked(now time.Time) loadReport {
	return loadReport{
		InFlight: int(float64(t.capacity.inFlight) * t.faults.loadReportFactor),
		Slots:    t.options.Slots,
		State:    t.stateLocked(now),
		Instance: t.instance,
	}
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	reported := t.lastLoadReport
	if t.options.LoadReportLag <= 0 || reported.Instance == "" {
		reported = t.loadReportLocked(time.Now())
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

// JournalResponse is the response of /journal.
type JournalResponse struct {
	// Instance is the ID of the current instance.
	Instance string `json:"instance"`
	// Runs is the number of runs of each idempotency key.
	Runs map[string]int `json:"runs"`
}

func (t *Target) serveJournal(w http.ResponseWriter, _ *http.Request) {
	instance, _ := t.currentInstance()
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
