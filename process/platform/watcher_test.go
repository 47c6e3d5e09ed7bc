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

// recordedVersions records the versions of the objects that a watcher reported.
type recordedVersions struct {
	mu       sync.Mutex
	versions map[string]uint64
}

func (m *recordedVersions) handle(update platform.Update) {
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

func (m *recordedVersions) version(key string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.versions[key]
}

// startWatcher runs a watcher with short intervals until the test ends.
func startWatcher(t *testing.T, f *fixture) *recordedVersions {
	t.Helper()
	m := &recordedVersions{}
	config := unlimitedConfig()
	config.BaseURL = f.http.URL
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

// TestWatcherRecoversFromFaults checks that a watcher reports a change and a deletion in spite
// of a skipped change, a stalled watch or an outage of the platform.
func TestWatcherRecoversFromFaults(t *testing.T) {
	cases := []struct {
		name     string
		control  standin.Control
		recovery standin.Control
	}{
		{"nothing", standin.Control{}, standin.Control{}},
		{"skipped change", standin.Control{SkipWatchEvents: ptr(1)}, standin.Control{}},
		{"stalled watch", standin.Control{StallWatches: ptr(true)}, standin.Control{}},
		{"outage", standin.Control{}, standin.Control{Down: ptr(false)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, standin.Options{}, unlimitedConfig())
			version, err := f.client.Put(t.Context(), "seen/a", []byte("1"), 0)
			if err != nil {
				t.Fatal(err)
			}
			_, err = f.client.Put(t.Context(), "other", []byte("1"), 0)
			if err != nil {
				t.Fatal(err)
			}
			m := startWatcher(t, f)
			eventually(t, "the first list", func() bool { return m.version("seen/a") == version })
			f.server.Apply(c.control)
			next, err := f.client.Put(t.Context(), "seen/a", []byte("2"), version)
			if err != nil {
				t.Fatal(err)
			}
			if c.recovery.Down != nil {
				f.server.Apply(standin.Control{Down: ptr(true)})
				eventually(t, "calls refused during the outage", func() bool { return f.server.Stats().Refused >= 3 })
				f.server.Apply(c.recovery)
			}
			eventually(t, "the change", func() bool { return m.version("seen/a") == next })
			if m.version("other") != 0 {
				t.Fatal("the watcher reported an object without the prefix")
			}
			if err := f.client.Delete(t.Context(), "seen/a", next); err != nil {
				t.Fatal(err)
			}
			eventually(t, "the deletion", func() bool { return m.version("seen/a") == 0 })
		})
	}
}
