package node

import (
	"context"
	"sync/atomic"
	"time"

	"verbenatrestle/process/admission"
)

const (
	// slotWait is how long a request may wait for a slot at a full guard. With
	// the hops of further attempts, a refusal stays within a few milliseconds.
	slotWait = 1500 * time.Microsecond
	// waitingShare is the share of the guard's limit that may wait at once.
	waitingShare = 0.25
)

// waiting holds requests for a moment at a full guard, so that a slot that
// becomes free is in use again at once, and not after the next request that
// happens to come. First come, first served.
// Nil lets nothing wait.
type waiting struct {
	longest time.Duration
	count   atomic.Int64
	freed   chan struct{}
}

func newWaiting(longest time.Duration) *waiting {
	return &waiting{longest: longest, freed: make(chan struct{})}
}

// wake lets the request that has waited longest try again.
func (w *waiting) wake() {
	if w == nil {
		return
	}
	select {
	case w.freed <- struct{}{}:
	default:
	}
}

// admit tries again after a refusal whenever a slot becomes free, until it
// succeeds or there is no use in waiting. It returns the last refusal.
func (w *waiting) admit(ctx context.Context, refusal *admission.Refusal, try func() (admission.Permit, *admission.Refusal)) (admission.Permit, *admission.Refusal) {
	if w == nil || refusal.Reason != admission.Full {
		return admission.Permit{}, refusal
	}
	defer w.count.Add(-1)
	if w.count.Add(1) > room(refusal) {
		return admission.Permit{}, refusal
	}
	timer := time.NewTimer(w.longest)
	defer timer.Stop()
	for refusal.Reason == admission.Full {
		select {
		case <-w.freed:
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

// room is how many requests may wait at once.
func room(refusal *admission.Refusal) int64 {
	return max(int64(waitingShare*float64(refusal.Sample.Limit)), 1)
}
