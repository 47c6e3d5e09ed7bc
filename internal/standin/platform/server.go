package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// MaxValueBytes is the size of the largest value.
	MaxValueBytes = 1 << 20
	// DefaultReadsPerSecond is the default rate limit of reads and watches.
	DefaultReadsPerSecond = 2000
	// DefaultWritesPerSecond is the default rate limit of writes.
	DefaultWritesPerSecond = 400
	// burstSeconds sets the burst of the rate limits: the calls of this time.
	burstSeconds = 0.25
	// maxWait limits the wait of a watch.
	maxWait = 5 * time.Minute
)

// callKind is the kind of a call, for rate limits and counters.
type callKind int

const (
	kindRead callKind = iota
	kindWrite
	kindWatch
)

// Options sets the rate limits. Zero values stand for the defaults.
type Options struct {
	// ReadsPerSecond is the rate limit of reads and watches.
	ReadsPerSecond float64
	// WritesPerSecond is the rate limit of writes.
	WritesPerSecond float64
}

// Control switches injected faults on and off. Fields that are absent in the
// JSON document leave their fault as it is.
type Control struct {
	// Down makes every call fail with 503, including watches that wait.
	Down *bool `json:"down,omitempty"`
	// SlowMs delays each call by this number of milliseconds before it takes
	// effect.
	SlowMs *int `json:"slow_ms,omitempty"`
	// DropResponses is the number of future writes that take effect, but whose
	// connection is closed without a response.
	DropResponses *int `json:"lose_answers,omitempty"`
	// StallWatches keeps watches waiting, also when there are changes or their
	// wait is over.
	StallWatches *bool `json:"stall_watches,omitempty"`
	// SkipWatchEvents is the number of future writes that watches do not report.
	SkipWatchEvents *int `json:"skip_watch_events,omitempty"`
	// StaleReadsMs makes gets and lists return the state of this number of
	// milliseconds ago, at most one minute.
	StaleReadsMs *int `json:"stale_reads_ms,omitempty"`
	// ResetStats resets the counters.
	ResetStats bool `json:"reset_stats,omitempty"`
}

// faults holds the active faults.
type faults struct {
	down          bool
	delay         time.Duration
	dropResponses int
	stallWatches  bool
	skipEvents    int
	staleBy       time.Duration
}

// Server is the stand-in platform. It is safe for concurrent use.
type Server struct {
	store  *store
	meter  meter
	reads  *rate.Limiter
	writes *rate.Limiter

	mu     sync.Mutex
	faults faults
}

// NewServer returns a platform without objects.
func NewServer(options Options) *Server {
	if options.ReadsPerSecond <= 0 {
		options.ReadsPerSecond = DefaultReadsPerSecond
	}
	if options.WritesPerSecond <= 0 {
		options.WritesPerSecond = DefaultWritesPerSecond
	}
	return &Server{
		store:  newStore(),
		reads:  newLimiter(options.ReadsPerSecond),
		writes: newLimiter(options.WritesPerSecond),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// Handler returns the platform's HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", s.admit(kindRead, s.get))
	mux.HandleFunc("PUT /v1/objects/{key...}", s.admit(kindWrite, s.put))
	mux.HandleFunc("DELETE /v1/objects/{key...}", s.admit(kindWrite, s.delete))
	mux.HandleFunc("GET /v1/objects", s.admit(kindRead, s.list))
	mux.HandleFunc("GET /v1/watch", s.admit(kindWatch, s.watch))
	mux.HandleFunc("POST /control", s.control)
	mux.HandleFunc("GET /stats", s.serveStats)
	return mux
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	stats := s.meter.read()
	stats.Objects, stats.Revision = s.store.count()
	return stats
}

// Apply activates and deactivates faults as control says, and makes waiting
// watches check again.
func (s *Server) Apply(control Control) {
	s.mu.Lock()
	set(&s.faults.down, control.Down)
	set(&s.faults.dropResponses, control.DropResponses)
	set(&s.faults.stallWatches, control.StallWatches)
	set(&s.faults.skipEvents, control.SkipWatchEvents)
	setMillis(&s.faults.delay, control.SlowMs)
	setMillis(&s.faults.staleBy, control.StaleReadsMs)
	s.mu.Unlock()
	if control.ResetStats {
		s.meter.reset()
	}
	s.store.wake()
}

func set[T any](to *T, value *T) {
	if value != nil {
		*to = *value
	}
}

func setMillis(to *time.Duration, millis *int) {
	if millis != nil {
		*to = time.Duration(*millis) * time.Millisecond
	}
}

func (s *Server) activeFaults() faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// consumeFault decrements the number of remaining faults, which is a field of
// s.faults. It returns false if the number is zero.
func (s *Server) consumeFault(remaining *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// admit wraps a handler. It counts each call, and refuses it if the platform is
// down or the rate limit is exceeded.
func (s *Server) admit(k callKind, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.meter.countCall(k, time.Now())
		if s.activeFaults().down {
			s.refuseDown(w)
			return
		}
		limiter := s.reads
		if k == kindWrite {
			limiter = s.writes
		}
		if !limiter.Allow() {
			s.meter.update(func(stats *Stats) { stats.RateLimited++ })
			w.Header().Set("Retry-After", "1")
			http.Error(w, "rate limited", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

func (s *Server) refuseDown(w http.ResponseWriter) {
	s.meter.update(func(stats *Stats) { stats.Refused++ })
	http.Error(w, "down", http.StatusServiceUnavailable)
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var control Control
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&control); err != nil {
		http.Error(w, "decode control: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.Apply(control)
	w.WriteHeader(http.StatusOK)
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Stats())
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

func formatVersion(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}

func parseVersion(etag string) (uint64, error) {
	return strconv.ParseUint(strings.Trim(etag, `"`), 10, 64)
}

func readValue(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
}
