package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/internal/wait"
	"verbenatrestle/platform"
	"verbenatrestle/process/fleet"
	"verbenatrestle/process/journal"
	store "verbenatrestle/process/platform"
)

const (
	// storeTimeout bounds a call to the store, in addition to the wait of a
	// watch. A healthy store answers within milliseconds.
	storeTimeout = 1500 * time.Millisecond
	// watchTimeout is the mean time for which the store may hold one watch call
	// open. Polls find the changes that a watch fails to report.
	watchTimeout = 25 * time.Second
	// activePollInterval is the interval at which the active watchers together
	// poll the configuration. They poll because a watch may not report a
	// change.
	activePollInterval = 600 * time.Millisecond
	// standbyPollInterval is the mean interval of polls by a standby node. They
	// show whether the node reaches the store.
	standbyPollInterval = 20 * time.Second
	// pollsPerEvacuationList is the number of polls of the configuration for
	// each list of the data centres out of service. Evacuations have more time
	// to take effect than a configuration.
	pollsPerEvacuationList = 2
	// maxActiveWatchers is the number of nodes that watch the store for the
	// fleet. The other nodes learn of changes from them. With three, the loss
	// of any two at once delays no change.
	maxActiveWatchers = 3
	// roleCheckInterval is the interval of checking whether this node is an
	// active watcher.
	roleCheckInterval = 500 * time.Millisecond
	// roleChecksBeforeWatch is how many checks in a row must find this node
	// active before it begins to watch. A node that has just started knows few
	// others, so it may take itself for active.
	roleChecksBeforeWatch = 5
	// startDelay is how long a starting node waits for its peers to answer. It
	// waits for up to startJitter more for the configuration of a peer, and
	// then for up to evacuationListJitter for the data centres out of service,
	// which have more time to take effect.
	startDelay           = 12 * time.Millisecond
	startJitter          = 50 * time.Millisecond
	evacuationListJitter = 400 * time.Millisecond
	// firstPollDelay is the minimum delay of the first poll after the start,
	// and half of the maximum. By then the node knows which nodes are active
	// watchers.
	firstPollDelay = 800 * time.Millisecond
	// relistInterval is the mean interval at which a watch lists all objects
	// again.
	relistInterval = 5 * time.Minute
	// storeBackoffBase and storeBackoffCap bound the delays after failed calls.
	// A change must be active within two seconds after the store is back.
	storeBackoffBase = 150 * time.Millisecond
	storeBackoffCap  = 700 * time.Millisecond
	// nodeListInterval is the interval of listing the nodes, which may return
	// stale data. Nodes that start announce themselves to the others.
	nodeListInterval = 20 * time.Second
	// storeRate and storeBurst limit the calls of one node, in calls per second
	// and in calls at once. Both are far above its normal use.
	storeRate  = 10
	storeBurst = 20
)

// nodeRecord is the object in the store by which other nodes discover a node.
type nodeRecord struct {
	// DataCentre is the data centre of the node.
	DataCentre string `json:"data_centre"`
	// Hop and Peers are the addresses that take hops and datagrams.
	Hop   string `json:"hop"`
	Peers string `json:"peers"`
}

// storeSync keeps the configuration snapshot in step with the store and
// maintains the record of this node there.
type storeSync struct {
	node   *Node
	client *store.Client
	rng    *rand.Rand
	// reachable is what recordCallResult recorded last. It is false before the
	// first result.
	reachable atomic.Bool
}

