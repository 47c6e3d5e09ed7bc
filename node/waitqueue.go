package node

import (
	"context"
	"sync/atomic"
	"time"

	"verbenatrestle/process/admission"
)

const (
	// maxSlotWait is how long a request may wait for a slot at a full guard. With
	// the hops of further attempts, a refusal stays within a few milliseconds.
	maxSlotWait = 1500 * time.Microsecond
	// maxWaitingShare is the share of the guard's limit that may wait at once.
	maxWaitingShare = 0.25
)

// waitQueue holds requests for a moment at a full guard, so that a slot that
// becomes free is in use again at once, and not after the next request that
// happens to come. First come, first served.
// Nil lets nothing wait.
type waitQueue struct {
	maxWait   time.Duration
	length    atomic.Int64
	slotFreed chan struct{}
}

func newWaitQueue(longest time.Duration) *waitQueue {
	return &waitQueue{maxWait: longest, slotFreed: make(chan struct{})}
}

// wake lets the request that has waited longest try again.
func (w *waitQueue) wake() {
	if w == nil {
		return
	}
	select {
	case w.slotFreed <- struct{}{}:
	default:
	}
}

// admit tries again after a refusal whenever a slot becomes free, until it
// succeeds or there is no use in waiting. It returns the last refusal.
func (w *waitQueue) admit(ctx context.Context, refusal *admission.Refusal, try func() (admission.Permit, *admission.Refusal)) (admission.Permit, *admission.Refusal) {
	if w == nil || refusal.Reason != admission.Full {
		return admission.Permit{}, refusal
	}
	defer w.length.Add(-1)
	if w.length.Add(1) > maxWaiting(refusal) {
		return admission.Permit{}, refusal
	}
	timer := time.NewTimer(w.maxWait)
	defer timer.Stop()
	for refusal.Reason == admission.Full {
		select {
		case <-w.slotFreed:
		case <-timer.C:
			return admission.Permit{}, refusal
		case <-ctx.Done():
			return admission.Permit{}, refusal
		}
		var ticket admission.Permit
		if ticket, refusal = try(); refusal == nil {
			return ticket, nil
		}
	}
	return admission.Permit{}, refusal
}

// maxWaiting is how many requests may wait at once.
func maxWaiting(refusal *admission.Refusal) int64 {
	return max(int64(maxWaitingShare*float64(refusal.Sample.Limit)), 1)
}
