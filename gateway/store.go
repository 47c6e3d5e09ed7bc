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
	// storeTimeout bounds a call to the store, beyond the wait of a watch. The
	// store answers in milliseconds when it is well.
	storeTimeout = 1500 * time.Millisecond
	// watchWait is how long one watch waits. The reads between nodes make up for
	// one that fell silent.
	watchWait = 25 * time.Second
	// readEvery is the time between two reads of the configuration by any of the
	// nodes on duty, since a watch may stay silent about a change.
	readEvery = 600 * time.Millisecond
	// readOffDuty is the mean time between two reads by a node off duty, which
	// tells whether it reaches the store.
	readOffDuty = 20 * time.Second
	// readsPerList is how many reads of the configuration go by for each list of
	// the data centres that are out, which has more time to take effect.
	readsPerList = 2
	// onDuty is how many nodes follow the store for all. The others hear from
	// them; a loss of any two at once delays nothing.
	onDuty = 3
	// dutyEvery is the time between two looks at who keeps watches.
	dutyEvery = 500 * time.Millisecond
	// steadyDuty is how many looks in a row have to say so before a node begins
	// to watch, since at a start each node knows few others.
	steadyDuty = 5
	// startPause is how long a node that starts waits for peers to answer, up to
	// startSpread more for their configuration, and then up to outSpread for the
	// data centres that are out, which have more time to take effect.
	startPause  = 12 * time.Millisecond
	startSpread = 50 * time.Millisecond
	outSpread   = 400 * time.Millisecond
	// settleTime is the least time after a start before a node takes its turn to
	// read, and half of the greatest: by then it knows who is on duty.
	settleTime = 800 * time.Millisecond
	// relistEvery is the mean time between two lists of what is watched.
	relistEvery = 5 * time.Minute
	// storeBackoff and storeBackoffCap bound the delays after failed calls. A
	// change has to be in force within two seconds of the store's return.
	storeBackoff    = 150 * time.Millisecond
	storeBackoffCap = 700 * time.Millisecond
	// nodesEvery is the time between two looks at the list of nodes, from a copy
	// that may be old. Nodes that start make themselves known by themselves.
	nodesEvery = 20 * time.Second
	// storeRate and storeBurst bound the calls of one node, in calls a second
	// and calls at once: far more than it makes while all is well.
	storeRate  = 10
	storeBurst = 20
)

// nodeRecord is the object by which other nodes find this one.
type nodeRecord struct {
	// DataCentre is where the node runs.
	DataCentre string `json:"data_centre"`
	// Hop and Peers are the node's listeners for requests and datagrams.
	Hop   string `json:"hop"`
	Peers string `json:"peers"`
}

// storeSync keeps what is in force in step with the platform's store, and the
// node's own record there.
type storeSync struct {
	node   *Node
	client *store.Client
	rng    *rand.Rand
	// reached tells that the latest call succeeded.
	reached atomic.Bool
}

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

// watcher returns a watcher of the objects with a prefix.
func (s *storeSync) watcher(prefix string, handle func(store.Update)) *store.Watcher {
	return &store.Watcher{
		Client: s.client,
		Prefix: prefix,
		OnUpdate: func(u store.Update) {
			s.note(nil)
			handle(u)
		},
		OnError:        s.note,
		Rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Wait:           watchWait,
		RelistInterval: relistEvery,
		ChangeJitter:   time.Nanosecond,
		Backoff:        store.Backoff{Base: storeBackoff, Cap: storeBackoffCap},
	}
}

// run follows the store until the context ends.
func (s *storeSync) run(ctx context.Context) {
	go s.followNodes(ctx)
	go s.watchOnDuty(ctx)
	s.readInTurn(ctx)
}

// begin reads what is in force, unless a peer has told it meanwhile: when many
// nodes start together, the first to read tells the others.
func (s *storeSync) begin(ctx context.Context) error {
	wait.For(ctx, startPause+rand.N(startSpread))
	if s.node.config.table().routes == nil {
		if err := s.readConfig(ctx); err != nil {
			return err
		}
	}
	wait.For(ctx, rand.N(outSpread))
	if s.node.config.table().outRevision == 0 {
		return s.listOut(ctx)
	}
	return nil
}

func (s *storeSync) duty() fleet.StoreWatchRole {
	return s.node.fleet.StoreWatchRole(s.node.settings().Name, s.reached.Load(), onDuty, time.Now())
}

// readInTurn reads what is in force now and then: the nodes on duty in turns,
// the others seldom. It begins at once.
func (s *storeSync) readInTurn(ctx context.Context) {
	if err := s.begin(ctx); err != nil {
		s.note(err)
	}
	wait.For(ctx, settleTime+rand.N(settleTime))
	for reads := 0; s.pauseReads(ctx); reads++ {
		err := s.readConfig(ctx)
		if err == nil && reads%readsPerList == 0 {
			err = s.listOut(ctx)
		}
		s.note(err)
	}
}

// pauseReads waits until the node's next read. A node that comes on duty
// meanwhile reads at once.
func (s *storeSync) pauseReads(ctx context.Context) bool {
	duty := s.duty()
	if duty.Active {
		mean := readEvery * time.Duration(duty.Watchers)
		return wait.For(ctx, time.Duration(float64(mean)*(0.75+rand.Float64()/2)))
	}
	until := time.Now().Add(time.Duration(rand.ExpFloat64() * float64(readOffDuty)))
	for time.Now().Before(until) && !s.duty().Active {
		if !wait.For(ctx, dutyEvery) {
			return false
		}
	}
	return ctx.Err() == nil
}

