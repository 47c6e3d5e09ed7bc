package gateway

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/internal/wait"
	"verbenatrestle/platform"
	"verbenatrestle/process/journal"
	store "verbenatrestle/process/platform"
)

// nodeRecord is the object in the store by which other nodes discover a node.
type nodeRecord struct {
	// DataCentre is the data centre of the node.
	DataCentre string `json:"data_centre"`
	// Hop and Peers are the addresses that take hops and datagrams.
	Hop   string `json:"hop"`
	Peers string `json:"peers"`
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
