package gateway

import (
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/internal/neterr"
	"verbenatrestle/process/gate"
	"verbenatrestle/request"
)

// handleSendError returns the result of an attempt without a response. A
// request is known not to have run only if none of its bytes was sent.
func (t *localTarget) handleSendError(req *targetRequest, state gate.State, err error) attemptResult {
	failure := exchange.AsError(err)
	if failure == nil || failure.MaybeSent {
		kind := exchange.KindBroken
		if failure != nil {
			kind = failure.Kind
		}
		t.handleLostResponse(req, state, kind, err)
		return attemptResult{outcome: request.Unknown, reason: string(kind), arrived: true, err: err}
	}
	t.releaseUnsent(req)
	if failure.Kind == exchange.KindDial {
		t.markDown(state.Instance, err)
	}
	return attemptResult{outcome: request.NotRun, reason: string(failure.Kind), err: err}
}

// handleLostResponse records a request that was sent and got no response. If it
// was cancelled because the caller left, it does not count as a failure of the
// target.
func (t *localTarget) handleLostResponse(req *targetRequest, state gate.State, kind exchange.Kind, err error) {
	now := time.Now()
	t.mu.Lock()
	down := false
	switch kind {
	case exchange.KindBroken:
		down = t.gate.ConnectionLost(req.admission, now)
	case exchange.KindCancelled:
		t.gate.Cancelled(req.admission, now)
	default:
		t.gate.Done(req.admission, 0, true, now)
	}
	t.mu.Unlock()
	if down {
		t.announceDown(state.Instance, err)
	}
	if kind != exchange.KindCancelled {
		t.node.events.attemptLost(req, state.Instance, string(kind), state.Running, err)
		t.node.health.checkNow()
	}
}

// markDown marks the target as down because it accepts no connections or was
// replaced, and requests a health check. The target is not marked if another
// instance has reported meanwhile.
func (t *localTarget) markDown(instance string, err error) {
	t.mu.Lock()
	state := t.gate.State(time.Now())
	changed := state.Accepting && state.Instance == instance
	if changed {
		t.gate.MarkDown(time.Now())
	}
	if state.Instance == instance && (neterr.IsRefused(err) || errors.Is(err, errOtherInstance)) {
		t.gate.ProcessEnded(time.Now())
	}
	crash := t.gate.TakeCrash()
	t.mu.Unlock()
	t.node.crashes.recordCrash(crash)
	if changed {
		t.announceDown(instance, err)
	}
	t.node.health.checkNow()
}

// announceDown logs that the target is down and broadcasts a status.
func (t *localTarget) announceDown(instance string, err error) {
	t.node.events.targetDown(instance, err)
	t.node.peers.requestBroadcast()
}
