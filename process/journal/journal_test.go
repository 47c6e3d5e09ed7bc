package journal

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// lines runs a journal until everything that use logs is written, and returns the
// decoded lines.
func lines(t *testing.T, rates Rates, use func(*Journal)) []map[string]any {
	t.Helper()
	var out bytes.Buffer
	j := New(&out, rates, metrics.NewRegistry(), "node", "n")
	use(j)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	j.Run(ctx)
	var all []map[string]any
	for _, text := range bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")) {
		line := map[string]any{}
		if err := json.Unmarshal(text, &line); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		all = append(all, line)
	}
	return all
}

func TestLinesAreJSONInOrder(t *testing.T) {
	all := lines(t, Rates{Change: 100, Failure: 100, Routine: 100}, func(j *Journal) {
		j.Log(Change, "first", "err", errors.New("cause"))
		j.Log(Routine, "second", "count", 2)
	})
	if len(all) != 2 || all[0]["event"] != "first" || all[0]["err"] != "cause" || all[0]["node"] != "n" || all[1]["count"] != 2.0 {
		t.Errorf("written: %v", all)
	}
}

// A storm of failures is cut off at the rate limit of its class and counted by
// event. Lines of other classes are still written.
func TestClassesAreRateLimitedSeparately(t *testing.T) {
	const storm = 5000
	all := lines(t, Rates{Change: 10, Failure: 10, Routine: 1}, func(j *Journal) {
		for range storm {
			j.Log(Failure, "request")
		}
		j.Log(Change, "config")
	})
	last := all[len(all)-1]
	if last["event"] != "log_dropped" || last["events"] != "request" {
		t.Fatalf("the last line is not the report of dropped lines: %v", last)
	}
	if kept := len(all) - 2; kept < 10 || float64(kept)+last["lines"].(float64) != storm {
		t.Errorf("%d of %d lines kept, %v counted as dropped", kept, storm, last["lines"])
	}
	if all[len(all)-2]["event"] != "config" {
		t.Errorf("the change was dropped: %v", all[len(all)-2])
	}
}

// stuck is a writer that blocks until it is released.
type stuck struct {
	release chan struct{}
	once    sync.Once
	reached chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.reached) })
	<-s.release
	return len(p), nil
}

// The reader of the output stops reading. Log calls must not block; lines are
// dropped.
func TestLogNeverWaitsForTheOutput(t *testing.T) {
	out := &stuck{release: make(chan struct{}), reached: make(chan struct{})}
	registry := metrics.NewRegistry()
	j := New(out, Rates{Change: 1e6, Failure: 1e6, Routine: 1e6}, registry)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { j.Run(ctx); close(ended) }()
	j.Log(Change, "start")
	<-out.reached
	logged := make(chan struct{})
	go func() {
		for range 3 * bufferedLines {
			j.Log(Change, "change")
		}
		close(logged)
	}()
	select {
	case <-logged:
	case <-time.After(10 * time.Second):
		t.Fatal("a call of Log waits for the output")
	}
	if dropped := metrics.GetOrRegisterCounter("log.dropped", registry).Count(); dropped < bufferedLines {
		t.Errorf("%d lines dropped", dropped)
	}
	close(out.release)
	cancel()
	<-ended
}

// Lines that were dropped while a report found none were written to the map that it read, which
// can end the process.
func TestLinesAreDroppedDuringAReport(t *testing.T) {
	j := New(io.Discard, Rates{}, metrics.NewRegistry())
	const rounds = 2000
	var reports sync.WaitGroup
	reports.Go(func() {
		for range rounds {
			j.report()
		}
	})
	for range rounds {
		j.drop("request")
	}
	reports.Wait()
}
