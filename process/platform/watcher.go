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
	// DefaultWatchWait is the mean time for which a watch waits for a change.
	DefaultWatchWait = 30 * time.Second
	// DefaultRelistInterval is the mean time between two lists.
	DefaultRelistInterval = 2 * time.Minute
	// DefaultChangeJitter is the maximum random delay between a change and the next
	// watch.
	DefaultChangeJitter = 2 * time.Second
	// DefaultWatchBackoffBase is the maximum delay after a watcher's first failure.
	// All watchers of a fleet notice an outage at the same moment, so it is long
	// enough to keep their next calls within the platform's rate limit.
	DefaultWatchBackoffBase = 2 * time.Second
	// DefaultWatchBackoffCap is the maximum delay of a watcher after any failure.
	DefaultWatchBackoffCap = 20 * time.Second
)

// Update is the result of a list or a watch of a Watcher.
type Update struct {
	// Objects are the objects in their current state.
	Objects []Object
	// Revision is the revision of the store from which the objects were read.
	Revision uint64
	// Snapshot is true if Objects are all existing objects with the prefix. If it
	// is false, they are the changed objects, including deleted ones.
	Snapshot bool
}

// Watcher follows the objects whose keys start with a prefix. It lists them and
// then keeps one watch open. It lists them again after each error and at intervals
// of about RelistInterval, since a watch may stall or skip a change.
//
// Updates may repeat objects that the receiver already has. If the platform serves
// stale reads, they may also be older than those. The receiver compares
// Object.Version to detect this.
type Watcher struct {
	// Client makes the calls.
	Client *Client
	// Prefix selects the objects by their keys.
	Prefix string
	// OnUpdate is called with each update, one at a time, by the goroutine of Run.
	OnUpdate func(Update)
	// OnError, if set, is called with each error, by the goroutine of Run.
	OnError func(error)
	// Logger logs the first error of each outage and its end. Nil means that
	// nothing is logged.
	Logger log.Logger
	// Rand supplies the jitter. It must be set, and only Run may use it.
	Rand *rand.Rand
	// Wait is the mean time for which a watch waits for a change. Zero means
	// DefaultWatchWait.
	Wait time.Duration
	// RelistInterval is the mean time between two lists. Zero means
	// DefaultRelistInterval.
	RelistInterval time.Duration
	// ChangeJitter is the maximum random delay between a change and the next watch,
	// which keeps the watchers of a fleet from calling at the same moment. Zero
	// means DefaultChangeJitter.
	ChangeJitter time.Duration
	// Backoff computes the delays after errors. If its Base or Cap is zero,
	// DefaultWatchBackoffBase or DefaultWatchBackoffCap is used.
	Backoff Backoff

	// revision is the revision after which the next watch returns changes.
	revision uint64
	// listed is true if the latest list succeeded and no call has failed since.
	listed     bool
	nextListAt time.Time
}

// Run follows the objects until the context is done.
func (w *Watcher) Run(ctx context.Context) {
	w.setDefaults()
	for ctx.Err() == nil {
		update, err := w.fetch(ctx)
		if ctx.Err() != nil {
			return
		}
		delay := w.handleResult(update, err)
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

// fetch makes one call: a list if one is due, otherwise a watch that ends no
// later than the next list is due.
func (w *Watcher) fetch(ctx context.Context) (Update, error) {
	remaining := time.Until(w.nextListAt)
	if !w.listed || remaining <= 0 {
		objects, revision, err := w.Client.List(ctx, w.Prefix)
		return Update{Objects: objects, Revision: revision, Snapshot: true}, err
	}
	maxWait := min(jitter(w.Wait, w.Rand), remaining)
	objects, revision, err := w.Client.Watch(ctx, w.Prefix, w.revision, maxWait)
	return Update{Objects: objects, Revision: revision}, err
}

// handleResult passes an update to OnUpdate or handles an error. It returns the
// delay before the next call.
func (w *Watcher) handleResult(update Update, err error) time.Duration {
	if err != nil {
		return w.handleError(err)
	}
	if w.Backoff.Failures() > 0 {
		level.Info(w.Logger).Log("msg", "platform is available again", "prefix", w.Prefix)
	}
	w.Backoff.Reset()
	if update.Snapshot {
		w.revision = update.Revision
		w.listed = true
		w.nextListAt = time.Now().Add(jitter(w.RelistInterval, w.Rand))
		w.OnUpdate(update)
		return 0
	}
	// A watch without changes may have stalled, so the next one asks for the same.
	if len(update.Objects) == 0 {
		return 0
	}
	w.revision = update.Revision
	w.OnUpdate(update)
	return time.Duration(w.Rand.Int64N(int64(w.ChangeJitter)))
}

// handleError logs and reports an error, and makes the next call a list. It returns
// the delay before that call.
func (w *Watcher) handleError(err error) time.Duration {
	if w.Backoff.Failures() == 0 {
		level.Warn(w.Logger).Log("msg", "calls to the platform fail", "prefix", w.Prefix, "err", err)
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

// jitter returns a random duration between 75 % and 125 % of mean.
func jitter(mean time.Duration, rng *rand.Rand) time.Duration {
	return mean*3/4 + time.Duration(rng.Int64N(int64(mean)/2+1))
}
