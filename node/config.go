package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"verbenatrestle/process/configstore"
	"verbenatrestle/process/platform"
	"verbenatrestle/version"
)

const (
	// peerWait is how long a starting node that has heard from the platform
	// waits to hear from a peer as well, in case the platform's answer is old.
	peerWait = 2 * time.Second
	// configSpreadTime is the time over which the fleet's watches come back
	// after a change. Peers pass the change on much faster.
	configSpreadTime = 2 * time.Second
)

// configuration holds the configuration in force and follows the platform's.
type configuration struct {
	self      string
	client    *platform.Client
	store     *configstore.Store
	committer *configstore.Committer
	logger    log.Logger
	watchWait time.Duration
	empty     *version.Snapshot
	// onChange is called after each change, one at a time.
	onChange func(*version.Snapshot)

	// platformAnsweredAt is when the platform first answered, in Unix nanoseconds.
	platformAnsweredAt atomic.Int64
	peerConfirmed      atomic.Bool
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

// snapshot returns the configuration in force, an empty one before the first.
func (c *configuration) snapshot() *version.Snapshot {
	if s := c.store.Current(); s != nil {
		return s
	}
	return c.empty
}

// synced reports whether the node has asked platform and peers, so that it may
// serve. A peer alone is enough while the platform is out.
func (c *configuration) synced(alone bool, now time.Time) bool {
	if c.peerConfirmed.Load() {
		return true
	}
	at := c.platformAnsweredAt.Load()
	return at != 0 && (alone || now.UnixNano()-at > int64(peerWait))
}

// encodedDocument returns the configuration in force as it goes over the wire.
func (c *configuration) encodedDocument() (number uint64, data []byte, ok bool) {
	f := c.store.Active()
	if f == nil {
		return 0, nil, false
	}
	return f.Snapshot.Version(), f.Encoded, true
}

// updateFromPeer takes in a configuration that a peer sent.
func (c *configuration) updateFromPeer(from string, data []byte) {
	if _, err := c.store.UpdateIfNewer(time.Now(), data); err != nil {
		_ = level.Warn(c.logger).Log("msg", "configuration refused", "step", "take configuration", "peer", from, "err", err)
		return
	}
	c.peerConfirmed.Store(true)
}

// recordPeerVersion notes that a peer told its version. A peer without any may have just
// started as well.
func (c *configuration) recordPeerVersion(number uint64) {
	if number > 0 && number <= c.store.Version() {
		c.peerConfirmed.Store(true)
	}
}

// run follows the platform, and calls adopted for each change, until the
// context ends.
func (c *configuration) run(ctx context.Context) {
	watcher := &platform.Watcher{
		Client: c.client,
		Prefix: configstore.Key,
		Handle: c.updateFromPlatform,
		Logger: c.logger,
		Rand:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Wait:   c.watchWait,
		Spread: configSpreadTime,
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

// updateFromPlatform takes in what the platform says.
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
