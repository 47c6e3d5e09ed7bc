// Package journal writes the log lines of a node without ever making a request
// wait for them.
//
// Lines go through a bounded buffer to one goroutine. Each class of lines has a
// rate; what exceeds it, or finds the buffer full, is dropped and counted by
// event, and the counts are written now and then.
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

// Class sorts lines by how much they are worth keeping.
type Class int

const (
	// Change is a change of what the process believes, its start or its end.
	Change Class = iota
	// Failure is a request that was refused, failed or came late.
	Failure
	// Routine is a request that ended well.
	Routine
	classCount
)

// Rates holds the lines a second that each class may write.
type Rates struct {
	// Change, Failure and Routine are in lines a second.
	Change, Failure, Routine float64
}

const (
	// bufferedLines bounds the lines that wait to be written.
	bufferedLines = 2048
	// burstSeconds is how much of a second's worth of lines may come at once.
	burstSeconds = 2
	// reportEvery is the time between two lines that count what was dropped.
	reportEvery = 5 * time.Second
	// bufferBytes is the size of the write buffer.
	bufferBytes = 16 << 10
)

// Journal takes lines. It is safe for concurrent use.
type Journal struct {
	lines        chan []any
	limiters     [classCount]*rate.Limiter
	written      metrics.Counter
	droppedLines metrics.Counter
	out          *bufio.Writer
	logger       log.Logger

	mu             sync.Mutex
	droppedByEvent map[string]int
}

// New returns a journal that writes JSON lines to out. Run has to run. Each
// line begins with the given pairs.
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

// Log takes a line about an event. It never blocks.
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

func (j *Journal) drop(event string) {
	j.droppedLines.Inc(1)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.droppedByEvent[event]++
}

// Run writes lines until the context ends and all that wait are written.
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

// drain writes what waits when the journal ends.
func (j *Journal) drain() {
	for len(j.lines) > 0 {
		j.write(<-j.lines)
	}
	j.report()
	j.flush()
}

// write has nowhere to tell that the log itself fails; the count of lines
// stands still then.
func (j *Journal) write(line []any) {
	if j.logger.Log(line...) == nil {
		j.written.Inc(1)
	}
}

func (j *Journal) flush() { _ = j.out.Flush() }

// report writes how many lines were dropped, by event.
func (j *Journal) report() {
	j.mu.Lock()
	dropped := j.droppedByEvent
	if len(dropped) > 0 {
		j.droppedByEvent = make(map[string]int)
	}
	j.mu.Unlock()
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