// newStoreSync returns a storeSync. Its run method makes the calls.
func newStoreSync(n *Node) *storeSync {
	return &storeSync{
		node: n,
		client: store.New(store.Config{
			BaseURL:  "http://" + n.settings().Store,
			Timeout:  storeTimeout,
			Rate:     storeRate,
			Burst:    storeBurst,
			Dialect:  platform.Store{},
			Registry: n.registry,
		}),
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// newWatcher returns a watcher of the objects whose keys have the prefix.
func (s *storeSync) newWatcher(prefix string, handle func(store.Update)) *store.Watcher {
	return &store.Watcher{
		Client: s.client,
		Prefix: prefix,
		OnUpdate: func(u store.Update) {
			s.recordCallResult(nil)
			handle(u)
		},
		OnError:        s.recordCallResult,
		Rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Wait:           watchTimeout,
		RelistInterval: relistInterval,
		ChangeJitter:   time.Nanosecond,
		Backoff:        store.Backoff{Base: storeBackoffBase, Cap: storeBackoffCap},
	}
}

// run follows the store until the context ends.
func (s *storeSync) run(ctx context.Context) {
	go s.discoverNodes(ctx)
	go s.watchWhileActive(ctx)
	s.pollConfig(ctx)
}

// loadInitial reads the configuration and the data centres out of service,
// unless they have arrived from a peer meanwhile. Its delays are random, so that
// of many nodes that start together one reads first and the others learn from
// it.
func (s *storeSync) loadInitial(ctx context.Context) error {
	wait.For(ctx, startDelay+rand.N(startJitter))
	if s.node.config.snapshot().routes == nil {
		if err := s.readConfig(ctx); err != nil {
			return err
		}
	}
	wait.For(ctx, rand.N(evacuationListJitter))
	if s.node.config.snapshot().dataCentresOutRevision == 0 {
		return s.listEvacuations(ctx)
	}
	return nil
}

// watchRole returns the current role of this node in watching the store.
func (s *storeSync) watchRole() fleet.StoreWatchRole {
	return s.node.fleet.StoreWatchRole(s.node.settings().Name, s.reachable.Load(), maxActiveWatchers, time.Now())
}

// pollConfig loads the initial state and then polls the store until the
// context ends.
func (s *storeSync) pollConfig(ctx context.Context) {
	if err := s.loadInitial(ctx); err != nil {
		s.recordCallResult(err)
	}
	wait.For(ctx, firstPollDelay+rand.N(firstPollDelay))
	for polls := 0; s.waitForNextPoll(ctx); polls++ {
		err := s.readConfig(ctx)
		if err == nil && polls%pollsPerEvacuationList == 0 {
			err = s.listEvacuations(ctx)
		}
		s.recordCallResult(err)
	}
}

// waitForNextPoll waits until the next poll of this node. A standby node that
// becomes active polls at once. It returns false when the context ends.
func (s *storeSync) waitForNextPoll(ctx context.Context) bool {
	role := s.watchRole()
	if role.Active {
		mean := activePollInterval * time.Duration(role.Watchers)
		return wait.For(ctx, time.Duration(float64(mean)*(0.75+rand.Float64()/2)))
	}
	until := time.Now().Add(time.Duration(rand.ExpFloat64() * float64(standbyPollInterval)))
	for time.Now().Before(until) && !s.watchRole().Active {
		if !wait.For(ctx, roleCheckInterval) {
			return false
		}
	}
	return ctx.Err() == nil
}

// recordCallResult records whether the store is reachable, and logs when that
// changes.
func (s *storeSync) recordCallResult(err error) {
	reachable := err == nil || errors.Is(err, store.ErrCompacted)
	if s.reachable.Swap(reachable) == reachable {
		return
	}
	if reachable {
		s.node.events.log(journal.Change, "dependency_back", "dependency", "store")
		return
	}
	s.node.events.log(journal.Change, "dependency_lost", "dependency", "store", "err", err)
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
		group.Go(func() { s.newWatcher(platform.PrefixConfig, s.applyConfig).Run(watchCtx) })
		group.Go(func() { s.newWatcher(platform.PrefixEvacuations, s.applyEvacuations).Run(watchCtx) })
		for s.shouldWatch() && wait.For(ctx, roleCheckInterval) {
		}
		stop()
		group.Wait()
	}
}

// shouldWatch reports whether this node reaches the store and is an active
// watcher.
func (s *storeSync) shouldWatch() bool { return s.reachable.Load() && s.watchRole().Active }

// readConfig reads the configuration and applies it. A missing configuration
// is no error.
func (s *storeSync) readConfig(ctx context.Context) error {
	object, err := s.client.Get(ctx, platform.KeyConfig)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	s.applyConfig(store.Update{Objects: []store.Object{object}})
	return nil
}

// listEvacuations lists the data centres out of service and applies the list.
func (s *storeSync) listEvacuations(ctx context.Context) error {
	objects, revision, err := s.client.List(ctx, platform.PrefixEvacuations)
	if err != nil {
		return err
	}
	s.applyEvacuations(store.Update{Objects: objects, Revision: revision, Snapshot: true})
	return nil
}

// applyConfig applies an update of the configuration. A deleted configuration
// stays active.
func (s *storeSync) applyConfig(u store.Update) {
	for _, object := range u.Objects {
		if object.Key != platform.KeyConfig || object.Deleted {
			continue
		}
		if err := s.node.config.update(object.Value, "store"); err != nil {
			s.node.events.badMessage("configuration", s.node.settings().Store, err)
		}
	}
}

// applyEvacuations applies an update of the data centres out of service. An
// update of a watch holds only the changed objects. Names of unknown data
// centres are ignored.
func (s *storeSync) applyEvacuations(u store.Update) {
	var dataCentresOut []string
	if !u.Snapshot {
		dataCentresOut = slices.Clone(s.node.config.snapshot().dataCentresOut)
	}
	for _, object := range u.Objects {
		name := strings.TrimPrefix(object.Key, platform.PrefixEvacuations)
		dataCentresOut = slices.DeleteFunc(dataCentresOut, func(known string) bool { return known == name })
		if !object.Deleted && slices.Contains(s.node.settings().DataCentres, name) {
			dataCentresOut = append(dataCentresOut, name)
		}
	}
	s.node.config.updateDataCentresOut(dataCentresOut, u.Revision, "store")
}

// discoverNodes registers this node in the store and reads the list of the
// others at an interval, until the context ends.
func (s *storeSync) discoverNodes(ctx context.Context) {
	backoff := store.Backoff{Base: storeBackoffBase, Cap: storeBackoffCap}
	for ctx.Err() == nil {
		err := s.register(ctx)
		s.recordCallResult(err)
		if err == nil {
			break
		}
		s.node.events.log(journal.Change, "meeting_failed", "dependency", "store", "err", err)
		wait.For(ctx, backoff.Next(s.rng))
	}
	for wait.For(ctx, nodeListInterval) {
		objects, _, err := s.client.ListStale(ctx, platform.PrefixNodes)
		if err != nil {
			s.node.events.log(journal.Change, "node_list_failed", "dependency", "store", "err", err)
			continue
		}
		s.addDiscovered(objects)
	}
}

// register lists the nodes, and writes the record of this node if it is
// missing or outdated. Two nodes that register at the same time discover each
// other, since each of them lists again after its write. The first list may be
// stale: a node that is missing from it has written its record since, and
// lists after that write.
func (s *storeSync) register(ctx context.Context) error {
	objects, _, err := s.client.ListStale(ctx, platform.PrefixNodes)
	if err != nil {
		return err
	}
	s.addDiscovered(objects)
	record, err := json.Marshal(s.ownRecord())
	if err != nil {
		return errors.Wrap(err, "encode node record")
	}
	current, version := findRecord(objects, platform.PrefixNodes+s.node.settings().Name)
	if current == s.ownRecord() {
		return nil
	}
	if err := s.writeRecord(ctx, record, version); err != nil {
		return err
	}
	objects, _, err = s.client.List(ctx, platform.PrefixNodes)
	if err != nil {
		return err
	}
	s.addDiscovered(objects)
	return nil
}

// ownRecord returns the record of this node.
func (s *storeSync) ownRecord() nodeRecord {
	settings := s.node.settings()
	return nodeRecord{DataCentre: settings.DataCentre, Hop: settings.hopAddress(), Peers: settings.Listen.Peers}
}

// findRecord returns the record with a key and its version. Both are zero if
// there is none. A record that can't be decoded is returned as zero with its
// version, so that it is replaced.
func findRecord(objects []store.Object, key string) (nodeRecord, uint64) {
	for _, object := range objects {
		if object.Key == key {
			record, _ := decodeRecord(object.Value) // an invalid record is replaced like an outdated one
			return record, object.Version
		}
	}
	return nodeRecord{}, 0
}

// decodeRecord decodes and validates a record.
func decodeRecord(value []byte) (nodeRecord, error) {
	var record nodeRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return nodeRecord{}, errors.Wrap(err, "decode node record")
	}
	for _, address := range []string{record.Hop, record.Peers} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nodeRecord{}, errors.Wrap(err, "decode node record")
		}
	}
	return record, nil
}

// writeRecord writes the record of this node. After a conflict it writes once
// more over the version that is stored.
func (s *storeSync) writeRecord(ctx context.Context, record []byte, version uint64) error {
	key := platform.PrefixNodes + s.node.settings().Name
	_, err := s.client.Put(ctx, key, record, version)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		_, err = s.client.Put(ctx, key, record, conflict.Version)
	}
	return err
}

// addDiscovered adds the nodes of a list to the known peers and sends them a
// status.
func (s *storeSync) addDiscovered(objects []store.Object) {
	now := time.Now()
	for _, object := range objects {
		name := strings.TrimPrefix(object.Key, platform.PrefixNodes)
		if name == s.node.settings().Name || object.Deleted {
			continue
		}
		record, err := decodeRecord(object.Value)
		if err != nil {
			s.node.events.badMessage("node_record", object.Key, err)
			continue
		}
		s.node.fleet.AddDiscovered(name, record.DataCentre, record.Hop, record.Peers, now)
	}
	s.node.peers.requestBroadcast()
}
