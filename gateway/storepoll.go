package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/internal/wait"
	"verbenatrestle/platform"
	store "verbenatrestle/process/platform"
)

// pollConfig loads the initial state and then polls the store until the
// context ends.
func (s *storeSync) pollConfig(ctx context.Context) {
	if err := s.loadInitial(ctx); err != nil {
		s.recordCallResult(err)
	}
	s.waitForPoll(ctx, firstPollDelay+rand.N(firstPollDelay))
	for s.waitForNextPoll(ctx) {
		err := s.poll(ctx)
		s.recordCallResult(err)
		if err == nil {
			s.takeRegained()
		}
	}
}

// waitForPoll waits for the given time, or until the store is reachable again after a
// failure. The others stop polling when they learn of that. It returns false if the
// context ends first.
func (s *storeSync) waitForPoll(ctx context.Context, longest time.Duration) bool {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.regained:
		return true
	case <-ctx.Done():
		return false
	}
}

// takeRegained drops a pending value of regained, if there is one, and reports whether
// there was.
func (s *storeSync) takeRegained() bool {
	select {
	case <-s.regained:
		return true
	default:
		return false
	}
}

// poll lists the data centres out of service. If the store has changed since the
// configuration was last read, an active watcher then asks for changes of the
// configuration. Other nodes get configurations from their peers.
func (s *storeSync) poll(ctx context.Context) error {
	revision, err := s.listEvacuations(ctx)
	if err != nil {
		return err
	}
	if s.node.config.snapshot().routes == nil {
		return s.verifyConfig(ctx, revision)
	}
	if !s.watchRole().Active || revision == s.configRevision.Load() {
		return nil
	}
	err = s.watchConfigBriefly(ctx)
	if errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrNoResponse) {
		return s.verifyConfig(ctx, revision)
	}
	if err != nil || time.Since(s.verifiedAt) < configVerifyInterval {
		return err
	}
	return s.verifyConfig(ctx, revision)
}

// watchConfigBriefly applies the changes of the configuration since it was last read, as
// far as a watch reports them at once. That transfers the text of the configuration only
// if it has changed. A watch that reports no change proves nothing: while the store
// compacts its history, watches stall.
func (s *storeSync) watchConfigBriefly(ctx context.Context) error {
	objects, revision, err := s.briefClient.Watch(ctx, platform.PrefixConfig, s.configRevision.Load(), briefWatchWait)
	if err != nil {
		return err
	}
	s.applyConfig(store.Update{Objects: objects, Revision: revision})
	return nil
}

// verifyConfig reads the configuration, as of a revision of the store or later.
func (s *storeSync) verifyConfig(ctx context.Context, revision uint64) error {
	if err := s.readConfig(ctx); err != nil {
		return err
	}
	s.confirmConfig(revision)
	s.verifiedAt = time.Now()
	return nil
}

// confirmConfig records that the configuration was read as of a revision.
func (s *storeSync) confirmConfig(revision uint64) {
	for known := s.configRevision.Load(); revision > known; known = s.configRevision.Load() {
		if s.configRevision.CompareAndSwap(known, revision) {
			return
		}
	}
}

// waitForNextPoll waits until the next poll of this node. A standby node that
// becomes active polls at once. It returns false when the context ends.
func (s *storeSync) waitForNextPoll(ctx context.Context) bool {
	role := s.watchRole()
	if role.Active {
		mean := activePollInterval * time.Duration(role.Watchers)
		return s.waitForPoll(ctx, time.Duration(float64(mean)*(0.75+rand.Float64()/2)))
	}
	mean := max(standbyPollInterval, standbyPollIntervalPerNode*time.Duration(s.node.fleet.NodeCount(time.Now())))
	until := time.Now().Add(time.Duration(rand.ExpFloat64() * float64(mean)))
	for time.Now().Before(until) && !s.watchRole().Active {
		if s.takeRegained() {
			return true
		}
		if !wait.For(ctx, roleCheckInterval) {
			return false
		}
	}
	return ctx.Err() == nil
}
