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
	// callWorkers is the number of concurrent calls of the platform, not
	// counting the watch.
	callWorkers = 4
	// callQueueSize is the number of calls that can wait for a worker. Further
	// calls fail immediately.
	callQueueSize = 512
	// callTimeout bounds one call.
	callTimeout = 3 * time.Second
	// watchWait is the mean time that one watch waits for changes.
	watchWait = 30 * time.Second
	// meanRelistPeriod is the mean time between two lists of all objects. They
	// are necessary because a watch may miss changes.
	meanRelistPeriod = 2 * time.Minute
	// maxWatchPause bounds the random pause between a change and the next watch,
	// so that nodes which receive the same change don't all call the platform
	// at the same time.
	maxWatchPause = 2 * time.Second
	// minWatchBackoff and maxWatchBackoff bound the mean pause after a failed
	// watch.
	minWatchBackoff = 2 * time.Second
	maxWatchBackoff = 20 * time.Second
	// impossibleVersion is a version that no object has.
	impossibleVersion = math.MaxInt64
)

// enqueueCalls queues the platform calls of an output.
func (r *Runner) enqueueCalls(out Output) {
	for _, w := range out.Writes {
		r.enqueue(func() { r.put(w) }, func() { r.handleWriteResult(WriteResult{ID: w.ID, Service: w.Service, Outcome: Failed}) })
	}
	for _, service := range out.Reads {
		r.enqueue(func() { r.read(service) }, func() { r.readFailed(service) })
	}
}

// enqueue queues a call. If the queue is full, it calls fail instead, in a new
// goroutine because fail calls execute, which may be the caller.
func (r *Runner) enqueue(call, fail func()) {
	select {
	case r.calls <- call:
	default:
		go fail()
	}
}

// runCalls makes queued calls until the runner is stopped.
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

// put makes a conditional write and passes the result to the core.
func (r *Runner) put(w ConditionalWrite) {
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	current, conflict, err := r.platform.Put(ctx, w.Key, w.Value, w.IfVersion)
	result := WriteResult{ID: w.ID, Service: w.Service, Version: current.Version}
	switch {
	case err == nil && conflict:
		result.Outcome = Conflict
		result.Value = current.Value
	case err == nil:
		result.Outcome = Written
	case errors.Is(err, platform.ErrUnavailable):
		result.Outcome = Failed
	default:
		result.Outcome = Uncertain
	}
	r.counters.writes[result.Outcome].Inc(1)
	r.warn("write ownership object", errors.Wrapf(err, "write %s", w.Key))
	if result.Outcome == Written {
		_ = level.Info(r.logger).Log("msg", "ownership object written", "node", r.node, "service", w.Service, "version", result.Version)
	}
	r.handleWriteResult(result)
}

// handleWriteResult passes the result of a conditional write to the core.
func (r *Runner) handleWriteResult(result WriteResult) {
	out, err := r.core.HandleWriteResult(result, r.clock())
	r.warn("handle result of ownership write", err)
	r.execute(out)
}

// read reads the current object of a service for the core. A plain read may be
// stale, and a restarted witness must not receive an object older than one under
// which its earlier incarnation acknowledged heartbeats. read therefore makes a
// conditional write with a version that no object has: the platform refuses it
// and returns the current object.
func (r *Runner) read(service string) {
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	key := assignment.Key(service)
	object, conflict, err := r.platform.Put(ctx, key, nil, impossibleVersion)
	if err == nil && !conflict {
		err = errors.New("platform did not refuse a conditional write with an impossible version")
	}
	if err != nil {
		r.warn("read ownership object", errors.Wrapf(err, "read %s", key))
		r.readFailed(service)
		return
	}
	out, err := r.core.HandleReadResult(service, object.Version, object.Value, false, r.clock())
	r.warn("handle ownership object that was read", err)
	r.execute(out)
}

// readFailed reports a failed read to the core.
func (r *Runner) readFailed(service string) {
	out, err := r.core.HandleReadResult(service, 0, nil, true, r.clock())
	r.warn("handle failed read of ownership object", err)
	r.execute(out)
}

// watch watches the ownership objects of all services until the runner is
// stopped.
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
			r.warn("watch ownership objects", err)
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

// observe passes objects from a watch to the core.
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
		r.warn("handle watched ownership object", errors.Wrapf(err, "handle %s", object.Key))
		r.execute(out)
	}
}

// jittered returns a random duration between 3/4 and 5/4 of mean.
func (r *Runner) jittered(mean time.Duration) time.Duration {
	return mean*3/4 + time.Duration(r.random.Int64N(int64(mean)/2))
}

// backoff returns the pause after a failed watch. failures is the number of
// watches that failed immediately before it.
func (r *Runner) backoff(failures int) time.Duration {
	pause := min(minWatchBackoff<<min(failures, 8), maxWatchBackoff)
	return pause/2 + time.Duration(r.random.Int64N(int64(pause)))
}

// sleep waits for d or until the runner is stopped.
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
