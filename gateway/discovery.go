package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"strings"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/internal/wait"
	"verbenatrestle/platform"
	"verbenatrestle/process/fleet"
	"verbenatrestle/process/journal"
	store "verbenatrestle/process/platform"
)

// nodeRecord is the object in the store by which other nodes discover a node.
type nodeRecord struct {
	// DataCentre is the data centre of the node, and Service the service of the
	// target beside it.
	DataCentre string `json:"data_centre"`
	Service    string `json:"service,omitempty"`
	// Hop and Peers are the addresses that take hops and datagrams.
	Hop   string `json:"hop"`
	Peers string `json:"peers"`
	// Crashes holds the crashes of the target beside the node under requests that are
	// quarantined. They outlast a loss of all nodes.
	Crashes []crashRecord `json:"crashes,omitempty"`
}

// relistDelays are the delays of the lists after a node has written its record.
// Each may be some seconds old, and other nodes may write theirs meanwhile.
var relistDelays = []time.Duration{700 * time.Millisecond, 2 * time.Second, 4 * time.Second}

// restartRelistDelay is the delay of the list after a node has found its record. The
// first list may lack the latest crashes.
const restartRelistDelay = 4 * time.Second

// discoverNodes registers this node in the store and reads the list of the
// others at an interval, until the context ends.
func (s *storeSync) discoverNodes(ctx context.Context) {
	backoff := store.Backoff{Base: storeBackoffBase, Cap: storeBackoffCap}
	var delays []time.Duration
	for ctx.Err() == nil {
		written, err := s.register(ctx)
		s.recordCallResult(err)
		if err == nil {
			delays = []time.Duration{restartRelistDelay}
			if written {
				delays = relistDelays
			}
			break
		}
		s.node.events.log(journal.Change, "meeting_failed", "dependency", "store", "err", err)
		wait.For(ctx, backoff.Next(s.rng))
	}
	failed := false
	for {
		interval := s.nextListInterval(failed, &delays)
		if !s.writeRecordsFor(ctx, time.Duration(float64(interval)*(0.75+rand.Float64()/2))) {
			return
		}
		objects, _, err := s.client.ListStale(ctx, platform.PrefixNodes)
		failed = err != nil
		if failed {
			s.node.events.log(journal.Change, "node_list_failed", "dependency", "store", "err", err)
			continue
		}
		s.addDiscovered(objects)
	}
}

// nextListInterval returns the mean time until the next list of the nodes, and removes it
// from delays if it comes from there. A failed list is repeated soon, so that an outage
// delays none by the interval of a large fleet.
func (s *storeSync) nextListInterval(failed bool, delays *[]time.Duration) time.Duration {
	nodes := time.Duration(s.node.fleet.NodeCount(time.Now()))
	switch {
	case failed:
		return max(nodeListRetryInterval, nodeListRetryIntervalPerNode*nodes)
	case len(*delays) > 0:
		next := (*delays)[0]
		*delays = (*delays)[1:]
		return next
	}
	return max(nodeListInterval, nodeListIntervalPerNode*nodes)
}

// register lists the nodes, and writes the record of this node if it is
// missing or outdated. It reports whether it did. The list may be stale. Nodes that
// register at the same time discover each other by their later lists.
func (s *storeSync) register(ctx context.Context) (written bool, err error) {
	objects, _, err := s.client.ListStale(ctx, platform.PrefixNodes)
	if err == nil {
		s.addDiscovered(objects)
	}
	s.firstList.Do(func() { close(s.listed) })
	if err != nil {
		return false, err
	}
	current, version := findRecord(objects, platform.PrefixNodes+s.node.settings().Name)
	s.recordVersion = version
	if reflect.DeepEqual(current, s.ownRecord()) {
		return false, nil
	}
	return true, s.writeRecord(ctx)
}

// requestRecordWrite requests that the record of this node is written. It never blocks.
func (s *storeSync) requestRecordWrite() {
	select {
	case s.recordChanged <- struct{}{}:
	default:
	}
}

// writeRecordsFor writes the record of this node whenever that is requested within a
// time. It returns false if the context has ended.
func (s *storeSync) writeRecordsFor(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	backoff := store.Backoff{Base: storeBackoffBase, Cap: storeBackoffCap}
	writes := s.node.newRepeatedWrite("node-record", "node_record_failed")
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-s.recordChanged:
		}
		if err := s.writeRecord(ctx); err != nil {
			writes.failed(err)
			wait.For(ctx, backoff.Next(s.rng))
			s.requestRecordWrite()
			continue
		}
		writes.succeeded()
		s.node.events.log(journal.Change, "node_record_written", "crashes", len(s.ownRecord().Crashes))
	}
}

// ownRecord returns the record of this node.
func (s *storeSync) ownRecord() nodeRecord {
	settings := s.node.settings()
	return nodeRecord{
		DataCentre: settings.DataCentre, Service: settings.Service, Hop: settings.hopAddress(), Peers: settings.Listen.Peers,
		Crashes: s.node.crashes.storable(),
	}
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
// more over the version that is stored, with the crashes that this one holds.
func (s *storeSync) writeRecord(ctx context.Context) error {
	if s.recordLost.Swap(false) {
		s.recordVersion = 0
	}
	version, err := s.putRecord(ctx, s.recordVersion)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		s.restoreOwnCrashes(conflict)
		version, err = s.putRecord(ctx, conflict.Version)
	}
	if err != nil {
		return err
	}
	s.recordVersion = version
	return nil
}

// putRecord writes the record of this node over a version and returns the new one.
func (s *storeSync) putRecord(ctx context.Context, over uint64) (uint64, error) {
	record, err := json.Marshal(s.ownRecord())
	if err != nil {
		return 0, errors.Wrap(err, "encode node record")
	}
	return s.client.Put(ctx, platform.PrefixNodes+s.node.settings().Name, record, over)
}

// restoreOwnCrashes adds the crashes that the stored record of this node holds. An earlier
// process may have written it after this one read its first list.
func (s *storeSync) restoreOwnCrashes(conflict *store.ConflictError) {
	if conflict.Version == 0 {
		return // there is no object
	}
	name := s.node.settings().Name
	record, err := decodeRecord(conflict.Value)
	if err == nil {
		err = s.node.crashes.restore(name, record.Crashes)
	}
	if err != nil {
		s.node.events.badMessage("node_record", platform.PrefixNodes+name, err) // the next write replaces it
	}
}

// addDiscovered adds the nodes of a list to the known peers and sends them a
// status. It also restores the crashes that the records hold.
func (s *storeSync) addDiscovered(objects []store.Object) {
	now := time.Now()
	for _, object := range objects {
		name := strings.TrimPrefix(object.Key, platform.PrefixNodes)
		if object.Deleted {
			continue
		}
		record, err := decodeRecord(object.Value)
		if err == nil {
			err = s.node.crashes.restore(name, record.Crashes)
		}
		if err != nil {
			s.node.events.badMessage("node_record", object.Key, err)
			continue
		}
		if name == s.node.settings().Name {
			continue
		}
		s.node.fleet.AddDiscovered(fleet.Discovered{
			Node: name, DataCentre: record.DataCentre, Service: record.Service,
			HopAddress: record.Hop, DatagramAddress: record.Peers,
		}, now)
	}
	s.node.localTarget.countPeers(now)
	s.node.peers.selectPeers()
	s.node.peers.requestBroadcast()
}
