package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"verbenatrestle/process/configstore"
	"verbenatrestle/process/platform"
	"verbenatrestle/version"
)

const (
	// peerWait is how long a starting node that has received the platform's
	// configuration waits for one from a peer, in case the platform's is stale.
	peerWait = 2 * time.Second
	// maxWatchDelay bounds the random delay between a change and the next watch,
	// so that the watches of all nodes are spread over this time. It doesn't delay
	// the change, which gossip distributes much faster.
	maxWatchDelay = 2 * time.Second
	// announcementTTL is how long a newer version that a peer announced counts as one
	// that this node lacks. Most take milliseconds to fetch.
	announcementTTL = 5 * time.Second
	// maxOutdated is how long a node may go on by its active configuration while peers
	// announce a newer one. Changes have to be in force everywhere within four seconds.
	maxOutdated = 3500 * time.Millisecond
)

// configuration holds the active configuration and watches the platform for newer
// versions.
type configuration struct {
	self      string
	client    *platform.Client
	store     *configstore.Store
	committer *configstore.Committer
	logger    log.Logger
	watchWait time.Duration
	// empty is the snapshot before the first configuration.
	empty *version.Snapshot
	// onChange is called after a change with the active configuration. Calls do
	// not overlap, and changes in quick succession may share a call.
	onChange func(*version.Snapshot)

	// platformAnsweredAt is the time of the platform's first response, in Unix
	// nanoseconds. Zero means that there was none.
	platformAnsweredAt atomic.Int64
	// peerConfirmed is set once a peer has sent a configuration, or has announced
	// a version that is not newer than the active one.
	peerConfirmed atomic.Bool
	// announced is the latest version above the active one that a peer announced, and
	// announcedAt when, in Unix nanoseconds.
	announced   atomic.Uint64
	announcedAt atomic.Int64

	mu sync.Mutex
	// missing holds the announced versions above the active one.
	missing configstore.MissingVersions
	// undecodable is the announced version at the time at which a peer sent a document that
	// this node can't decode.
	undecodable atomic.Uint64
}

func newConfiguration(self string, client *platform.Client, logger log.Logger, watchWait time.Duration) *configuration {
	c := &configuration{
		self:      self,
		client:    client,
		store:     configstore.NewStore(),
		logger:    logger,
		watchWait: watchWait,
		empty:     version.NewSnapshot(0, time.Time{}, nil, nil, nil),
	}
	c.committer = configstore.NewCommitter(configstore.Config{
		Client:  client,
		Store:   c.store,
		Now:     time.Now,
		Sleep:   configstore.Sleep,
		NewRand: newRandom,
	})
	return c
}

// snapshot returns the active configuration, or an empty one if there is none.
func (c *configuration) snapshot() *version.Snapshot {
	if s := c.store.Current(); s != nil {
		return s
	}
	return c.empty
}

// synced reports whether the node has learned the current configuration, so that
// it may serve. This needs the confirmation of a peer, or the platform's response
// and either no peers (alone) or peerWait without a confirmation. A peer is enough
// during an outage of the platform.
func (c *configuration) synced(alone bool, now time.Time) bool {
	if c.peerConfirmed.Load() {
		return true
	}
	at := c.platformAnsweredAt.Load()
	return at != 0 && (alone || now.UnixNano()-at > int64(peerWait))
}

// encodedDocument returns the active configuration in the encoding that nodes
// send to each other. It returns false if there is none.
func (c *configuration) encodedDocument() (number uint64, data []byte, ok bool) {
	active := c.store.Active()
	if active == nil {
		return 0, nil, false
	}
	return active.Snapshot.Version(), active.Encoded, true
}

// updateFromPeer activates a configuration that a peer sent if it is newer than
// the active one.
func (c *configuration) updateFromPeer(from string, data []byte) {
	if _, err := c.store.UpdateIfNewer(time.Now(), data); err != nil {
		c.undecodable.Store(c.announced.Load())
		_ = level.Warn(c.logger).Log("msg", "configuration refused", "step", "take configuration", "peer", from, "err", err)
		return
	}
	c.peerConfirmed.Store(true)
}

// recordPeerVersion records the version that a peer announced. Version 0 confirms
// nothing, because such a peer may have just started as well.
func (c *configuration) recordPeerVersion(number uint64) {
	switch {
	case number > c.store.Version():
		if number >= c.announced.Load() {
			now := time.Now()
			c.announced.Store(number)
			c.announcedAt.Store(now.UnixNano())
			c.mu.Lock()
			c.missing.Received(number, c.store.Version(), now)
			c.mu.Unlock()
		}
	case number > 0:
		c.peerConfirmed.Store(true)
	}
}

// outdated reports whether a peer has lately announced a newer version than the active
// one. What the active one does not allow may be allowed by that one.
func (c *configuration) outdated(now time.Time) bool {
	return c.announced.Load() > c.store.Version() && now.UnixNano()-c.announcedAt.Load() < int64(announcementTTL)
}

// overdue reports whether peers have announced a newer version for a time in which it should
// have become active. It may treat any request in another way than the active one.
func (c *configuration) overdue(now time.Time) bool {
	if !c.outdated(now) || c.undecodable.Load() == c.announced.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.missing.Activated(c.store.Version())
	since := c.missing.Since()
	return !since.IsZero() && now.Sub(since) >= maxOutdated
}

// run watches the platform and calls onChange after changes until the context
// ends.
func (c *configuration) run(ctx context.Context) {
	watcher := &platform.Watcher{
		Client:       c.client,
		Prefix:       configstore.Key,
		OnUpdate:     c.updateFromPlatform,
		Logger:       c.logger,
		Rand:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Wait:         c.watchWait,
		ChangeJitter: maxWatchDelay,
	}
	go watcher.Run(ctx)
	for ctx.Err() == nil {
		changed := c.store.Changed()
		if s := c.store.Current(); s != nil {
			c.onChange(s)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// updateFromPlatform activates the configuration of the platform if it is newer
// than the active one.
func (c *configuration) updateFromPlatform(u platform.Update) {
	for _, o := range u.Objects {
		if o.Key != configstore.Key || o.Deleted {
			continue
		}
		if _, err := c.store.UpdateIfNewer(time.Now(), o.Value); err != nil {
			_ = level.Warn(c.logger).Log("msg", "configuration refused", "step", "take configuration", "peer", "platform", "err", err)
		}
	}
	c.platformAnsweredAt.CompareAndSwap(0, time.Now().UnixNano())
}
