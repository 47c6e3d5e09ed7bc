package configstore

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/version"
)

// ActiveConfig is the configuration that a node applies. It is read-only.
type ActiveConfig struct {
	// Snapshot is the compiled configuration.
	Snapshot *version.Snapshot
	// Document is what Snapshot was compiled from.
	Document version.Document
	// Encoded is Document as it is stored at the platform and sent to peers.
	Encoded []byte
	// Since is the wall-clock time at which the node activated the
	// configuration.
	Since time.Time
}

// PropagationDelay returns the time from the acceptance of the configuration
// to its activation at this node. It compares the clocks of two nodes, so it
// includes the difference between them.
func (c *ActiveConfig) PropagationDelay() time.Duration {
	return c.Since.Sub(c.Snapshot.AcceptedAt())
}

// Store holds the highest version of the configuration that the node has
// received. It is safe for concurrent use. Current, Active and Version take no
// lock.
type Store struct {
	current atomic.Pointer[ActiveConfig]

	mu      sync.Mutex // held to write current, and to read and write changed
	changed chan struct{}
}

// NewStore returns a store without a configuration.
func NewStore() *Store {
	return &Store{changed: make(chan struct{})}
}

// Current returns the snapshot of the active configuration, or nil if there is
// none yet.
func (s *Store) Current() *version.Snapshot {
	if active := s.current.Load(); active != nil {
		return active.Snapshot
	}
	return nil
}

// Active returns the active configuration, or nil if there is none yet.
func (s *Store) Active() *ActiveConfig {
	return s.current.Load()
}

// Version returns the version of the active configuration, or zero if there is
// none yet.
func (s *Store) Version() uint64 {
	if active := s.current.Load(); active != nil {
		return active.Snapshot.Version()
	}
	return 0
}

// Changed returns a channel that is closed when the configuration changes next.
// To miss no change, get the channel before reading the configuration.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// WaitForVersion waits until the version of the active configuration is at
// least minVersion and returns its snapshot. It returns the error of ctx if ctx ends
// first.
func (s *Store) WaitForVersion(ctx context.Context, minVersion uint64) (*version.Snapshot, error) {
	for {
		changed := s.Changed()
		if current := s.Current(); current != nil && current.Version() >= minVersion {
			return current, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "wait for configuration version %d, active is version %d", minVersion, s.Version())
		}
	}
}

// UpdateIfNewer decodes, compiles and activates a document if its version is
// higher than the active one, and reports whether it did. It returns an error
// if the document can't be decoded or compiled; the active configuration stays
// then. The caller must not change data afterwards.
func (s *Store) UpdateIfNewer(now time.Time, data []byte) (changed bool, err error) {
	doc, err := version.Decode(data)
	if err != nil {
		return false, errors.Wrap(err, "update configuration")
	}
	return s.updateIfNewer(now, doc, data)
}

// UpdateDocumentIfNewer is like UpdateIfNewer for a decoded document. The
// caller must not change it afterwards.
func (s *Store) UpdateDocumentIfNewer(now time.Time, doc version.Document) (changed bool, err error) {
	data, err := doc.Encode()
	if err != nil {
		return false, errors.Wrap(err, "update configuration")
	}
	return s.updateIfNewer(now, doc, data)
}

func (s *Store) updateIfNewer(now time.Time, doc version.Document, data []byte) (bool, error) {
	if doc.Version <= s.Version() {
		return false, nil
	}
	snapshot, err := version.Compile(doc)
	if err != nil {
		return false, errors.Wrapf(err, "update configuration to version %d", doc.Version)
	}
	next := &ActiveConfig{Snapshot: snapshot, Document: doc, Encoded: data, Since: now}
	return s.replace(next), nil
}

// replace activates a configuration unless a version as high has been activated
// since the caller checked.
func (s *Store) replace(next *ActiveConfig) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.Snapshot.Version() <= s.Version() {
		return false
	}
	s.current.Store(next)
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}
