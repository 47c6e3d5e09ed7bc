package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/internal/wait"
	"verbenatrestle/process/fleet"
	"verbenatrestle/process/journal"
)

const (
	// configReadTimeout bounds each wait for bytes of a configuration, which allows for
	// two lost packets in a row, and configFetchTimeout the whole transfer, which may
	// take seconds on a slow link.
	configReadTimeout  = 800 * time.Millisecond
	configFetchTimeout = 5 * time.Second
	// configTransferTimeout is how long a transfer counts for
	// fleet.MaxConfigTransfers.
	configTransferTimeout = 2 * time.Second
	// slowLinkBytesPerSecond is the rate of the slowest links of VMs, 10 Mbit/s.
	slowLinkBytesPerSecond = 10e6 / 8
	// minHolderBusy and maxHolderBusy bound the random time for which a peer that was
	// busy with other transfers is not asked again. Most transfers end within that
	// time, and their receivers can be asked as well.
	minHolderBusy = 40 * time.Millisecond
	maxHolderBusy = 160 * time.Millisecond
	// undecodableRetryInterval is how long a configuration that could not be decoded is
	// not fetched again from the same peer, nor from any if two peers sent it.
	undecodableRetryInterval = 10 * time.Second
	// storeReadAfterFailure is how long a node stays outdated before it reads the store
	// itself if a fetch from a peer has failed, and storeReadAfter if none has, so that
	// its peers are only busy. storeReadInterval is the mean interval of such reads.
	storeReadAfterFailure = 700 * time.Millisecond
	storeReadAfter        = 2500 * time.Millisecond
	storeReadInterval     = 2 * time.Second
	// storeReadersAtOnce is how many of the outdated nodes of a fleet begin such a read
	// within pullRetryInterval.
	storeReadersAtOnce = 20
	// pullRetryInterval is the mean interval at which a node that knows of a newer
	// configuration checks whether a peer can be asked for it.
	pullRetryInterval = 40 * time.Millisecond
)

// errConfigBusy means that a node sends as many configurations as it may.
var errConfigBusy = errors.New("the node is busy sending configurations")

// transferTime returns how long a slow link needs for a number of bytes.
func transferTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / slowLinkBytesPerSecond * float64(time.Second))
}

// configPuller fetches configurations from peers, one at a time.
type configPuller struct {
	// pull fetches configurations until no peer in reach has a newer one.
	pull func(context.Context)

	mu      sync.Mutex
	running bool
	// again is set if start was called while a pull was running.
	again bool

	// undecodable is the number of the latest configuration that could not be decoded,
	// undecodableFrom the peer that sent it first, and undecodableAt when another one
	// confirmed it. Only the pull uses them.
	undecodable     uint64
	undecodableFrom string
	undecodableAt   time.Time
	// nextStoreRead is the earliest time of the next read of the store. Only the pull
	// uses it.
	nextStoreRead time.Time
	// readingStore is set while a read of the store runs.
	readingStore atomic.Bool
}

// start begins a pull, or another one after the pull that runs. It does not block.
func (c *configPuller) start(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running {
		c.again = true
		return
	}
	c.running = true
	go c.run(ctx)
}

