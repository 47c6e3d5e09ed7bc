package gate

import "time"

// RetryBudget limits the retries at the targets of a service, as a share of the
// first sends. A retry is any send of a request beyond its first one. Each gate
// enforces its own part of the budget, by the requests that it admits itself.
type RetryBudget struct {
	// Ratio is the number of retries allowed for each first send.
	Ratio float64
	// Slack is the number of retries that the whole service may have in addition.
	// The targets share it equally.
	Slack float64
	// Window is the time span in which retries and first sends are counted.
	Window time.Duration
}

// safetyFactor is the part of the budget that is used. Events near the edge of a
// window may be counted on its other side.
const safetyFactor = 0.8

// possibleRerunShare is the part of the budget for retries of requests that may
// have run before. Those that did also repeat their nested calls to other
// services.
const possibleRerunShare = 0.3

// directRetryShare is the part of the budget for retries by senders at a target that also
// receives nested calls. The rest is left for nested calls of runs that are retries: they
// count as retries too, and are not refused.
const directRetryShare = 0.75

// allows reports whether one more retry fits into that share of the budget, at a target
// with the given part of the slack.
func (b RetryBudget) allows(firsts, retries int, slack, share float64) bool {
	allowance := share * safetyFactor * (b.Ratio*float64(firsts) + slack)
	return float64(retries+1) <= allowance
}

// slack returns the part of the retry budget's slack that this target has. It is zero until
// the number of targets is known. Before SlackFrom it is what safetyFactor leaves unused if
// only one earlier process of the node may have used the rest, and zero if there may have
// been more.
func (g *Gate) slack(now time.Time) float64 {
	if g.serviceTargets == 0 {
		return 0
	}
	slack := g.settings.RetryBudget.Slack / float64(g.serviceTargets)
	switch {
	case !now.Before(g.settings.SlackFrom):
		return slack
	case g.followsWholeSlack:
		return slack * (1 - safetyFactor) / safetyFactor
	}
	return 0
}

// ConfirmOneProcessBefore records that the process of the node before this one had the whole
// slack, so that those before it ended longer than a window ago.
func (g *Gate) ConfirmOneProcessBefore() { g.followsWholeSlack = true }
