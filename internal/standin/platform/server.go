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
	// DefaultReadsPerSecond is the rate of reads and watches per second.
	DefaultReadsPerSecond = 2000
	// DefaultWritesPerSecond is the rate of writes per second.
	DefaultWritesPerSecond = 400
	// burstSeconds is the time whose calls may come at once.
	burstSeconds = 0.25
	// maxWait bounds the wait of a watch.
	maxWait = 5 * time.Minute
)

// kind is a kind of call, as the rates tell them apart.
type kind int

const (
	kindRead kind = iota
	kindWrite
	kindWatch
)

// Options set the rates. Zero values mean the defaults.
type Options struct {
	// ReadsPerSecond is the rate of reads and watches per second.
	ReadsPerSecond float64
	// WritesPerSecond is the rate of writes per second.
	WritesPerSecond float64
}

// Control switches misbehaviour on and off. Fields that are absent from the
// JSON form stay as they are.
type Control struct {
	// Down makes every call fail with 503, waiting watches too.
	Down *bool `json:"down,omitempty"`
	// SlowMs delays each call by as many milliseconds before it takes effect.
	SlowMs *int `json:"slow_ms,omitempty"`
	// DropResponses is the number of writes to come that take effect and whose
	// connections are cut without an answer.
	DropResponses *int `json:"lose_answers,omitempty"`
	// StallWatches keeps watches from answering.
	StallWatches *bool `json:"stall_watches,omitempty"`
	// SkipWatchEvents is the number of writes to come that no watch tells of.
	SkipWatchEvents *int `json:"skip_watch_events,omitempty"`
	// StaleReadsMs makes gets and lists show the state of as many
	// milliseconds ago, up to one minute.
	StaleReadsMs *int `json:"stale_reads_ms,omitempty"`
	// ResetStats clears the counters.
	ResetStats bool `json:"reset_stats,omitempty"`
}

// faults is the misbehaviour that is in force.
type faults struct {
	down         bool
	slow         time.Duration
	loseAnswers  int
	stallWatches bool
	skipEvents   int
	stale        time.Duration
}

// Server is the stand-in platform.
type Server struct {
	store  *store
	meter  meter
	reads  *rate.Limiter
	writes *rate.Limiter

	mu     sync.Mutex
	faults faults
}

// NewServer returns an empty platform.
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

// Apply puts the misbehaviour that control names in force.
func (s *Server) Apply(control Control) {
	s.mu.Lock()
	set(&s.faults.down, control.Down)
	set(&s.faults.loseAnswers, control.DropResponses)
	set(&s.faults.stallWatches, control.StallWatches)
	set(&s.faults.skipEvents, control.SkipWatchEvents)
	setMillis(&s.faults.slow, control.SlowMs)
	setMillis(&s.faults.stale, control.StaleReadsMs)
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

func (s *Server) inForce() faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// take uses up one of a number of faults to come.
func (s *Server) take(left *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

// admit counts a call and refuses it when the platform is down or the rate is
// used up.
func (s *Server) admit(k kind, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.meter.arrive(k, time.Now())
		if s.inForce().down {
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
