package gate

import "time"

// RetryBudget bounds the requests that are sent to targets of a service
// beyond the first time, as a share of those sent for the first time. Each gate
// keeps its part of the service's allowance by itself.
type RetryBudget struct {
	// Ratio is how many repeats a first send allows.
	Ratio float64
	// Slack is how many repeats the whole service may have beside those.
	Slack float64
	// Window is the span in which both are counted.
	Window time.Duration
}

// safetyFactor is the part of the budget that is used. Events near the edge of a
// window may be counted on its other side.
const safetyFactor = 0.8

// possibleRerunShare is the part of the budget for requests that have run before. Each
// of them repeats its calls at other services too.
const possibleRerunShare = 0.3

// allows reports whether one more repeat keeps that share of the budget of a
// service with that many targets.
func (b RetryBudget) allows(firsts, repeats, targets int, share float64) bool {
	allowance := share * safetyFactor * (b.Ratio*float64(firsts) + b.Slack/float64(max(targets, 1)))
	return float64(repeats+1) <= allowance
}
