package gateway

import (
	"context"
	"math/rand/v2"
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
	// configTextTimeout bounds a call that may transfer the text of the configuration,
	// which takes about a second on a slow link that carries nothing else.
	configTextTimeout = 5 * time.Second
	// briefWatchTimeout bounds the wait for the response to a watch that only asks what
	// has changed so far. A store that is fifty times slower than usual answers in half
	// of it.
	briefWatchTimeout = 400 * time.Millisecond
	// briefWatchWait is the wait of a watch that only asks what has changed so far.
	briefWatchWait = time.Millisecond
	// configVerifyInterval is the interval at which an active watcher reads the
	// configuration although a watch reports no change of it, while other objects of
	// the store change.
	configVerifyInterval = 5 * time.Second
	// watchTimeout is the mean time for which the store may hold one watch call
	// open. Polls find the changes that a watch fails to report.
	watchTimeout = 25 * time.Second
	// maxActiveWatchers is the number of nodes that watch the store for the
	// fleet. The other nodes learn of changes from them. With three, the loss
	// of any two at once delays no change. In a fleet of largeFleet nodes or more,
	// many can fail at once, and it is maxActiveWatchersLarge. If all are lost at once, a
	// change that is acknowledged right then waits for fleet.WatcherTTL until others take
	// their place, for the reads of these, and until it has spread. One that is acknowledged
	// after these reads waits for fleet.MaxPollGap at most until the next ones.
	maxActiveWatchers      = 3
	maxActiveWatchersLarge = 5
	largeFleet             = 96
	// roleCheckInterval is the interval of checking whether this node is an
	// active watcher.
	roleCheckInterval = 500 * time.Millisecond
	// minRoleCheckInterval is the least time between two checks whether a standby node has
	// become active.
	minRoleCheckInterval = 20 * time.Millisecond
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
	// largeStartJitter takes the place of startJitter in a fleet of largeFleet nodes or
	// more, whose messages need longer to reach all nodes.
	largeStartJitter = 400 * time.Millisecond
	// firstFleetWait is how long a node that found no others in the store waits for
	// the configuration of one before it may read by itself. The whole fleet starts
	// then, and each node knows the others only after its next list.
	firstFleetWait = 1500 * time.Millisecond
	// firstPollDelay is the minimum delay of the first poll after the start,
	// and half of the maximum. By then the node knows which nodes are active
	// watchers.
	firstPollDelay = 800 * time.Millisecond
	// startPollInterval is the interval at which a starting node checks what it has
	// learnt from its peers.
	startPollInterval = 10 * time.Millisecond
	// relistInterval is the mean interval at which a watch lists all objects
	// again.
	relistInterval = 5 * time.Minute
	// storeBackoffBase and storeBackoffCap bound the delays after failed calls.
	// A change must be active within two seconds after the store is back.
	storeBackoffBase = 150 * time.Millisecond
	storeBackoffCap  = 700 * time.Millisecond
	// nodeListInterval is the interval of listing the nodes, which may return
	// stale data, or nodeListIntervalPerNode for each node of the fleet if that is
	// longer. Nodes that start announce themselves to the others.
	nodeListInterval        = 20 * time.Second
	nodeListIntervalPerNode = 200 * time.Millisecond
	// nodeListRetryInterval and nodeListRetryIntervalPerNode take the place of these after
	// a list that failed. In a large fleet all nodes together then list 50 times a second.
	nodeListRetryInterval        = 5 * time.Second
	nodeListRetryIntervalPerNode = 20 * time.Millisecond
	// recordRewriteJitter spreads the writes of node records after the store went back,
	// for each node of the fleet: at 1,300 nodes 100 a second.
	recordRewriteJitter = 10 * time.Millisecond
	// storeRate and storeBurst limit the calls of one node, in calls per second
	// and in calls at once. Both are far above its normal use.
	storeRate  = 10
	storeBurst = 20
)

