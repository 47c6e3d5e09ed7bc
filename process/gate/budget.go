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

// unusedShare is what safetyFactor leaves unused, as a share of what is used.
const unusedShare = (1 - safetyFactor) / safetyFactor

// allowsOneMore reports whether one more retry fits into that share of a budget.
func allowsOneMore(budget float64, retries int, share float64) bool {
	return float64(retries+1) <= share*safetyFactor*budget
}

// budget returns this target's part of the retry budget: that of its first sends, and its part
// of the slack, which is zero until the number of targets is known. Before SlackFrom, an earlier
// process of the node may have used its whole part within the window, by the first sends before
// the window. Then the part is what safetyFactor leaves unused, and has no slack if there may
// have been more than one such process. Each first send counts at one process only, so any
// number of processes may have a share of theirs.
func (g *Gate) budget(now time.Time) float64 {
	settings := g.settings.RetryBudget
	forFirsts, slack := settings.Ratio*float64(g.firstSends.count(now)), 0.0
	if g.serviceTargets > 0 {
		slack = settings.Slack / float64(g.serviceTargets)
	}
	switch {
	case !now.Before(g.settings.SlackFrom):
		return forFirsts + slack
	case g.followsWholeSlack:
		return unusedShare * (forFirsts + slack)
	}
	return unusedShare * forFirsts
}

// ConfirmOneProcessBefore records that the process of the node before this one had the whole
// slack, so that those before it ended longer than a window ago.
func (g *Gate) ConfirmOneProcessBefore() { g.followsWholeSlack = true }

// budgetRetryAfter returns the RetryAfter of a refusal by the retry budget. Before SlackFrom
// it is zero: the gates of other targets may have the part that this one lacks.
func (g *Gate) budgetRetryAfter(now time.Time) time.Duration {
	if now.Before(g.settings.SlackFrom) {
		return 0
	}
	return minRetryAfter
}
