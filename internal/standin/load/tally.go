package load

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenatrestle/internal/standin/target"
)

const (
	// maxLatency is the highest latency that the histograms record.
	maxLatency = 2 * time.Minute
	// significantFigures is the precision of the histograms.
	significantFigures = 3
	// maxReasons is the number of failure reasons that are counted separately.
	// Further ones count as "other".
	maxReasons = 64
	// microsPerMs converts the histograms' microseconds to milliseconds.
	microsPerMs = 1000.0
)

// group counts the results of a group of operations, such as those of a class or
// those that were planned to start in the same second.
type group struct {
	sent    int
	results [resultCount]int
	latency *hdrhistogram.Histogram
	// overhead is the latency of answered attempts less the time that the
	// target took.
	overhead *hdrhistogram.Histogram
}

func newGroup() *group {
	return &group{latency: newHistogram(), overhead: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures)
}

func record(h *hdrhistogram.Histogram, latency time.Duration) {
	micros := min(max(latency.Microseconds(), 1), maxLatency.Microseconds())
	_ = h.RecordValue(micros)
}

func (g *group) end(r result, latency time.Duration) {
	g.results[r]++
	if r == answered {
		record(g.latency, latency)
	}
}

// tally counts the results of a load. It is safe for concurrent use.
type tally struct {
	mu sync.Mutex
	// began is the planned start of the load.
	began          time.Time
	all            *group
	classes        map[string]*group
	seconds        []*group
	refusalLatency *hdrhistogram.Histogram
	retries        int
	noResponse     int
	duplicates     int
	// reasons counts the attempts that no target answered, by reason.
	reasons map[string]int
	// keys holds the result of each operation with an idempotency key, by key.
	keys map[string]result
}

func newTally(began time.Time) *tally {
	return &tally{
		began:          began,
		all:            newGroup(),
		classes:        make(map[string]*group),
		refusalLatency: newHistogram(),
		reasons:        make(map[string]int),
		keys:           make(map[string]result),
	}
}

// groups returns the groups that an operation belongs to. The caller holds mu.
func (t *tally) groups(op *operation) []*group {
	class := t.classes[op.class.Name]
	if class == nil {
		class = newGroup()
		t.classes[op.class.Name] = class
	}
	second := int(op.start.Sub(t.began) / time.Second)
	for len(t.seconds) <= second {
		t.seconds = append(t.seconds, newGroup())
	}
	return []*group{t.all, class, t.seconds[second]}
}

func (t *tally) begin(op *operation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.groups(op) {
		g.sent++
	}
	if op.duplicate {
		t.duplicates++
	}
}

func (t *tally) end(op *operation, r result, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.groups(op) {
		g.end(r, latency)
	}
	if op.key != "" {
		t.keys[op.key] = r
	}
}

// recordOverhead records the latency of an attempt less the time that the target
// reported for it.
func (t *tally) recordOverhead(op *operation, latency time.Duration, header http.Header) {
	micros, err := strconv.ParseInt(header.Get(target.HeaderWorkMicros), 10, 64)
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.groups(op) {
		record(g.overhead, latency-time.Duration(micros)*time.Microsecond)
	}
}

func (t *tally) countRetry() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retries++
}

func (t *tally) countNoResponse(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noResponse++
	t.countReasonLocked(reason)
}

func (t *tally) countFailure(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countReasonLocked(reason)
}

func (t *tally) countReasonLocked(reason string) {
	if _, ok := t.reasons[reason]; !ok && len(t.reasons) >= maxReasons {
		reason = "other"
	}
	t.reasons[reason]++
}

func (t *tally) recordRefusal(latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record(t.refusalLatency, latency)
}
