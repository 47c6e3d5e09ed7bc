package configstore

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/process/platform"
)

// Peer is another node that is asked for its configuration.
type Peer interface {
	// Name names the peer in errors.
	Name() string
	// Configuration returns the document that the peer has in force, as in
	// InForce.Encoded, or nil if it has none.
	Configuration(ctx context.Context) ([]byte, error)
}

// Bootstrap asks the platform and all given peers at once and offers each
// answer to the store. It returns when all have answered or the context has
// ended. The error is nil if the store then holds a configuration, is
// ErrNoConfiguration if all answered that there is none, and else tells what
// failed. The caller tries again after a delay, and serves only after
// success.
func Bootstrap(ctx context.Context, store *Store, now func() time.Time, client Client, peers []Peer) error {
	answers := make(chan error, len(peers)+1)
	var waiting sync.WaitGroup
	waiting.Go(func() { answers <- askPlatform(ctx, store, now, client) })
	for _, peer := range peers {
		waiting.Go(func() { answers <- askPeer(ctx, store, now, peer) })
	}
	waiting.Wait()
	close(answers)
	var failed error
	for err := range answers {
		if err != nil && failed == nil {
			failed = err
		}
	}
	switch {
	case store.Current() != nil:
		return nil
	case failed != nil:
		return errors.Wrap(failed, "start with a configuration")
	}
	return ErrNoConfiguration
}

func askPlatform(ctx context.Context, store *Store, now func() time.Time, client Client) error {
	object, err := client.Get(ctx, Key)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "ask platform")
	}
	_, err = store.Offer(now(), object.Value)
	return errors.Wrap(err, "ask platform")
}

func askPeer(ctx context.Context, store *Store, now func() time.Time, peer Peer) error {
	data, err := peer.Configuration(ctx)
	if err == nil && data != nil {
		_, err = store.Offer(now(), data)
	}
	return errors.Wrapf(err, "ask peer %s", peer.Name())
}
