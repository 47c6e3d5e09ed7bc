package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"verbenatrestle/internal/wait"
)

// progressPeriod is the time between two progress lines.
const progressPeriod = time.Second

// Run generates the load and checks the responses. Cancelling the context ends
// the load early. Run returns an error only if the load could not be generated;
// violated invariants are in the Report.
func Run(ctx context.Context, config Config) (*Report, error) {
	if err := config.complete(); err != nil {
		return nil, err
	}
	began := time.Now()
	tally := newTally(began)
	sender := newSender(&config, tally)
	progress, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { printProgress(progress, &config, tally) })
	err := drive(ctx, &config, sender, tally)
	took := time.Since(began)
	stop()
	group.Wait()
	if err != nil {
		return nil, err
	}
	runs, unread := readRuns(&config)
	result := newReport(tally, runs, min(took, config.Duration))
	for _, err := range unread {
		result.UnreadJournals = append(result.UnreadJournals, err.Error())
	}
	return result, nil
}

// drive starts operations on schedule and waits until all of them have ended.
func drive(ctx context.Context, config *Config, sender *sender, tally *tally) error {
	rng := rand.New(rand.NewPCG(config.Seed, 0))
	end := tally.began.Add(config.Duration)
	start := tally.began
	var group sync.WaitGroup
	defer group.Wait()
	for number := 0; ; number++ {
		start = start.Add(time.Duration(rng.ExpFloat64() / config.Rate * float64(time.Second)))
		if start.After(end) || !wait.For(ctx, time.Until(start)) {
			return nil
		}
		op, err := newScheduledOperation(config, number, rng)
		if err != nil {
			return err
		}
		op.start = start
		tally.begin(op)
		group.Go(func() { execute(ctx, sender, tally, op) })
	}
}

// newScheduledOperation returns the next operation, of a class drawn by weight.
func newScheduledOperation(config *Config, number int, rng *rand.Rand) (*operation, error) {
	class := config.Mix.pick(rng.Float64())
	if !class.Keyed {
		return newOperation(class, number, "", 0, rng), nil
	}
	key, err := uuid.NewV7()
	if err != nil {
		return nil, errors.Wrap(err, "make idempotency key")
	}
	return newOperation(class, number, key.String(), config.Duplicates, rng), nil
}

// execute runs an operation. A duplicate operation is sent as two concurrent
// copies.
func execute(ctx context.Context, sender *sender, tally *tally, op *operation) {
	if !op.duplicate {
		r := sender.run(ctx, op, 0)
		tally.end(op, r, time.Since(op.start))
		return
	}
	second := make(chan result, 1)
	go func() { second <- sender.run(ctx, op, 1) }()
	r := combine(sender.run(ctx, op, 0), <-second)
	tally.end(op, r, time.Since(op.start))
}

// printProgress writes one progress line per second until the context ends.
func printProgress(ctx context.Context, config *Config, tally *tally) {
	for second := 1; wait.For(ctx, time.Until(tally.began.Add(time.Duration(second)*progressPeriod))); second++ {
		fmt.Fprintln(config.Progress, tally.progress(second))
	}
}

// progress formats the counts so far, and the latency of the operations that
// were planned to start in the last full second.
func (t *tally) progress(second int) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ended := 0
	for _, count := range t.all.results {
		ended += count
	}
	var p50, p99 float64
	if second <= len(t.seconds) {
		p50 = millis(t.seconds[second-1].latency, 50)
		p99 = millis(t.seconds[second-1].latency, 99)
	}
	return fmt.Sprintf("t=%ds sent=%d answered=%d not_run=%d unknown=%d in_flight=%d p50_ms=%.2f p99_ms=%.2f",
		second, t.all.sent, t.all.results[answered], t.all.results[notRun],
		t.all.results[unknown]+t.all.results[done], t.all.sent-ended, p50, p99)
}