// run pulls until start was not called during a pull.
func (c *configPuller) run(ctx context.Context) {
	for {
		c.pull(ctx)
		c.mu.Lock()
		if !c.again {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.again = false
		c.mu.Unlock()
	}
}

// pullConfig fetches configurations until this node has the newest one that it knows
// of. Reads of the store run beside the fetches from peers, since each may take seconds
// without a result.
func (n *Node) pullConfig(ctx context.Context) {
	puller := &n.peers.configPuller
	for ctx.Err() == nil && n.configLag.outdated(n.config.snapshot().number(), time.Now()) {
		if n.fetchConfig(ctx) {
			continue
		}
		if !puller.readingStore.Load() && n.storeReadDue(time.Now()) {
			puller.readingStore.Store(true)
			go func() {
				defer puller.readingStore.Store(false)
				n.readConfigFromStore(ctx)
			}()
		}
		wait.For(ctx, pullRetryInterval/2+rand.N(pullRetryInterval))
	}
}

// storeReadDue reports whether this node has to read the configuration from the store,
// because the peers have failed to send a newer one for too long, also if the latest call to
// the store failed: that may have been long ago.
func (n *Node) storeReadDue(now time.Time) bool {
	puller := &n.peers.configPuller
	outdatedFor, failures := n.configLag.elapsed(now)
	due := outdatedFor >= storeReadAfter || failures > 0 && outdatedFor >= storeReadAfterFailure
	if !due || now.Before(puller.nextStoreRead) || puller.isUndecodable(puller.undecodable, now) {
		return false
	}
	outdated := n.fleet.OutdatedNodes(n.configLag.newestKnown(), now)
	if rand.Float64()*float64(outdated) >= storeReadersAtOnce {
		return false
	}
	puller.nextStoreRead = now.Add(storeReadInterval/2 + rand.N(storeReadInterval))
	return true
}

// readConfigFromStore reads the configuration from the store, and reports whether it did.
func (n *Node) readConfigFromStore(ctx context.Context) bool {
	err := n.store.readConfig(ctx)
	n.store.recordCallResult(err)
	if err != nil {
		n.events.log(journal.Change, "config_read_failed", "dependency", "store", "err", err)
	}
	return err == nil
}

// fetchConfig asks one of the peers that have the newest configuration for it. It returns
// false if no peer can be asked now, or if the fetch failed. The peer is then not asked
// again for a while.
func (n *Node) fetchConfig(ctx context.Context) bool {
	number := n.config.snapshot().number()
	started := time.Now()
	puller := &n.peers.configPuller
	holder, ok := n.fleet.ConfigHolder(number, n.settings().DataCentre, rand.Float64(), started)
	if !ok || puller.isUndecodable(holder.Number, started) {
		return false
	}
	document, err := n.hopClient.config(ctx, holder.HopAddress)
	if err != nil {
		n.configFetchFailed(holder, started, err)
		return false
	}
	n.metrics.configFetches.Inc(1)
	if err := n.config.updateDocument(document, holder.Node); err != nil {
		puller.recordUndecodable(holder, time.Now())
		if puller.isUndecodable(holder.Number, time.Now()) {
			n.configLag.recordUndecodable(holder.Number)
		}
		n.configFetchFailed(holder, started, err)
		n.fleet.AvoidConfigHolder(holder.Node, time.Now().Add(undecodableRetryInterval))
		return false
	}
	return n.config.snapshot().number() > number
}

// recordUndecodable records that a configuration of a peer could not be decoded. One
// peer may have a damaged copy; if a second one has the same, no peer is asked for it for
// a while.
func (c *configPuller) recordUndecodable(holder fleet.ConfigHolder, now time.Time) {
	if c.undecodable != holder.Number {
		c.undecodable, c.undecodableFrom, c.undecodableAt = holder.Number, holder.Node, time.Time{}
		return
	}
	if c.undecodableFrom != holder.Node {
		c.undecodableAt = now
	}
}

// isUndecodable reports whether two peers have lately sent a configuration with the
// number that could not be decoded.
func (c *configPuller) isUndecodable(number uint64, now time.Time) bool {
	return number == c.undecodable && now.Sub(c.undecodableAt) < undecodableRetryInterval
}

// configFetchFailed records that a peer did not send its configuration.
func (n *Node) configFetchFailed(holder fleet.ConfigHolder, started time.Time, err error) {
	now := time.Now()
	if errors.Is(err, errConfigBusy) {
		n.metrics.configHolderBusy.Inc(1)
		n.fleet.AvoidConfigHolder(holder.Node, now.Add(minHolderBusy+rand.N(maxHolderBusy-minHolderBusy)))
		return
	}
	n.configLag.fetchFailed()
	n.events.configFetchFailed(holder.Node, holder.Number, now.Sub(started), err)
	n.fleet.ConfigHolderFailed(holder.Node, now.Add(avoidFor), now)
}
