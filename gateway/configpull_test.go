package gateway

import (
	"context"
	"testing"
	"time"

	"verbenatrestle/platform"
	"verbenatrestle/platform/standin"
)

// A status tells of a newer configuration at the moment at which a pull has found none
// and ends. The pull has to begin again, or the node stays outdated until another
// status arrives.
func TestStatusAtTheEndOfAPullIsNotLost(t *testing.T) {
	pulls := make(chan int, 4)
	var puller configPuller
	count := 0
	puller.pull = func(ctx context.Context) {
		count++
		if count == 1 {
			puller.start(ctx)
		}
		pulls <- count
	}
	puller.start(t.Context())
	for want := 1; want <= 2; want++ {
		select {
		case <-pulls:
		case <-time.After(5 * time.Second):
			t.Fatalf("pull %d does not begin", want)
		}
	}
	eventually(t, "the next pull begins", func() bool {
		puller.start(t.Context())
		return len(pulls) > 0
	})
}

// Peers have a configuration that this node can't decode, as in a rolling upgrade. It
// must not fetch the text from one after the other without a pause, and must take the
// next configuration at once.
func TestUndecodableConfigurationIsNotFetchedAgainAtOnce(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	a, b, c := f.add(quick), f.add(quick), f.add(quick)
	f.settled(1)
	bad, err := newConfigDocument([]byte(`{"version":"r2","routes":7}`))
	if err != nil {
		t.Fatal(err)
	}
	routes, err := platform.DecodeRoutes(standin.ConfigForServices(2, "s"))
	if err != nil {
		t.Fatal(err)
	}
	b.config.activate(routes, bad, "test", 0)
	c.config.activate(routes, bad, "test", 0)
	eventually(t, "the node knows of it", func() bool { return a.configLag.newestKnown() == 2 })
	eventually(t, "the node has fetched it", func() bool { return a.metrics.configFetchesFailed.Count() > 0 })
	time.Sleep(time.Second)
	if sent := b.metrics.configsSent.Count() + c.metrics.configsSent.Count(); sent > 2+3 {
		t.Errorf("sent %d times", sent)
	}
	f.store.Put("config", "main", standin.ConfigForServices(3, "s"))
	f.settled(3)
}

// A node hears of a configuration by datagrams, but no peer can be connected to. It has
// to read the configuration from the store, although it is not one of those that watch
// the store for the fleet.
func TestNodeThatCanNotFetchReadsTheStore(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	for range 6 {
		f.add(quick)
	}
	f.settled(1)
	standby := f.nodes[0]
	eventually(t, "a node is no active watcher", func() bool {
		for _, n := range f.nodes {
			if n.store.reachable.Load() && !n.store.watchRole().Active {
				standby = n
				return true
			}
		}
		return false
	})
	for _, n := range f.nodes {
		if n != standby {
			_ = n.listeners[n.settings.Listen.Hop].Close()
			n.hopServer.Close()
		}
	}
	f.store.Put("config", "main", standin.ConfigForServices(2, "s"))
	eventually(t, "the node has the configuration", func() bool { return standby.config.snapshot().number() == 2 })
}

// All holders of a newer configuration are silent for a moment, as when their links are
// full. The node still knows that its own one is outdated.
func TestOutdatedNodeRemembersWhileHoldersAreSilent(t *testing.T) {
	var lag configLag
	start := time.Unix(1000, 0)
	lag.activated(3, start)
	if lag.outdated(3, start) {
		t.Fatal("outdated with the only configuration")
	}
	lag.heard(4, 3, start)
	for _, later := range []time.Duration{0, 2 * unreachableAfter, outdatedMemory - time.Millisecond} {
		if !lag.outdated(3, start.Add(later)) {
			t.Fatalf("not outdated %v after it heard of a newer configuration", later)
		}
	}
	if lag.outdated(4, start) {
		t.Fatal("outdated with the newest configuration")
	}
	if lag.outdated(3, start.Add(outdatedMemory)) {
		t.Fatal("nobody has told of it for so long that it may be gone")
	}
	lag.heard(4, 3, start.Add(outdatedMemory))
	if !lag.outdated(3, start.Add(outdatedMemory+time.Second)) {
		t.Fatal("not outdated though it was told again")
	}
}
