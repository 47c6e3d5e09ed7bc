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
	// memberPrefix is where member objects lie at the platform.
	memberPrefix = "members/"
	// startupLists is how many times a node lists the members soon after its
	// start, when others may be starting as well.
	startupLists = 3
	// largeFleet is how many others a node must know to do without those
	// lists: gossip with so many finds the rest, and a list of a large fleet is
	// long.
	largeFleet = 64
	// earlyListPause is the mean time between those lists.
	earlyListPause = 3 * time.Second
	// listPause is the mean time between later lists, which heal a fleet that
	// fell into parts that know nothing of each other.
	listPause = 10 * time.Minute
)

// directory keeps the node's member object at the platform and reads those of
// the others. The object is written when it changes, not as a heartbeat.
type directory struct {
	client *platform.Client
	table  *membership.Table
	seed   func(time.Time, []membership.Member)
	logger log.Logger
	rng    *rand.Rand

	mu             sync.Mutex
	desired        *membership.Member
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

// publish has the member object written, now or when the platform is back.
func (d *directory) publish(m membership.Member) {
	d.mu.Lock()
	d.desired = &m
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// runWriter writes the member object whenever it changes.
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

// writeOnce writes the wanted object, over whatever there is: nobody else
// writes it, so a conflict shows an earlier life or an answer that was lost.
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
	if errors.As(err, &conflict) {
		written = conflict.Version
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if written > 0 {
		d.writtenVersion = written
	}
	return err
}

// remove deletes the member object of a node that leaves for good.
func (d *directory) remove(ctx context.Context) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.desired == nil || d.writtenVersion == 0 {
		return nil
	}
	return d.client.Delete(ctx, memberPrefix+d.desired.Node, d.writtenVersion)
}

// runReader lists the members at the start, a few times soon after, and then
// now and again. It calls first once after the first list.
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

// listPauseAfter returns the mean pause after n+1 lists in a fleet of which
// this node knows some members.
func listPauseAfter(n, present int) time.Duration {
	early := n < startupLists && present < largeFleet
	if early || present == 0 {
		return earlyListPause
	}
	return listPause
}

// presentPeers returns how many others the node holds for present.
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

// list reads all member objects and tells membership.
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
