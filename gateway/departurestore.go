package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/internal/wait"
	"verbenatrestle/platform"
	"verbenatrestle/process/departure"
	"verbenatrestle/process/journal"
	store "verbenatrestle/process/platform"
)

const (
	// sourceStore is the source of departures that come from the store.
	sourceStore = "store"
	// departureReadJitter spreads the reads of departures after an outage in which nodes
	// have started, for each node of the fleet: at 1,300 nodes a thousand a second.
	departureReadJitter = time.Millisecond
)

// departureObject is the object in the store with the departures beside a node.
type departureObject struct {
	Departures departure.List `json:"departures"`
}

// run reads the departures of earlier processes of this node from the store, unless there
// can be none, and writes them whenever that is requested, until the context ends.
func (k *departureKeeper) run(ctx context.Context) {
	defer time.AfterFunc(departureLoadTimeout, func() { k.endLoading(false) }).Stop()
	backoff := store.Backoff{Base: storeBackoffBase, Cap: storeBackoffCap}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	var version uint64
	for ctx.Err() == nil && !k.node.settings().FirstStart {
		object, err := k.load(ctx)
		if err == nil {
			version = object.Version
			break
		}
		k.node.events.log(journal.Change, "departures_not_read", "dependency", "store", "err", err)
		delay := backoff.Next(rng)
		if k.known() == departuresUnknown { // all nodes may have started in the outage
			delay += rand.N(departureReadJitter * time.Duration(k.node.fleet.KnownNodes()))
		}
		wait.For(ctx, delay)
	}
	k.endLoading(true)
	backoff.Reset()
	writes := k.node.newRepeatedWrite("departures", "departures_not_written")
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.changed:
		}
		written, err := k.write(ctx, version)
		if err != nil {
			writes.failed(err)
			k.requestWrite()
			wait.For(ctx, backoff.Next(rng))
			continue
		}
		backoff.Reset()
		writes.succeeded()
		version = written
	}
}

// load reads the object of this node, which is zero if there is none. The read must not be
// stale: a departure may have been acknowledged just before this process started.
func (k *departureKeeper) load(ctx context.Context) (store.Object, error) {
	object, err := k.node.store.client.Get(ctx, k.key())
	if errors.Is(err, store.ErrNotFound) {
		return store.Object{}, nil
	}
	if err != nil {
		return store.Object{}, err
	}
	k.restore(object.Value)
	return object, nil
}

// key returns the key of the object of this node.
func (k *departureKeeper) key() string { return platform.PrefixDepartures + k.node.settings().Name }

// restore applies the value of the object in the store.
func (k *departureKeeper) restore(value []byte) {
	var object departureObject
	if err := json.Unmarshal(value, &object); err != nil {
		k.node.events.badMessage("departures", k.key(), err)
		return // the next write replaces it
	}
	k.node.localTarget.restoreDepartures(object.Departures, sourceStore)
	k.markStored(object.Departures)
}

// storeWentBack records that the store may lack the departures, since it went back to an
// older copy. The caller requests the write after a random time.
func (k *departureKeeper) storeWentBack() { k.markStored(nil) }

// endLoading applies the reports of the target that waited for the departures. Read is set
// if these have been read from the store or there can be none.
func (k *departureKeeper) endLoading(read bool) {
	if read {
		k.knowledge.Store(int32(departuresKnown))
	} else if k.knowledge.CompareAndSwap(int32(departuresLoading), int32(departuresUnknown)) {
		k.node.events.log(journal.Change, "departures_unknown", "waited_ms", departureLoadTimeout.Milliseconds())
	}
	k.node.localTarget.applyWaitingReport()
}

// write writes the departures over a version of the object and returns the new version.
// Over another version, which a late write of an earlier process or a store that went
// back left, it writes once more after it has added what that holds. If the store has no
// object any more, it creates one.
func (k *departureKeeper) write(ctx context.Context, version uint64) (uint64, error) {
	list, written, err := k.put(ctx, version)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		if conflict.Version != 0 {
			k.restore(conflict.Value)
		}
		list, written, err = k.put(ctx, conflict.Version)
	}
	if err != nil {
		return version, err
	}
	k.markStored(list)
	return written, nil
}

// put writes the departures over a version of the object.
func (k *departureKeeper) put(ctx context.Context, version uint64) (departure.List, uint64, error) {
	list := k.node.localTarget.departures()
	value, err := json.Marshal(departureObject{Departures: list})
	if err != nil {
		return nil, 0, errors.Wrap(err, "encode departures")
	}
	written, err := k.node.store.client.Put(ctx, k.key(), value, version)
	return list, written, err
}
