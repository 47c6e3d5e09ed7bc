package configstore

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/version"
)

// ActiveConfig is a configuration with the time at which a node took it over.
type ActiveConfig struct {
	// Snapshot is the configuration.
	Snapshot *version.Snapshot
	// Document is what the snapshot was stamped out of. It is read-only.
	Document version.Document
	// Encoded is the document as the platform and the peers hold it. It is
	// read-only.
	Encoded []byte
	// Since is the wall-clock time at which the node took it over.
	Since time.Time
}

// PropagationDelay is the time from acceptance to taking over. It compares the clocks of
// two nodes, so it is only as good as their agreement.
func (c *ActiveConfig) PropagationDelay() time.Duration {
	return c.Since.Sub(c.Snapshot.AcceptedAt())
}

// Store holds the highest version of the configuration that the node ever
// saw. It is safe for concurrent use; reading takes no lock.
type Store struct {
	current atomic.Pointer[ActiveConfig]

	mu      sync.Mutex // guards writes of current, and changed
	changed chan struct{}
}

// NewStore returns a store without a configuration.
func NewStore() *Store {
	return &Store{changed: make(chan struct{})}
}

// Current returns the snapshot in force, or nil before the first.
func (s *Store) Current() *version.Snapshot {
	if f := s.current.Load(); f != nil {
		return f.Snapshot
	}
	return nil
}

// Active returns the configuration in force, or nil before the first.
func (s *Store) Active() *ActiveConfig {
	return s.current.Load()
}

// Version returns the version in force, or zero before the first.
func (s *Store) Version() uint64 {
	if f := s.current.Load(); f != nil {
		return f.Snapshot.Version()
	}
	return 0
}

// Changed returns a channel that is closed at the next change. To miss none,
// take the channel before reading the current configuration.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// WaitForVersion returns the snapshot once its version is at least low.
func (s *Store) WaitForVersion(ctx context.Context, low uint64) (*version.Snapshot, error) {
	for {
		changed := s.Changed()
		if current := s.Current(); current != nil && current.Version() >= low {
			return current, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "wait for configuration %d, %d in force", low, s.Version())
		}
	}
}

// UpdateIfNewer takes over an encoded document if its version is higher than the one
// in force, and reports whether it did.
func (s *Store) UpdateIfNewer(now time.Time, data []byte) (changed bool, err error) {
	doc, err := version.Decode(data)
	if err != nil {
		return false, errors.Wrap(err, "offer configuration")
	}
	return s.updateIfNewer(now, doc, data)
}

// UpdateDocumentIfNewer is Offer for a decoded document. The store keeps it, so it
// must not be changed afterwards.
func (s *Store) UpdateDocumentIfNewer(now time.Time, doc version.Document) (changed bool, err error) {
	data, err := doc.Encode()
	if err != nil {
		return false, errors.Wrap(err, "offer configuration")
	}
	return s.updateIfNewer(now, doc, data)
}

func (s *Store) updateIfNewer(now time.Time, doc version.Document, data []byte) (bool, error) {
	if doc.Version <= s.Version() {
		return false, nil
	}
	snapshot, err := version.Compile(doc)
	if err != nil {
		return false, errors.Wrapf(err, "offer configuration %d", doc.Version)
	}
	next := &ActiveConfig{Snapshot: snapshot, Document: doc, Encoded: data, Since: now}
	return s.replace(next), nil
}

// replace takes over a configuration unless a higher one came meanwhile.
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
