package ownership

import (
	"context"
	"math"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/platform"
)

const (
	// callWorkers is how many calls of the platform run at once.
	callWorkers = 4
	// callQueueSize bounds the calls that wait; beyond it they fail at once.
	callQueueSize = 512
	// callTimeout bounds one call.
	callTimeout = 3 * time.Second
	// watchWait is how long one watch waits.
	watchWait = 30 * time.Second
	// meanRelistPeriod is the mean time between two lists, since a watch may skip.
	meanRelistPeriod = 2 * time.Minute
	// maxWatchPause bounds the random pause between a change and the next watch,
	// so that a fleet that wakes at once doesn't call at once.
	maxWatchPause = 2 * time.Second
	// minWatchBackoff and lastWatchBackoff bound the pause after a failed watch.
	minWatchBackoff = 2 * time.Second
	maxWatchBackoff = 20 * time.Second
	// impossibleVersion is a version that no object has.
	impossibleVersion = math.MaxInt64
)

// enqueueCalls queues the platform calls of an output.
func (r *Runner) enqueueCalls(out Output) {
	for _, p := range out.Writes {
		r.enqueue(func() { r.put(p) }, func() { r.handleWriteResult(WriteResult{ID: p.ID, Service: p.Service, Outcome: Failed}) })
	}
	for _, service := range out.Reads {
		r.enqueue(func() { r.read(service) }, func() { r.readFailed(service) })
	}
}

// enqueue queues a call, or lets it fail without delay if there are too many.
// The failure is told from another goroutine, since do may be the caller.
func (r *Runner) enqueue(call, fail func()) {
	select {
	case r.calls <- call:
	default:
		go fail()
	}
}

// runCalls makes the queued calls.
func (r *Runner) runCalls() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case call := <-r.calls:
			call()
		}
	}
}

// put makes a conditional write and tells the core how it ended.
func (r *Runner) put(p ConditionalWrite) {
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	current, conflict, err := r.platform.Put(ctx, p.Key, p.Value, p.IfVersion)
	end := WriteResult{ID: p.ID, Service: p.Service, Version: current.Version}
	switch {
	case err == nil && conflict:
		end.Outcome = Conflict
		end.Value = current.Value
	case err == nil:
		end.Outcome = Written
	case errors.Is(err, platform.ErrUnavailable):
		end.Outcome = Failed
	default:
		end.Outcome = Uncertain
	}
	r.counters.writes[end.Outcome].Inc(1)
	r.warn("write ownership", errors.Wrapf(err, "write %s", p.Key))
	if end.Outcome == Written {
		_ = level.Info(r.logger).Log("msg", "ownership written", "node", r.node, "service", p.Service, "version", end.Version)
	}
	r.handleWriteResult(end)
}

func (r *Runner) handleWriteResult(end WriteResult) {
	out, err := r.core.HandleWriteResult(end, r.clock())
	r.warn("settle ownership", err)
	r.execute(out)
}

// read reads an object for the core. A witness must not be told an older state
// than it acknowledged beats under in a former life, so it is no plain read,
// which may be stale: it is a conditional write that the platform must refuse,
// with the object as it is now.
func (r *Runner) read(service string) {
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	key := assignment.Key(service)
	object, conflict, err := r.platform.Put(ctx, key, nil, impossibleVersion)
	if err == nil && !conflict {
		err = errors.New("platform did not refuse a write of a version that can't be")
	}
	if err != nil {
		r.warn("read ownership", errors.Wrapf(err, "read %s", key))
		r.readFailed(service)
		return
	}
	out, err := r.core.HandleReadResult(service, object.Version, object.Value, false, r.clock())
	r.warn("read ownership", err)
	r.execute(out)
}

func (r *Runner) readFailed(service string) {
	out, err := r.core.HandleReadResult(service, 0, nil, true, r.clock())
	r.warn("read ownership", err)
	r.execute(out)
}

// watch follows the ownership objects of all services.
func (r *Runner) watch() {
	revision := uint64(0)
	failures := 0
	relist := time.Now()
	for r.ctx.Err() == nil {
		if !time.Now().Before(relist) {
			revision = 0
			relist = time.Now().Add(r.jittered(meanRelistPeriod))
		}
		objects, next, err := r.platform.Watch(r.ctx, assignment.Prefix(), revision, r.jittered(watchWait))
		pause := time.Duration(0)
		switch {
		case err != nil:
			r.warn("watch ownership", err)
			pause = r.backoff(failures)
			failures++
			revision = 0
		default:
			failures = 0
			changed := revision != 0 && len(objects) > 0
			revision = next
			r.observe(objects)
			if changed {
				pause = time.Duration(r.random.Int64N(int64(maxWatchPause)))
			}
		}
		r.sleep(pause)
	}
}

// observe tells the core of objects.
func (r *Runner) observe(objects []Object) {
	for _, object := range objects {
		service, ok := assignment.ServiceOf(object.Key)
		if !ok {
			continue
		}
		version := object.Version
		if object.Deleted {
			version = 0
		}
		out, err := r.core.Observe(service, version, object.Value, r.clock())
		r.warn("observe ownership", errors.Wrapf(err, "observe %s", object.Key))
		r.execute(out)
	}
}

// jittered returns a random duration between three and five quarters of mean.
func (r *Runner) jittered(mean time.Duration) time.Duration {
	return mean*3/4 + time.Duration(r.random.Int64N(int64(mean)/2))
}

// backoff returns the pause after the watch failed once more.
func (r *Runner) backoff(failures int) time.Duration {
	pause := min(minWatchBackoff<<min(failures, 8), maxWatchBackoff)
	return pause/2 + time.Duration(r.random.Int64N(int64(pause)))
}

func (r *Runner) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.ctx.Done():
	}
}
