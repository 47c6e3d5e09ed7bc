package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"verbenatrestle/internal/wait"
)

// Defaults of a Watcher.
const (
	// DefaultWatchWait is how long one watch waits for a change.
	DefaultWatchWait = 30 * time.Second
	// DefaultRelistInterval is the mean time between two lists.
	DefaultRelistInterval = 2 * time.Minute
	// DefaultChangeJitter bounds the random delay between a change and the next watch.
	DefaultChangeJitter = 2 * time.Second
	// DefaultWatchBackoffBase bounds the delay after a watcher's first failure.
	// All watchers of a fleet see an outage begin in the same moment, so it is
	// long enough to keep their next calls within the platform's rate.
	DefaultWatchBackoffBase = 2 * time.Second
	// DefaultWatchBackoffCap bounds a watcher's delay after any failure.
	DefaultWatchBackoffCap = 20 * time.Second
)

// Update is what a Watcher learnt from one call.
type Update struct {
	// Objects are the objects in their present state.
	Objects []Object
	// Revision is the revision of the store that the objects are from.
	Revision uint64
	// Snapshot means that Objects are all that there are with the prefix. Without
	// it, they are the ones that changed, and may be marked as deleted.
	Snapshot bool
}

// Watcher follows the objects with a prefix: it lists them, then keeps one
// waiting watch. It lists anew after each error, and now and then besides,
// since a watch may stall or skip a change. Updates may repeat what was known
// and, from a platform that serves stale reads, may be older than it; the
// receiver goes by Object.Version.
type Watcher struct {
	// Client makes the calls.
	Client *Client
	// Prefix selects the objects.
	Prefix string
	// OnUpdate receives each update, one at a time, from the goroutine of Run.
	OnUpdate func(Update)
	// Failed, if set, receives each error.
	OnError func(error)
	// Logger receives the first error of each outage and its end. Nil means none.
	Logger log.Logger
	// Rand spreads the calls. Only Run uses it.
	Rand *rand.Rand
	// Wait is how long one watch waits. Zero means DefaultWatchWait.
	Wait time.Duration
	// RelistInterval is the mean time between lists. Zero means DefaultRelistEvery.
	RelistInterval time.Duration
	// ChangeJitter bounds the delay between a change and the next watch. Zero means
	// DefaultSpread.
	ChangeJitter time.Duration
	// Backoff gives the delays after errors. Its zero value uses
	// DefaultWatchBackoffBase and DefaultWatchBackoffCap.
	Backoff Backoff

	after    uint64
	listed   bool
	relistAt time.Time
}

// Run follows the objects until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	w.setDefaults()
	for ctx.Err() == nil {
		update, err := w.next(ctx)
		if ctx.Err() != nil {
			return
		}
		delay := w.learn(update, err)
		if !wait.For(ctx, delay) {
			return
		}
	}
}

func (w *Watcher) setDefaults() {
	if w.Wait <= 0 {
		w.Wait = DefaultWatchWait
	}
	if w.RelistInterval <= 0 {
		w.RelistInterval = DefaultRelistInterval
	}
	if w.ChangeJitter <= 0 {
		w.ChangeJitter = DefaultChangeJitter
	}
	if w.Backoff.Base <= 0 {
		w.Backoff.Base = DefaultWatchBackoffBase
	}
	if w.Backoff.Cap <= 0 {
		w.Backoff.Cap = DefaultWatchBackoffCap
	}
	if w.Logger == nil {
		w.Logger = log.NewNopLogger()
	}
}

// next makes one call: a list when one is due, else a watch that ends no
// later than the next list is due.
func (w *Watcher) next(ctx context.Context) (Update, error) {
	remaining := time.Until(w.relistAt)
	if !w.listed || remaining <= 0 {
		objects, revision, err := w.Client.List(ctx, w.Prefix)
		return Update{Objects: objects, Revision: revision, Snapshot: true}, err
	}
	wait := min(jitter(w.Wait, w.Rand), remaining)
	objects, revision, err := w.Client.Watch(ctx, w.Prefix, w.after, wait)
	return Update{Objects: objects, Revision: revision}, err
}

// learn hands on an update or an error, and returns the delay before the next
// call.
func (w *Watcher) learn(update Update, err error) time.Duration {
	if err != nil {
		return w.fail(err)
	}
	if w.Backoff.Failures() > 0 {
		level.Info(w.Logger).Log("msg", "platform is back", "prefix", w.Prefix)
	}
	w.Backoff.Reset()
	w.after = update.Revision
	if update.Snapshot {
		w.listed = true
		w.relistAt = time.Now().Add(jitter(w.RelistInterval, w.Rand))
		w.OnUpdate(update)
		return 0
	}
	if len(update.Objects) == 0 {
		return 0
	}
	w.OnUpdate(update)
	return time.Duration(w.Rand.Int64N(int64(w.ChangeJitter)))
}

func (w *Watcher) fail(err error) time.Duration {
	if w.Backoff.Failures() == 0 {
		level.Warn(w.Logger).Log("msg", "platform fails", "prefix", w.Prefix, "err", err)
	}
	if w.OnError != nil {
		w.OnError(err)
	}
	w.listed = false
	delay := w.Backoff.Next(w.Rand)
	var limited *RateLimitedError
	if errors.As(err, &limited) {
		delay += limited.RetryAfter
	}
	return delay
}

// jitter returns a duration between three quarters and five quarters of mean.
func jitter(mean time.Duration, rng *rand.Rand) time.Duration {
	return mean*3/4 + time.Duration(rng.Int64N(int64(mean)/2+1))
}
