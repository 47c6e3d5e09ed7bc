package platform_test

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"testing"
	"time"

	objectstore "verbenatrestle/platform"
	"verbenatrestle/platform/standin"
	"verbenatrestle/process/platform"
)

// A watch that ends without news while watches stall must not make the watcher skip the
// change: lists are minutes apart.
func TestWatcherFindsChangeThatAStalledWatchMissed(t *testing.T) {
	stored := standin.NewStore()
	server := httptest.NewServer(stored)
	t.Cleanup(server.Close)
	stored.Put("seen", "a", []byte(`"1"`))
	config := unlimitedConfig()
	config.BaseURL, config.Dialect = server.URL, objectstore.Store{}
	m := &recordedVersions{}
	watcher := &platform.Watcher{
		Client: platform.New(config), Prefix: "seen/", OnUpdate: m.handle, Rand: rand.New(rand.NewPCG(1, 2)),
		Wait: 20 * time.Millisecond, RelistInterval: time.Hour, ChangeJitter: time.Nanosecond,
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
	eventually(t, "the first list", func() bool { return m.version("seen/a") != 0 })
	stored.SetFaults(standin.Faults{StallWatches: true})
	revision := stored.Put("seen", "a", []byte(`"2"`))
	watches := stored.Watches()
	eventually(t, "watches that miss the change", func() bool { return stored.Watches() >= watches+3 })
	stored.SetFaults(standin.Faults{})
	eventually(t, "the change", func() bool { return platform.VersionRevision(m.version("seen/a")) == revision })
}
