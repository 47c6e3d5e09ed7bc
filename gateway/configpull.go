package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"verbenatrestle/internal/wait"
)

// remotePullJitter bounds the delay of a fetch when a peer in another data centre was
// the first to tell of a new configuration. Meanwhile a peer in the own data centre
// may get it, so that the text crosses between data centres less often. A node without
// a configuration does not wait.
const remotePullJitter = 80 * time.Millisecond

// configPuller fetches configurations from peers, one at a time.
type configPuller struct {
	node *Node
	mu   sync.Mutex
}

// start begins to fetch the newest configuration that any peer has, unless a fetch
// runs already. It does not block. DataCentre is that of the peer that told of it.
func (c *configPuller) start(ctx context.Context, dataCentre string) {
	if !c.mu.TryLock() {
		return
	}
	go func() {
		defer c.mu.Unlock()
		if dataCentre != c.node.settings().DataCentre && c.node.config.snapshot().routes != nil {
			wait.For(ctx, rand.N(remotePullJitter))
		}
		for c.pullNewest(ctx) {
		}
	}()
}

// pullNewest fetches the configuration of one of the peers that have the newest one.
// It returns false if none is newer than the active one, or if the fetch failed.
func (c *configPuller) pullNewest(ctx context.Context) bool {
	number := c.node.config.snapshot().number()
	holder, ok := c.node.fleet.ConfigHolder(number, c.node.settings().DataCentre, rand.Float64(), time.Now())
	if !ok {
		return false
	}
	started := time.Now()
	c.node.metrics.configFetches.Inc(1)
	document, err := c.node.hopClient.config(ctx, holder.HopAddress)
	if err != nil {
		c.node.configLag.fetchFailed()
		c.node.events.configFetchFailed(holder.Node, holder.Number, time.Since(started), err)
		return false
	}
	if err := c.node.config.updateDocument(document, holder.Node); err != nil {
		c.node.events.badMessage("configuration", holder.Node, err)
		return false
	}
	return c.node.config.snapshot().number() > number
}
