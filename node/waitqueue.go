package node

import (
	"context"
	"sync/atomic"
	"time"

	"verbenatrestle/process/admission"
)

const (
	// maxSlotWait is how long a request may wait for a slot of a full target.
	// Together with the hops of further attempts, a refusal then takes no more
	// than a few milliseconds.
	maxSlotWait = 1500 * time.Microsecond
	// maxWaitingShare is how many requests may wait at once, as a share of the
	// admission limit.
	maxWaitingShare = 0.25
)

// waitQueue lets requests wait briefly for a slot of a full target, in FIFO
// order. Without it, a slot that becomes free stays unused until the next
// request happens to arrive. With a nil queue no request waits.
type waitQueue struct {
	maxWait   time.Duration
	length    atomic.Int64
	slotFreed chan struct{}
}

func newWaitQueue(maxWait time.Duration) *waitQueue {
	return &waitQueue{maxWait: maxWait, slotFreed: make(chan struct{})}
}

// wake makes the request that has waited longest try again. It does nothing if
// no request waits.
func (w *waitQueue) wake() {
	if w == nil {
		return
	}
	select {
	case w.slotFreed <- struct{}{}:
	default:
	}
}

// admit calls try whenever a slot becomes free, until it succeeds, it is refused
// for another reason than a full target, or the wait ends. It returns the last
// refusal. If too many requests wait already, it returns at once.
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
		var permit admission.Permit
		if permit, refusal = try(); refusal == nil {
			return permit, nil
		}
	}
	return admission.Permit{}, refusal
}

// maxWaiting returns how many requests may wait at once, which is at least one.
func maxWaiting(refusal *admission.Refusal) int64 {
	return max(int64(maxWaitingShare*float64(refusal.Sample.Limit)), 1)
}
