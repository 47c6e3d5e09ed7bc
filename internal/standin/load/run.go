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

// progressPeriod is the time between two lines of progress.
const progressPeriod = time.Second

// Run drives the load and checks it. The context ends it early. The error
// tells that the load could not be driven, not what it found.
func Run(ctx context.Context, config Config) (*Report, error) {
	if err := config.complete(); err != nil {
		return nil, err
	}
	began := time.Now()
	tally := newTally(began)
	sender := newSender(&config, tally)
	progress, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { report(progress, &config, tally) })
	err := drive(ctx, &config, sender, tally)
	took := time.Since(began)
	stop()
	group.Wait()
	if err != nil {
		return nil, err
	}
	runs, unread := readRuns(&config)
	found := newReport(tally, runs, min(took, config.Duration))
	for _, err := range unread {
		found.UnreadJournals = append(found.UnreadJournals, err.Error())
	}
	return found, nil
}

// drive starts operations on schedule and waits until all have ended.
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
		op, err := plan(config, number, rng)
		if err != nil {
			return err
		}
		op.start = start
		tally.begin(op)
		group.Go(func() { operate(ctx, sender, tally, op) })
	}
}

func plan(config *Config, number int, rng *rand.Rand) (*operation, error) {
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

// operate runs an operation, in two copies at once if it wants that.
func operate(ctx context.Context, sender *sender, tally *tally, op *operation) {
	if !op.twice {
		r := sender.run(ctx, op, 0)
		tally.end(op, r, time.Since(op.start))
		return
	}
	second := make(chan result, 1)
	go func() { second <- sender.run(ctx, op, 1) }()
	r := both(sender.run(ctx, op, 0), <-second)
	tally.end(op, r, time.Since(op.start))
}

// report writes a line of progress each second.
func report(ctx context.Context, config *Config, tally *tally) {
	for second := 1; wait.For(ctx, time.Until(tally.began.Add(time.Duration(second)*progressPeriod))); second++ {
		fmt.Fprintln(config.Progress, tally.progress(second))
	}
}

// progress describes the load up to now, and the latency of the operations
// that started in the last full second.
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
