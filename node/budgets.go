package node

import (
	"sync"
	"time"

	"verbenatrestle/request"
	"verbenatrestle/version"
)

// budgets holds the retry and hedge budgets of every service at this node.
type budgets struct {
	retry request.RetryPolicy
	hedge request.HedgePolicy

	mu       sync.RWMutex
	services map[version.ServiceID]*serviceBudget
}

// serviceBudget holds the budgets of one service.
type serviceBudget struct {
	retry *request.RetryBudget
	hedge *request.HedgeBudget
}

func newBudgets(s Budgets) *budgets {
	retry := request.DefaultRetryPolicy
	retry.Ratio = s.RetryRatio
	if s.RetryRatio == 0 {
		retry = request.RetryPolicy{}
	}
	hedge := request.DefaultHedgePolicy
	hedge.Ratio = s.HedgeRatio
	return &budgets{retry: retry, hedge: hedge, services: make(map[version.ServiceID]*serviceBudget)}
}

// of returns the budgets of a service, new ones if it has none yet.
func (b *budgets) of(id version.ServiceID, now time.Time) *serviceBudget {
	b.mu.RLock()
	s := b.services[id]
	b.mu.RUnlock()
	if s != nil {
		return s
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s = b.services[id]; s == nil {
		s = &serviceBudget{
			retry: request.NewRetryBudget(b.retry, now),
			hedge: request.NewHedgeBudget(b.hedge, now),
		}
		b.services[id] = s
	}
	return s
}

// keep drops the budgets of services that are not in the snapshot.
func (b *budgets) keep(s *version.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.services {
		if s.Service(id) == nil {
			delete(b.services, id)
		}
	}
}
