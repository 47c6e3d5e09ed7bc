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
	// maxBodyBytes bounds a request's body.
	maxBodyBytes = 16 << 20
	// retryAfterSeconds is the Retry-After of a request that was shed.
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
	instance, life := t.current()
	w.Header().Set(request.HeaderInstance, instance)
	if id := r.Header.Get(request.HeaderRequestID); id != "" {
		w.Header().Set(request.HeaderRequestID, id)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, "read body: "+err.Error())
		return
	}
	if !t.enter(w) {
		return
	}
	t.tell()
	defer t.tell()
	answered := false
	defer func() { t.exit(answered) }()
	ctx, cancel := workContext(r, life)
	defer cancel()
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-ctx.Done():
		t.count(func(s *Stats) { s.Cancelled++ })
		refuse(w, http.StatusServiceUnavailable, "gave up before a slot was free")
		return
	}
	answered = t.work(ctx, w, r, body, began)
}

// enter decides whether the request runs, and answers it if not.
func (t *Target) enter(w http.ResponseWriter) bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.LastRequestMs = now.UnixMilli()
	if t.faults.failFast {
		t.stats.Failed++
		http.Error(w, "failing fast", http.StatusInternalServerError)
		return false
	}
	if t.faults.shed > 0 && t.rng.Float64() < t.faults.shed {
		t.stats.Shed++
		refuse(w, http.StatusServiceUnavailable, "shedding")
		return false
	}
	switch t.capacity.arrive(now) {
	case sheds:
		t.stats.Shed++
		refuse(w, http.StatusServiceUnavailable, "overloaded")
		return false
	case overruns:
		t.stats.Overruns++
		refuse(w, http.StatusServiceUnavailable, "fell over")
		return false
	}
	t.stats.LastNewWorkMs = now.UnixMilli()
	t.stats.PeakInFlight = max(t.stats.PeakInFlight, t.capacity.inFlight)
	if !t.capacity.warm() {
		t.stats.PeakColdInFlight = max(t.stats.PeakColdInFlight, t.capacity.inFlight)
	}
	return true
}

func (t *Target) exit(answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.capacity.finish(answered)
	if answered {
		t.stats.Answered++
	}
}

// work runs the request, whose handler began at the given time, and reports
// whether it wrote the answer.
func (t *Target) work(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte, began time.Time) bool {
	if err := t.begin(ctx, r); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return false
	}
	if r.Header.Get(HeaderCrash) != "" || bytes.Contains(body, []byte(CrashMarker)) {
		t.crash()
		panic(http.ErrAbortHandler)
	}
	if !t.labour(ctx, t.serviceTime()) || !t.waitOutStall(ctx) {
		t.count(func(s *Stats) { s.Cancelled++ })
		w.Header().Set(request.HeaderOutcome, string(request.Unknown))
		http.Error(w, "cancelled", http.StatusGatewayTimeout)
		return false
	}
	answer := ResponseBody(r.Method, r.RequestURI, r.Header.Get(HeaderNonce), body, answerSize(r))
	header := w.Header()
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	header.Set(HeaderRanBy, header.Get(request.HeaderInstance))
	header.Set(HeaderWorkMicros, strconv.FormatInt(time.Since(began).Microseconds(), 10))
	_, err := w.Write(answer)
	return err == nil
}

// begin enters the run in the journal, before anything of it is done.
func (t *Target) begin(ctx context.Context, r *http.Request) error {
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

// serviceTime draws how long the work takes unless the target is slow.
func (t *Target) serviceTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	half := float64(t.options.ServiceTime) / 2
	duration := half + half*t.rng.ExpFloat64()
	return time.Duration(duration * t.coldnessLocked())
}

// waitOutStall waits while the target has fallen over.
func (t *Target) waitOutStall(ctx context.Context) bool {
	t.mu.Lock()
	remaining := time.Until(t.capacity.stalledUntil)
	t.mu.Unlock()
	return remaining <= 0 || wait.For(ctx, remaining)
}

// workContext ends when the caller has gone, the deadline has passed, or the
// target's life is over.
func workContext(r *http.Request, life context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	unlink := context.AfterFunc(life, cancel)
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

// refuse answers a request that was not run.
func refuse(w http.ResponseWriter, status int, detail string) {
	w.Header().Set(request.HeaderOutcome, string(request.NotRun))
	w.Header().Set("Retry-After", retryAfterSeconds)
	http.Error(w, detail, status)
}
