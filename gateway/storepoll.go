package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/platform"
	"verbenatrestle/process/fleet"
	store "verbenatrestle/process/platform"
)

// pollConfig loads the initial state and then polls the store until the
// context ends.
func (s *storeSync) pollConfig(ctx context.Context) {
	if err := s.loadInitial(ctx); err != nil {
		s.recordCallResult(err)
	}
	_, _ = s.waitForReturn(ctx, firstPollDelay+rand.N(firstPollDelay)) // the loop notices the end of the context
	s.polling.Store(true)
	s.node.peers.requestBroadcast()
	for s.waitForNextPoll(ctx) {
		s.polledAt = time.Now()
		s.recordCallResult(s.poll(ctx))
		s.takeRegained() // this poll was the one that follows
	}
}

// waitForReturn waits for the given time, or until the store is reachable again after a
// failure, which it reports. The others stop polling when they learn of that. It returns
// the error of the context if that ends first.
func (s *storeSync) waitForReturn(ctx context.Context, longest time.Duration) (regained bool, err error) {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false, nil
	case <-s.regained:
		return true, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// takeRegained drops a pending value of regained, if there is one.
func (s *storeSync) takeRegained() {
	select {
	case <-s.regained:
	default:
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
	s.recordCallResult(nil) // the role of this node depends on it
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

// waitForNextPoll waits until the next poll of this node, which its role decides. It
// returns false when the context ends. An active watcher begins with a poll: the others leave
// the reads to it as soon as they know it.
func (s *storeSync) waitForNextPoll(ctx context.Context) bool {
	role := s.watchRole()
	if s.polledAt.IsZero() && role.Active {
		return ctx.Err() == nil
	}
	schedule := fleet.NewStorePollSchedule(role, rand.Float64())
	last := s.polledAt
	for {
		now := time.Now()
		if last.IsZero() {
			last = now
		}
		role, nodes := s.watchRole(), s.node.fleet.NodeCount(now)
		if role != s.loggedRole {
			s.loggedRole = role
			s.node.events.storeRole(role, nodes)
		}
		due, remaining := schedule.Advance(role, nodes, now.Sub(last))
		if due {
			return ctx.Err() == nil
		}
		last = now
		switch regained, err := s.waitForReturn(ctx, min(remaining, s.nextRoleCheck(role, now))); {
		case err != nil:
			return false
		case regained:
			return true
		}
	}
}

// nextRoleCheck returns the time until the role of this node has to be determined again. A
// standby node does so at the moment at which it takes the place of watchers that are lost.
func (s *storeSync) nextRoleCheck(role fleet.StoreWatchRole, now time.Time) time.Duration {
	if !role.Reaches || role.Active {
		return roleCheckInterval
	}
	activeIn := s.node.fleet.ActiveIn(s.node.settings().Name, s.maxWatchers(), now)
	return min(max(activeIn, minRoleCheckInterval), roleCheckInterval)
}
