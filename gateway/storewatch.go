package gateway

import (
	"context"
	"sync"
	"time"

	"verbenatrestle/internal/wait"
	"verbenatrestle/platform"
	"verbenatrestle/process/fleet"
)

// mayWatch reports whether other nodes may leave the reads of the store to this one: it
// reaches the store, and its polls have begun.
func (s *storeSync) mayWatch() bool { return s.reachable.Load() && s.polling.Load() }

// watchRole returns the current role of this node in watching the store.
func (s *storeSync) watchRole() fleet.StoreWatchRole {
	role := s.node.fleet.StoreWatchRole(s.node.settings().Name, s.mayWatch(), s.maxWatchers(), time.Now())
	role.AwaitsWatch = role.Active && !s.watching.Load()
	return role
}

// maxWatchers returns the number of nodes that watch the store for a fleet of the
// present size.
func (s *storeSync) maxWatchers() int {
	if s.node.fleet.NodeCount(time.Now()) >= largeFleet {
		return maxActiveWatchersLarge
	}
	return maxActiveWatchers
}

// watchWhileActive watches the store while this node is an active watcher.
func (s *storeSync) watchWhileActive(ctx context.Context) {
	consecutive := 0
	for wait.For(ctx, roleCheckInterval) {
		consecutive++
		if !s.shouldWatch() {
			consecutive = 0
		}
		if consecutive < roleChecksBeforeWatch {
			continue
		}
		watchCtx, stop := context.WithCancel(ctx)
		var group sync.WaitGroup
		s.watching.Store(true)
		group.Go(func() { s.newWatcher(s.textClient, platform.PrefixConfig, s.applyConfig).Run(watchCtx) })
		group.Go(func() { s.newWatcher(s.client, platform.PrefixEvacuations, s.applyEvacuations).Run(watchCtx) })
		for s.shouldWatch() && wait.For(ctx, roleCheckInterval) {
		}
		s.watching.Store(false)
		stop()
		group.Wait()
	}
}

// shouldWatch reports whether this node reaches the store and is an active
// watcher.
func (s *storeSync) shouldWatch() bool { return s.watchRole().Active }
