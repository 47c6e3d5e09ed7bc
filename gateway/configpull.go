package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/internal/wait"
	"verbenatrestle/process/fleet"
)

const (
	// configReadTimeout bounds each wait for bytes of a configuration, and
	// configFetchTimeout the whole transfer, which may take seconds on a slow link.
	configReadTimeout  = 600 * time.Millisecond
	configFetchTimeout = 5 * time.Second
	// configTransferTimeout is how long a transfer counts for
	// fleet.MaxConfigTransfers.
	configTransferTimeout = 2 * time.Second
	// minHolderBusy and maxHolderBusy bound the random time for which a peer that was
	// busy with other transfers is not asked again. Most transfers end within that
	// time, and their receivers can be asked as well.
	minHolderBusy = 40 * time.Millisecond
	maxHolderBusy = 160 * time.Millisecond
	// pullRetryInterval is the mean interval at which a node that knows of a newer
	// configuration checks whether a peer can be asked for it.
	pullRetryInterval = 40 * time.Millisecond
)

// errConfigBusy means that a node sends as many configurations as it may.
var errConfigBusy = errors.New("the node is busy sending configurations")

// configPuller fetches configurations from peers, one at a time.
type configPuller struct {
	node *Node
	mu   sync.Mutex
}

// start begins to fetch the newest configuration that any peer has, unless a fetch
// runs already. It does not block.
func (c *configPuller) start(ctx context.Context) {
	if !c.mu.TryLock() {
		return
	}
	go func() {
		defer c.mu.Unlock()
		c.pull(ctx)
	}()
}

// pull fetches configurations until no peer in reach has a newer one than this node.
func (c *configPuller) pull(ctx context.Context) {
	for ctx.Err() == nil && c.node.isOutdated(c.node.config.snapshot(), time.Now()) {
		if !c.fetch(ctx) {
			wait.For(ctx, pullRetryInterval/2+rand.N(pullRetryInterval))
		}
	}
}

// fetch asks one of the peers that have the newest configuration for it. It returns
// false if no peer can be asked now, or if the fetch failed. The peer is then not asked
// again for a while.
func (c *configPuller) fetch(ctx context.Context) bool {
	number := c.node.config.snapshot().number()
	started := time.Now()
	holder, ok := c.node.fleet.ConfigHolder(number, c.node.settings().DataCentre, rand.Float64(), started)
	if !ok {
		return false
	}
	document, err := c.node.hopClient.config(ctx, holder.HopAddress)
	if err == nil {
		c.node.metrics.configFetches.Inc(1)
		if err = c.node.config.updateDocument(document, holder.Node); err == nil {
			return c.node.config.snapshot().number() > number
		}
	}
	c.fetchFailed(holder, started, err)
	return false
}

// fetchFailed records that a peer did not send its configuration.
func (c *configPuller) fetchFailed(holder fleet.ConfigHolder, started time.Time, err error) {
	now := time.Now()
	if errors.Is(err, errConfigBusy) {
		c.node.metrics.configHolderBusy.Inc(1)
		c.node.fleet.AvoidConfigHolder(holder.Node, now.Add(minHolderBusy+rand.N(maxHolderBusy-minHolderBusy)))
		return
	}
	c.node.configLag.fetchFailed()
	c.node.events.configFetchFailed(holder.Node, holder.Number, now.Sub(started), err)
	c.node.fleet.AvoidConfigHolder(holder.Node, now.Add(avoidFor))
}
