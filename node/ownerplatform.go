package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/process/ownership"
	"verbenatrestle/process/platform"
)

// ownerPlatform adapts the platform's client to the interface ownership.Platform.
type ownerPlatform struct {
	client *platform.Client
}

// Get implements ownership.Platform.
func (p ownerPlatform) Get(ctx context.Context, key string) (ownership.Object, error) {
	o, err := p.client.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return ownership.Object{Key: key}, nil
	}
	return ownerObject(o), err
}

// Put implements ownership.Platform.
func (p ownerPlatform) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (ownership.Object, bool, error) {
	written, err := p.client.Put(ctx, key, value, ifVersion)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return ownership.Object{Key: key, Version: conflict.Version, Value: conflict.Value}, true, nil
	}
	if err != nil {
		return ownership.Object{}, false, err
	}
	return ownership.Object{Key: key, Version: written, Value: value}, false, nil
}

// Watch implements ownership.Platform.
func (p ownerPlatform) Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) ([]ownership.Object, uint64, error) {
	objects, next, err := p.watch(ctx, prefix, revision, wait)
	out := make([]ownership.Object, 0, len(objects))
	for _, o := range objects {
		out = append(out, ownerObject(o))
	}
	return out, next, err
}

// watch lists the objects if revision is zero, and watches for changes otherwise.
func (p ownerPlatform) watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	if revision == 0 {
		return p.client.List(ctx, prefix)
	}
	return p.client.Watch(ctx, prefix, revision, wait)
}

func ownerObject(o platform.Object) ownership.Object {
	return ownership.Object{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted}
}
