package platform_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	standin "verbenatrestle/internal/standin/platform"
	"verbenatrestle/process/platform"
)

// mirror keeps what a watcher told.
type mirror struct {
	mu       sync.Mutex
	versions map[string]uint64
}

func (m *mirror) handle(update platform.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if update.Snapshot {
		m.versions = make(map[string]uint64)
	}
	for _, object := range update.Objects {
		m.versions[object.Key] = object.Version
		if object.Deleted {
			delete(m.versions, object.Key)
		}
	}
}

func (m *mirror) version(key string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.versions[key]
}

func follow(t *testing.T, b *bench) *mirror {
	t.Helper()
	m := &mirror{}
	config := wide()
	config.BaseURL = b.http.URL
	config.Timeout = 300 * time.Millisecond
	watcher := &platform.Watcher{
		Client:         platform.New(config),
		Prefix:         "seen/",
		OnUpdate:       m.handle,
		Rand:           rand.New(rand.NewPCG(1, 2)),
		Wait:           300 * time.Millisecond,
		RelistInterval: 400 * time.Millisecond,
		ChangeJitter:   time.Millisecond,
		Backoff:        platform.Backoff{Base: time.Millisecond, Cap: 10 * time.Millisecond},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		watcher.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return m
}

func TestWatcherSurvives(t *testing.T) {
	cases := []struct {
		name    string
		control standin.Control
		mend    standin.Control
	}{
		{"nothing", standin.Control{}, standin.Control{}},
		{"skipped change", standin.Control{SkipWatchEvents: ptr(1)}, standin.Control{}},
		{"stalled watch", standin.Control{StallWatches: ptr(true)}, standin.Control{}},
		{"outage", standin.Control{}, standin.Control{Down: ptr(false)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, standin.Options{}, wide())
			version, err := b.client.Put(t.Context(), "seen/a", []byte("1"), 0)
			if err != nil {
				t.Fatal(err)
			}
			_, err = b.client.Put(t.Context(), "other", []byte("1"), 0)
			if err != nil {
				t.Fatal(err)
			}
			m := follow(t, b)
			eventually(t, "first list", func() bool { return m.version("seen/a") == version })
			b.server.Apply(c.control)
			next, err := b.client.Put(t.Context(), "seen/a", []byte("2"), version)
			if err != nil {
				t.Fatal(err)
			}
			if c.mend.Down != nil {
				b.server.Apply(standin.Control{Down: ptr(true)})
				eventually(t, "refused calls", func() bool { return b.server.Stats().Refused >= 3 })
				b.server.Apply(c.mend)
			}
			eventually(t, "sight of the change", func() bool { return m.version("seen/a") == next })
			if m.version("other") != 0 {
				t.Fatal("saw an object outside of the prefix")
			}
			if err := b.client.Delete(t.Context(), "seen/a", next); err != nil {
				t.Fatal(err)
			}
			eventually(t, "sight of the deletion", func() bool { return m.version("seen/a") == 0 })
		})
	}
}
