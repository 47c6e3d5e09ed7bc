package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"verbenatrestle/internal/wait"
	"verbenatrestle/process/membership"
	"verbenatrestle/process/platform"
)

const (
	// memberPrefix is the prefix of the keys of member objects at the platform.
	memberPrefix = "members/"
	// startupLists is how many times a node lists the members soon after its
	// start, when other nodes may be starting as well.
	startupLists = 3
	// largeFleet is the number of present peers from which a node skips the
	// repeated lists after its start: gossip with so many peers finds the others,
	// and listing a large fleet is expensive.
	largeFleet = 64
	// earlyListPause is the mean time between the lists after the start, and also
	// while no peer is present.
	earlyListPause = 3 * time.Second
	// listPause is the mean time between later lists. They join the parts of a
	// fleet that was partitioned for so long that its parts no longer have
	// records of each other.
	listPause = 10 * time.Minute
)

// directory writes the node's member object to the platform and reads those of
// the other nodes. The object is written when it changes, not as a heartbeat.
type directory struct {
	client *platform.Client
	table  *membership.Table
	// seed adds members to the member table.
	seed   func(time.Time, []membership.Member)
	logger log.Logger
	rng    *rand.Rand

	mu sync.Mutex
	// desired is the member object to be written.
	desired *membership.Member
	// writtenVersion is the platform's version of the member object, 0 if unknown.
	writtenVersion uint64
	wake           chan struct{}
}

func newDirectory(client *platform.Client, table *membership.Table, seed func(time.Time, []membership.Member), logger log.Logger, rng *rand.Rand) *directory {
	return &directory{
		client: client,
		table:  table,
		seed:   seed,
		logger: logger,
		rng:    rng,
		wake:   make(chan struct{}, 1),
	}
}

// publish makes runWriter write the member object, which it retries during an
// outage of the platform.
func (d *directory) publish(m membership.Member) {
	d.mu.Lock()
	d.desired = &m
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// runWriter writes the member object after each publish until the context ends.
func (d *directory) runWriter(ctx context.Context) {
	var backoff platform.Backoff
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		}
		for ctx.Err() == nil {
			err := d.writeOnce(ctx)
			if err == nil {
				backoff.Reset()
				break
			}
			_ = level.Debug(d.logger).Log("msg", "write member object", "err", err)
			wait.For(ctx, backoff.Next(rng))
		}
	}
}

// writeOnce writes the desired object once. After a conflict, the next write
// overwrites the stored object: only this node writes it, so the conflict comes
// from an earlier incarnation or from a write whose response was lost.
func (d *directory) writeOnce(ctx context.Context) error {
	d.mu.Lock()
	desired := d.desired
	known := d.writtenVersion
	d.mu.Unlock()
	value, err := json.Marshal(desired)
	if err != nil {
		return errors.Wrap(err, "encode member object")
	}
	written, err := d.client.Put(ctx, memberPrefix+desired.Node, value, known)
	var conflict *platform.ConflictError
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil:
		d.writtenVersion = written
	case errors.As(err, &conflict):
		d.writtenVersion = conflict.Version // zero if the object is gone, so the next write creates it
	}
	return err
}

// remove deletes the member object at the planned stop of the node.
func (d *directory) remove(ctx context.Context) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.desired == nil || d.writtenVersion == 0 {
		return nil
	}
	return d.client.Delete(ctx, memberPrefix+d.desired.Node, d.writtenVersion)
}

// runReader lists the members at the start, a few times soon after, and then at
// long intervals, until the context ends. It calls onFirstList after the first
// successful list.
func (d *directory) runReader(ctx context.Context, onFirstList func()) {
	var backoff platform.Backoff
	for n := 0; ctx.Err() == nil; {
		if err := d.list(ctx); err != nil {
			_ = level.Debug(d.logger).Log("msg", "list members", "err", err)
			wait.For(ctx, backoff.Next(d.rng))
			continue
		}
		backoff.Reset()
		if n == 0 {
			onFirstList()
		}
		mean := listPauseAfter(n, d.presentPeers())
		n++
		wait.For(ctx, mean/2+rand.N(mean))
	}
}

// listPauseAfter returns the mean time until the next list after n+1 lists, if the
// given number of peers are present.
func listPauseAfter(n, present int) time.Duration {
	early := n < startupLists && present < largeFleet
	if early || present == 0 {
		return earlyListPause
	}
	return listPause
}

// presentPeers returns the number of other members that are present.
func (d *directory) presentPeers() int {
	self := d.table.Self().Node
	count := 0
	for _, m := range d.table.Members() {
		if m.Status.Present() && m.Node != self {
			count++
		}
	}
	return count
}

// list reads all member objects and seeds the member table with them. It skips
// objects that can't be decoded.
func (d *directory) list(ctx context.Context) error {
	objects, _, err := d.client.List(ctx, memberPrefix)
	if err != nil {
		return err
	}
	members := make([]membership.Member, 0, len(objects))
	for _, o := range objects {
		var m membership.Member
		if err := json.Unmarshal(o.Value, &m); err != nil {
			_ = level.Warn(d.logger).Log("msg", "decode member object", "step", "list members", "peer", o.Key, "err", err)
			continue
		}
		m.Status = membership.Alive
		members = append(members, m)
	}
	d.seed(time.Now(), members)
	return nil
}