// storeSync keeps the configuration snapshot in step with the store and
// maintains the record of this node there.
type storeSync struct {
	node   *Node
	client *store.Client
	// textClient and briefClient share everything with client but the timeouts.
	textClient, briefClient *store.Client
	rng                     *rand.Rand
	// reachable is what recordCallResult recorded last. It is false before the
	// first result.
	reachable atomic.Bool
	// polling is set when the polls have begun, and watching while watches run.
	polling, watching atomic.Bool
	// outage counts the failed calls since the latest successful one. regained receives a
	// value when a call succeeds after failed ones.
	outage   storeOutage
	regained chan struct{}
	// configVersion is the version of the object that was last applied as the
	// configuration.
	configVersion atomic.Uint64
	// configRevision is the latest revision of the store at which the configuration
	// was read.
	configRevision atomic.Uint64
	// polledAt is when the latest poll began, and verifiedAt when the configuration was
	// last read. loggedRole is the role that was last logged. Only pollConfig uses them.
	polledAt, verifiedAt time.Time
	loggedRole           fleet.StoreWatchRole
	// listed is closed by firstList after the first list of the nodes, also if it
	// failed.
	listed    chan struct{}
	firstList sync.Once
	// era is the highest era of the store that the store or a peer reported.
	era atomic.Uint64
	// recordLost is set when the record of this node may be gone.
	recordLost atomic.Bool
	// recordVersion is the version of the record of this node in the store as far as it
	// is known. Only discoverNodes uses it.
	recordVersion uint64
	// recordChanged receives a value when the record has to be written.
	recordChanged chan struct{}
}

// newStoreSync returns a storeSync. Its run method makes the calls.
func newStoreSync(n *Node) *storeSync {
	s := &storeSync{node: n}
	client := store.New(store.Config{
		BaseURL:  "http://" + n.settings().Store,
		Timeout:  storeTimeout,
		Rate:     storeRate,
		Burst:    storeBurst,
		Dialect:  platform.Store{},
		Registry: n.registry,
		OnEra:    func(_, after store.Era) { s.eraRose(after, "store") },
		OnEraError: func(err error) {
			n.events.log(journal.Change, "store_era_unusable", "dependency", "store", "err", err)
		},
	})
	s.client = client
	s.textClient = client.WithTimeouts(configTextTimeout, storeTimeout)
	s.briefClient = client.WithTimeouts(configTextTimeout, briefWatchTimeout)
	s.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s.listed = make(chan struct{})
	s.regained = make(chan struct{}, 1)
	s.recordChanged = make(chan struct{}, 1)
	return s
}

// eraRose records that the store went back to an older copy, as the store or a peer reported.
// The record of this node and its departures may be gone then, so they are written again, at
// a random time, since all nodes do so.
func (s *storeSync) eraRose(after store.Era, source string) {
	known := s.era.Load()
	for ; uint64(after) > known && !s.era.CompareAndSwap(known, uint64(after)); known = s.era.Load() {
	}
	if uint64(after) <= known || known == 0 {
		return
	}
	s.node.events.storeWentBack(store.Era(known), after, source)
	s.node.departures.storeWentBack()
	time.AfterFunc(s.rewriteJitter(), func() {
		s.recordLost.Store(true)
		s.requestRecordWrite()
		if len(s.node.localTarget.departures()) > 0 {
			s.node.departures.requestWrite()
		}
	})
}

// rewriteJitter returns a random delay of a call that all nodes may make at once.
func (s *storeSync) rewriteJitter() time.Duration {
	return rand.N(recordRewriteJitter * time.Duration(s.node.fleet.KnownNodes()))
}

