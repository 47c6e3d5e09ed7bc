// Package journal writes the log lines of a node without blocking requests.
//
// Lines go through a bounded buffer to a single goroutine. Each class of lines
// has a rate limit. Lines that exceed it or find the buffer full are dropped. Their
// number and the names of their events are logged periodically.
package journal

import (
	"bufio"
	"context"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// Class is the kind of a log line. Each class has its own rate limit, so that
// many lines of one class don't displace those of another.
type Class int

const (
	// Change is a change of the process's state or of its view of others, including
	// its start and its end.
	Change Class = iota
	// Failure is a request that was refused, failed or was answered late.
	Failure
	// Routine is a request that succeeded, or that a gate refused only because its
	// sender has other targets to try.
	Routine
	classCount
)

// Rates holds the rate limit of each class, in lines per second.
type Rates struct {
	// Change, Failure and Routine are the limits of the classes of these names.
	Change, Failure, Routine float64
}

const (
	// bufferedLines is the number of lines that the buffer holds.
	bufferedLines = 2048
	// burstSeconds sets how many lines of a class may come at once: one more than
	// its rate limit allows in that many seconds.
	burstSeconds = 2
	// reportEvery is the interval at which dropped lines are reported.
	reportEvery = 5 * time.Second
	// bufferBytes is the size of the write buffer.
	bufferBytes = 16 << 10
)

// Journal is a logger. It is safe for concurrent use.
type Journal struct {
	lines    chan []any
	limiters [classCount]*rate.Limiter
	written  metrics.Counter
	// droppedLines counts all dropped lines, for the metrics.
	droppedLines metrics.Counter
	out          *bufio.Writer
	logger       log.Logger

	mu sync.Mutex
	// droppedByEvent counts the lines that were dropped since the latest report.
	droppedByEvent map[string]int
}

// New returns a journal that writes JSON lines to out. Each line contains the
// given key-value pairs. Nothing is written until Run is called.
func New(out io.Writer, rates Rates, registry metrics.Registry, pairs ...any) *Journal {
	buffered := bufio.NewWriterSize(out, bufferBytes)
	j := &Journal{
		lines:          make(chan []any, bufferedLines),
		out:            buffered,
		logger:         log.With(log.NewJSONLogger(buffered), pairs...),
		droppedByEvent: make(map[string]int),
		written:        metrics.GetOrRegisterCounter("log.lines", registry),
		droppedLines:   metrics.GetOrRegisterCounter("log.dropped", registry),
	}
	for class, perSecond := range []float64{rates.Change, rates.Failure, rates.Routine} {
		j.limiters[class] = rate.NewLimiter(rate.Limit(perSecond), int(perSecond*burstSeconds)+1)
	}
	return j
}

// Log queues a line about an event, with key-value pairs. It never blocks. The
// line is dropped if its class exceeds its rate limit or the buffer is full.
func (j *Journal) Log(class Class, event string, pairs ...any) {
	if !j.limiters[class].Allow() {
		j.drop(event)
		return
	}
	line := append([]any{"time", time.Now().UTC().Format("2006-01-02T15:04:05.000Z"), "event", event}, pairs...)
	select {
	case j.lines <- line:
	default:
		j.drop(event)
	}
}

// drop counts a dropped line of an event.
func (j *Journal) drop(event string) {
	j.droppedLines.Inc(1)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.droppedByEvent[event]++
}

// Run writes lines until the context ends, and then the lines that are still in
// the buffer. It must not be called more than once.
func (j *Journal) Run(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-j.lines:
			j.write(line)
		case <-ticker.C:
			j.report()
		case <-ctx.Done():
			j.drain()
			return
		}
		if len(j.lines) == 0 {
			j.flush()
		}
	}
}

// drain writes the lines that are still in the buffer and a last report.
func (j *Journal) drain() {
	for len(j.lines) > 0 {
		j.write(<-j.lines)
	}
	j.report()
	j.flush()
}

// write writes a line. An error of the output can't be logged; it shows in the
// metric log.lines, which stops growing.
func (j *Journal) write(line []any) {
	if j.logger.Log(line...) == nil {
		j.written.Inc(1)
	}
}

func (j *Journal) flush() { _ = j.out.Flush() }

// takeDropped returns the counts of dropped lines by event since the previous call. No line
// is counted in the returned map any more.
func (j *Journal) takeDropped() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	dropped := j.droppedByEvent
	j.droppedByEvent = make(map[string]int)
	return dropped
}

// report logs how many lines were dropped since the previous report, and of
// which events.
func (j *Journal) report() {
	dropped := j.takeDropped()
	if len(dropped) == 0 {
		return
	}
	var names strings.Builder
	total := 0
	for _, event := range slices.Sorted(maps.Keys(dropped)) {
		names.WriteString(event + " ")
		total += dropped[event]
	}
	j.write([]any{
		"time", time.Now().UTC().Format("2006-01-02T15:04:05.000Z"),
		"event", "log_dropped", "lines", total, "events", strings.TrimSpace(names.String()),
	})
}