// note takes in whether the store can be reached, and logs when that changes.
func (s *storeSync) note(err error) {
	reaches := err == nil || errors.Is(err, store.ErrCompacted)
	if s.reached.Swap(reaches) == reaches {
		return
	}
	if reaches {
		s.node.events.log(journal.Change, "dependency_back", "dependency", "store")
		return
	}
	s.node.events.log(journal.Change, "dependency_lost", "dependency", "store", "err", err)
}

// watchOnDuty keeps watches while the node is one of those that do.
func (s *storeSync) watchOnDuty(ctx context.Context) {
	steady := 0
	for wait.For(ctx, dutyEvery) {
		steady++
		if !s.watches() {
			steady = 0
		}
		if steady < steadyDuty {
			continue
		}
		watching, stop := context.WithCancel(ctx)
		var group sync.WaitGroup
		group.Go(func() { s.watcher(platform.PrefixConfig, s.learnConfig).Run(watching) })
		group.Go(func() { s.watcher(platform.PrefixEvacuations, s.learnOut).Run(watching) })
		for s.watches() && wait.For(ctx, dutyEvery) {
		}
		stop()
		group.Wait()
	}
}

// watches reports whether the node is to keep watches.
func (s *storeSync) watches() bool { return s.reached.Load() && s.duty().Active }

func (s *storeSync) readConfig(ctx context.Context) error {
	object, err := s.client.Get(ctx, platform.KeyConfig)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	s.learnConfig(store.Update{Objects: []store.Object{object}})
	return nil
}

func (s *storeSync) listOut(ctx context.Context) error {
	objects, revision, err := s.client.List(ctx, platform.PrefixEvacuations)
	if err != nil {
		return err
	}
	s.learnOut(store.Update{Objects: objects, Revision: revision, Snapshot: true})
	return nil
}

func (s *storeSync) learnConfig(u store.Update) {
	for _, object := range u.Objects {
		if object.Key != platform.KeyConfig || object.Deleted {
			continue
		}
		if err := s.node.config.offer(object.Value, "store"); err != nil {
			s.node.events.badMessage("configuration", s.node.settings().Store, err)
		}
	}
}

// learnOut takes in which data centres are out. A watch tells changes only.
func (s *storeSync) learnOut(u store.Update) {
	var out []string
	if !u.Snapshot {
		out = slices.Clone(s.node.config.table().out)
	}
	for _, object := range u.Objects {
		name := strings.TrimPrefix(object.Key, platform.PrefixEvacuations)
		out = slices.DeleteFunc(out, func(known string) bool { return known == name })
		if !object.Deleted && slices.Contains(s.node.settings().DataCentres, name) {
			out = append(out, name)
		}
	}
	s.node.config.offerOut(out, u.Revision, "store")
}

// followNodes makes this node known in the store and learns of the others.
func (s *storeSync) followNodes(ctx context.Context) {
	backoff := store.Backoff{Base: storeBackoff, Cap: storeBackoffCap}
	for ctx.Err() == nil {
		err := s.meet(ctx)
		s.note(err)
		if err == nil {
			break
		}
		s.node.events.log(journal.Change, "meeting_failed", "dependency", "store", "err", err)
		wait.For(ctx, backoff.Next(s.rng))
	}
	for wait.For(ctx, nodesEvery) {
		objects, _, err := s.client.ListStale(ctx, platform.PrefixNodes)
		if err != nil {
			s.node.events.log(journal.Change, "node_list_failed", "dependency", "store", "err", err)
			continue
		}
		s.introduce(objects)
	}
}

// meet lists the nodes, and adds this one if it is missing. Two nodes that
// add themselves at the same time find each other, since each lists again
// after its write. The first list may be old: a node that it lacks has added
// itself since, and lists after that.
func (s *storeSync) meet(ctx context.Context) error {
	objects, _, err := s.client.ListStale(ctx, platform.PrefixNodes)
	if err != nil {
		return err
	}
	s.introduce(objects)
	record, err := json.Marshal(s.ownRecord())
	if err != nil {
		return errors.Wrap(err, "encode node record")
	}
	known, version := findRecord(objects, platform.PrefixNodes+s.node.settings().Name)
	if known == s.ownRecord() {
		return nil
	}
	if err := s.write(ctx, record, version); err != nil {
		return err
	}
	objects, _, err = s.client.List(ctx, platform.PrefixNodes)
	if err != nil {
		return err
	}
	s.introduce(objects)
	return nil
}

func (s *storeSync) ownRecord() nodeRecord {
	settings := s.node.settings()
	return nodeRecord{DataCentre: settings.DataCentre, Hop: settings.hop(), Peers: settings.Listen.Peers}
}

// findRecord returns the record under a key and its version. Both are zero if
// there is none.
func findRecord(objects []store.Object, key string) (nodeRecord, uint64) {
	for _, object := range objects {
		if object.Key == key {
			record, _ := decodeRecord(object.Value) // a spoilt record is replaced as a different one is
			return record, object.Version
		}
	}
	return nodeRecord{}, 0
}

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

func (s *storeSync) write(ctx context.Context, record []byte, version uint64) error {
	key := platform.PrefixNodes + s.node.settings().Name
	_, err := s.client.Put(ctx, key, record, version)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		_, err = s.client.Put(ctx, key, record, conflict.Version)
	}
	return err
}

// introduce makes the nodes of a list known.
func (s *storeSync) introduce(objects []store.Object) {
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
	s.node.peers.tellAll()
}