// newWatcher returns a watcher of the objects whose keys have the prefix.
func (s *storeSync) newWatcher(client *store.Client, prefix string, handle func(store.Update)) *store.Watcher {
	return &store.Watcher{
		Client: client,
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
// unless they have arrived from a peer meanwhile. In a large fleet it is enough that a
// peer has a configuration, which is then fetched there. Its delays are random, so that
// of many nodes that start together a few read and the others learn from them.
func (s *storeSync) loadInitial(ctx context.Context) error {
	select {
	case <-s.listed:
	case <-ctx.Done():
		return nil
	}
	if s.knowsNoOthers() {
		s.waitUntil(ctx, firstFleetWait, func(c *configSnapshot) bool { return c.routes != nil })
	}
	jitter, large := startJitter, s.node.fleet.KnownNodes() >= largeFleet
	if large {
		jitter = largeStartJitter
	}
	obtainable := func(c *configSnapshot) bool {
		return c.routes != nil || large && s.node.configLag.outdated(c.number(), time.Now())
	}
	if !s.waitForPeers(ctx, startDelay, jitter, obtainable) {
		if err := s.readConfig(ctx); err != nil {
			return err
		}
	}
	if !s.waitForPeers(ctx, 0, evacuationListJitter, func(c *configSnapshot) bool { return c.dataCentresOutRevision > 0 }) {
		_, err := s.listEvacuations(ctx)
		return err
	}
	return nil
}

// knowsNoOthers reports whether the store lists no other node and no message of one arrived, as
// when the whole fleet starts for the first time. After a restart of all, the others are
// listed although none answers yet.
func (s *storeSync) knowsNoOthers() bool { return s.node.fleet.KnownNodes() == 1 }

// waitForPeers waits for a random time until the condition holds for the
// configuration snapshot, and returns whether it does.
func (s *storeSync) waitForPeers(ctx context.Context, least, jitter time.Duration, condition func(*configSnapshot) bool) bool {
	nodes := s.node.fleet.KnownNodes()
	return s.waitUntil(ctx, least+fleet.SuppressionDelay(jitter, nodes, rand.Float64()), condition)
}

// waitUntil waits at most for the given time until the condition holds for the
// configuration snapshot, and returns whether it does.
func (s *storeSync) waitUntil(ctx context.Context, longest time.Duration, condition func(*configSnapshot) bool) bool {
	until := time.Now().Add(longest)
	for !condition(s.node.config.snapshot()) {
		if !time.Now().Before(until) || !wait.For(ctx, min(time.Until(until), startPollInterval)) {
			return condition(s.node.config.snapshot())
		}
	}
	return true
}

// recordCallResult records whether the store is reachable, and logs when that
// changes.
func (s *storeSync) recordCallResult(err error) {
	reachable := err == nil || errors.Is(err, store.ErrCompacted)
	ended := s.outage.record(reachable, time.Now())
	if ended.failures > 0 {
		select {
		case s.regained <- struct{}{}:
		default:
		}
	}
	if s.reachable.Swap(reachable) == reachable {
		return
	}
	if reachable {
		s.node.events.storeBack(ended)
		return
	}
	s.node.events.log(journal.Change, "dependency_lost", "dependency", "store", "err", err)
}

// readConfig reads the configuration and applies it. A missing configuration
// is no error.
func (s *storeSync) readConfig(ctx context.Context) error {
	object, err := s.textClient.Get(ctx, platform.KeyConfig)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	s.applyConfig(store.Update{Objects: []store.Object{object}})
	return nil
}

// listEvacuations lists the data centres out of service and applies the list. It
// returns the revision of the store.
func (s *storeSync) listEvacuations(ctx context.Context) (uint64, error) {
	objects, revision, err := s.client.List(ctx, platform.PrefixEvacuations)
	if err != nil {
		return 0, err
	}
	s.applyEvacuations(store.Update{Objects: objects, Revision: revision, Snapshot: true})
	return revision, nil
}

// applyConfig applies an update of the configuration. A deleted configuration
// stays active. An object that was applied before is not decoded again.
func (s *storeSync) applyConfig(u store.Update) {
	if u.Snapshot {
		s.confirmConfig(u.Revision)
	}
	for _, object := range u.Objects {
		if object.Key != platform.KeyConfig || object.Deleted {
			continue
		}
		s.confirmConfig(object.Version)
		if object.Version > 0 && object.Version == s.configVersion.Load() {
			continue
		}
		if err := s.node.config.update(object.Value, "store"); err != nil {
			s.node.events.badMessage("configuration", s.node.settings().Store, err)
			continue
		}
		s.configVersion.Store(object.Version)
	}
}

// applyEvacuations applies an update of the data centres out of service. An
// update of a watch holds only the changed objects. Names of unknown data
// centres are ignored.
func (s *storeSync) applyEvacuations(u store.Update) {
	var dataCentresOut []string
	if !u.Snapshot {
		config := s.node.config.snapshot()
		if config.holdsLostOrders() {
			return // the next list shows which of them the store has again
		}
		dataCentresOut = slices.Clone(config.dataCentresOut)
	}
	for _, object := range u.Objects {
		name := strings.TrimPrefix(object.Key, platform.PrefixEvacuations)
		dataCentresOut = slices.DeleteFunc(dataCentresOut, func(known string) bool { return known == name })
		if !object.Deleted && slices.Contains(s.node.settings().DataCentres, name) {
			dataCentresOut = append(dataCentresOut, name)
		}
	}
	s.node.config.updateDataCentresOut(dataCentresOut, u.Revision, "store", time.Now())
}
