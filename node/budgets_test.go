package node

import (
	"testing"
	"time"
)

func TestZeroRatioDisablesRetriesAndHedges(t *testing.T) {
	now := time.Unix(1000, 0)
	off := newBudgets(Budgets{}).of("org/s", now)
	on := newBudgets(Budgets{RetryRatio: 1, HedgeRatio: 1}).of("org/s", now)
	for range 100 {
		off.hedge.RecordRequest()
		on.hedge.RecordRequest()
		off.retry.RecordSuccess()
		on.retry.RecordSuccess()
	}
	later := now.Add(time.Hour)
	if off.retry.AllowAfterRefusal(later) || off.retry.AllowAfterUnknown(later) || off.hedge.Allow(later) {
		t.Error("a share of zero allows a further attempt")
	}
	if !on.retry.AllowAfterUnknown(later) || !on.hedge.Allow(later) {
		t.Error("a share of one allows no further attempt")
	}
}
