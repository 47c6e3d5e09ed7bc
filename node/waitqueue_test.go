package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"verbenatrestle/connection/load"
	"verbenatrestle/process/admission"
	"verbenatrestle/request"
)

// longWait is longer than every test, so that a wait never ends by the timeout.
const longWait = time.Minute

func full() *admission.Refusal {
	return &admission.Refusal{Reason: admission.Full, Sample: load.Sample{InFlight: 8, Limit: 8}}
}

// waiter is a request in the queue together with the slot that it waits for.
type waiter struct {
	free  atomic.Bool
	tries atomic.Int64
	ended chan *admission.Refusal
}

func startWaiter(ctx context.Context, w *waitQueue) *waiter {
	r := &waiter{ended: make(chan *admission.Refusal, 1)}
	go func() {
		_, refusal := w.admit(ctx, full(), func() (admission.Permit, *admission.Refusal) {
			r.tries.Add(1)
			if r.free.Load() {
				return admission.Permit{}, nil
			}
			return admission.Permit{}, full()
		})
		r.ended <- refusal
	}()
	return r
}

// wakeUntil wakes the queue until the waiter has finished, and returns its refusal.
func (r *waiter) wakeUntil(t *testing.T, w *waitQueue) *admission.Refusal {
	t.Helper()
	deadline := time.After(10 * time.Second)
	for {
		w.wake()
		select {
		case refusal := <-r.ended:
			return refusal
		case <-deadline:
			t.Fatal("the request still waits")
		default:
			time.Sleep(time.Millisecond)
		}
	}
}

func waitCount(t *testing.T, w *waitQueue, want int64) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for w.length.Load() != want {
		if time.Now().After(deadline) {
			t.Fatalf("%d wait, want %d", w.length.Load(), want)
		}
		time.Sleep(time.Millisecond)
	}
}

// A request that waits must get a slot that becomes free, and not stay in the queue
// until the timeout.
func TestWaitingRequestGetsTheFreeSlot(t *testing.T) {
	w := newWaitQueue(longWait)
	r := startWaiter(t.Context(), w)
	waitCount(t, w, 1)
	for r.tries.Load() == 0 {
		w.wake()
	}
	r.free.Store(true)
	if refusal := r.wakeUntil(t, w); refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
	waitCount(t, w, 0)
}

// The queue must not grow beyond its share of the admission limit, because every
// request in it takes longer to be refused. A cancelled request leaves the queue.
func TestWaitQueueLengthIsBounded(t *testing.T) {
	w := newWaitQueue(longWait)
	ctx, cancel := context.WithCancel(t.Context())
	first, second := startWaiter(ctx, w), startWaiter(ctx, w)
	waitCount(t, w, 2) // a quarter of the limit of 8
	third := startWaiter(ctx, w)
	if refusal := <-third.ended; refusal == nil || refusal.Reason != admission.Full {
		t.Fatalf("third request: %v", refusal)
	}
	waitCount(t, w, 2)
	cancel()
	if <-first.ended == nil || <-second.ended == nil {
		t.Fatal("a cancelled request was admitted")
	}
	waitCount(t, w, 0)
}

// A refusal for another reason than a full target must not be delayed, because a
// free slot doesn't end that reason.
func TestRequestsWaitOnlyForFullTarget(t *testing.T) {
	w := newWaitQueue(longWait)
	for _, reason := range []admission.Reason{admission.Draining, admission.OutOfService, admission.ColdFull, admission.EjectedFull} {
		refusal := &admission.Refusal{Reason: reason}
		_, got := w.admit(t.Context(), refusal, func() (admission.Permit, *admission.Refusal) {
			t.Fatalf("%s: tried again", reason)
			return admission.Permit{}, nil
		})
		if got != refusal {
			t.Errorf("%s: %v", reason, got)
		}
	}
}

// If the target begins to drain while a request waits, the next try must end the
// wait.
func TestWaitEndsWhenTheTargetDrains(t *testing.T) {
	w := newWaitQueue(longWait)
	ended := make(chan *admission.Refusal, 1)
	go func() {
		_, refusal := w.admit(t.Context(), full(), func() (admission.Permit, *admission.Refusal) {
			return admission.Permit{}, &admission.Refusal{Reason: admission.Draining}
		})
		ended <- refusal
	}()
	r := &waiter{ended: ended}
	if refusal := r.wakeUntil(t, w); refusal.Reason != admission.Draining {
		t.Fatalf("got %v", refusal)
	}
}

func TestWaitIsBounded(t *testing.T) {
	w := newWaitQueue(time.Millisecond)
	if refusal := <-startWaiter(t.Context(), w).ended; refusal == nil {
		t.Fatal("admitted without a slot")
	}
}

// Only one attempt of a request may wait, also across a hop, so that the waits of
// several attempts do not add up. At an owner, which dispatches the request again, it
// gets a new token.
func TestOneAttemptMayWait(t *testing.T) {
	p := &waitToken{}
	if !p.take() || p.take() || (*waitToken)(nil).take() {
		t.Fatal("the first attempt may not wait, or a later one may")
	}
	target := http.Header{request.HeaderHop: {request.HopGuard}}
	if receivedWaitToken(target) != nil {
		t.Fatal("got a token that was not sent")
	}
	target.Set(headerMayWait, "1")
	owner := http.Header{request.HeaderHop: {request.HopOwner}}
	if receivedWaitToken(target) == nil || receivedWaitToken(owner) == nil {
		t.Fatal("the token was lost on the hop")
	}
}
