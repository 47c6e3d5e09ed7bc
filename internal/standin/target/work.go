package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/internal/wait"
	"verbenatrestle/request"
)

const (
	// maxBodyBytes limits the size of a request body.
	maxBodyBytes = 16 << 20
	// retryAfterSeconds is the Retry-After header of a shed request.
	retryAfterSeconds = "1"
)

// Handler returns the target's HTTP handler.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", t.serveHealth)
	mux.HandleFunc("GET /load", t.serveLoad)
	mux.HandleFunc("GET /journal", t.serveJournal)
	mux.HandleFunc("GET /stats", t.serveStats)
	mux.HandleFunc("POST /control", t.serveControl)
	mux.HandleFunc("/", t.serveWork)
	return mux
}

func (t *Target) serveWork(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	instance, instanceCtx := t.currentInstance()
	w.Header().Set(request.HeaderInstance, instance)
	if id := r.Header.Get(request.HeaderRequestID); id != "" {
		w.Header().Set(request.HeaderRequestID, id)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		respondNotRun(w, http.StatusBadRequest, "read body: "+err.Error())
		return
	}
	if !t.admit(w) {
		return
	}
	t.reportToOracle()
	defer t.reportToOracle()
	answered := false
	defer func() { t.finish(answered) }()
	ctx, cancel := workContext(r, instanceCtx)
	defer cancel()
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-ctx.Done():
		t.count(func(s *Stats) { s.Cancelled++ })
		respondNotRun(w, http.StatusServiceUnavailable, "abandoned before a slot was free")
		return
	}
	answered = t.work(ctx, w, r, body, began)
}

// admit reports whether the request is admitted. If not, it has written the
// response.
func (t *Target) admit(w http.ResponseWriter) bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.LastRequestMs = now.UnixMilli()
	if t.faults.failFast {
		t.stats.Failed++
		http.Error(w, "failing fast", http.StatusInternalServerError)
		return false
	}
	if t.faults.shedShare > 0 && t.rng.Float64() < t.faults.shedShare {
		t.stats.Shed++
		respondNotRun(w, http.StatusServiceUnavailable, "shedding")
		return false
	}
	switch t.capacity.admit(now) {
	case refused:
		t.stats.Shed++
		respondNotRun(w, http.StatusServiceUnavailable, "overloaded")
		return false
	case overloaded:
		t.stats.Overruns++
		respondNotRun(w, http.StatusServiceUnavailable, "collapsed from overload")
		return false
	}
	t.stats.LastNewWorkMs = now.UnixMilli()
	t.stats.PeakInFlight = max(t.stats.PeakInFlight, t.capacity.inFlight)
	if !t.capacity.warm() {
		t.stats.PeakColdInFlight = max(t.stats.PeakColdInFlight, t.capacity.inFlight)
	}
	return true
}

func (t *Target) finish(answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.capacity.finish(answered)
	if answered {
		t.stats.Answered++
	}
}

// work runs a request whose handler began at the given time. It reports whether
// it wrote the response.
func (t *Target) work(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte, began time.Time) bool {
	if err := t.recordRun(ctx, r); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return false
	}
	if r.Header.Get(HeaderCrash) != "" || bytes.Contains(body, []byte(CrashMarker)) {
		t.crash()
		panic(http.ErrAbortHandler)
	}
	if !t.simulateWork(ctx, t.serviceTime()) || !t.waitForStallEnd(ctx) {
		t.count(func(s *Stats) { s.Cancelled++ })
		w.Header().Set(request.HeaderOutcome, string(request.Unknown))
		http.Error(w, "cancelled", http.StatusGatewayTimeout)
		return false
	}
	response := ResponseBody(r.Method, r.RequestURI, r.Header.Get(HeaderNonce), body, responseSize(r))
	header := w.Header()
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(response)))
	header.Set(HeaderRanBy, header.Get(request.HeaderInstance))
	header.Set(HeaderWorkMicros, strconv.FormatInt(time.Since(began).Microseconds(), 10))
	_, err := w.Write(response)
	return err == nil
}

// recordRun records the run in the journal, and at the collector if there is
// one, before its work begins.
func (t *Target) recordRun(ctx context.Context, r *http.Request) error {
	t.count(func(s *Stats) { s.Runs++ })
	key := r.Header.Get(request.HeaderIdempotencyKey)
	if key == "" {
		return nil
	}
	t.journal.Add(key)
	if t.collector == nil {
		return nil
	}
	return errors.Wrap(t.collector.record(ctx, key), "begin run")
}

// serviceTime draws a random service time. It includes the factor of a cold
// target, but not a slowdown.
func (t *Target) serviceTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	half := float64(t.options.ServiceTime) / 2
	duration := half + half*t.rng.ExpFloat64()
	return time.Duration(duration * t.coldFactorLocked())
}

// waitForStallEnd waits while the target stalls. It returns false if the context
// ends first.
func (t *Target) waitForStallEnd(ctx context.Context) bool {
	t.mu.Lock()
	remaining := time.Until(t.capacity.stalledUntil)
	t.mu.Unlock()
	return remaining <= 0 || wait.For(ctx, remaining)
}

// workContext returns a context that ends when the caller disconnects, the
// deadline passes or the instance ends.
func workContext(r *http.Request, instance context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	unlink := context.AfterFunc(instance, cancel)
	stop := func() {
		unlink()
		cancel()
	}
	millis, err := strconv.ParseInt(r.Header.Get(request.HeaderTimeout), 10, 64)
	if err != nil {
		return ctx, stop
	}
	timed, cancelTimed := context.WithTimeout(ctx, time.Duration(millis)*time.Millisecond)
	return timed, func() {
		cancelTimed()
		stop()
	}
}

// respondNotRun responds to a request that was not run.
func respondNotRun(w http.ResponseWriter, status int, detail string) {
	w.Header().Set(request.HeaderOutcome, string(request.NotRun))
	w.Header().Set("Retry-After", retryAfterSeconds)
	http.Error(w, detail, status)
}
