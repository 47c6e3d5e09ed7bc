package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/platform"
	"verbenatrestle/platform/standin"
	"verbenatrestle/process/fleet"
	"verbenatrestle/request"
)

// A status announces a newer configuration at the moment at which a pull has found none
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
	b.config.activate(decodedConfig{routes: routes, document: bad}, "test")
	c.config.activate(decodedConfig{routes: routes, document: bad}, "test")
	eventually(t, "the node knows of it", func() bool { return a.configLag.newestKnown() == 2 })
	eventually(t, "the node has fetched it", func() bool { return a.metrics.configFetchesFailed.Count() > 0 })
	time.Sleep(time.Second)
	if sent := b.metrics.configsSent.Count() + c.metrics.configsSent.Count(); sent > 2+3 {
		t.Errorf("sent %d times", sent)
	}
	f.store.Put("config", "main", standin.ConfigForServices(3, "s"))
	f.settled(3)
}

// A node learns of a configuration by datagrams, but no peer can be connected to. It has
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

// A node of a large fleet can't fetch a configuration that all others have, after an outage
// of the store. It must read the store at once: a wait for its turn among all nodes, or for
// its next poll, takes longer than a change may take to become active.
func TestOnlyOutdatedNodeReadsTheStoreAtOnce(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(2, "s"))
	for try := range 20 {
		n, err := New(f.newSettings(fmt.Sprint("outdated-", try), "s"), io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.closeListeners)
		now := time.Now()
		for i := range 1342 {
			name, address := fmt.Sprint("n-", i), fmt.Sprintf("127.0.%d.5:%d", i/250, 1+i)
			n.fleet.AddDiscovered(fleet.Discovered{Node: name, DatagramAddress: address}, now)
			n.fleet.Merge(fleet.Status{Node: name, Incarnation: uint64(i + 1), Sequence: 1, ConfigNumber: 2}, address, now)
		}
		n.configLag.received(2, 0, now.Add(-2*storeReadAfter))
		n.store.recordCallResult(errors.New("no response"))
		if !n.storeReadDue(now) || !n.readConfigFromStore(t.Context()) || n.config.snapshot().number() != 2 {
			t.Fatal("the store is not read")
		}
	}
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
	lag.received(4, 3, start)
	for _, later := range []time.Duration{0, 2 * unreachableAfter, outdatedMemory - time.Millisecond} {
		if !lag.outdated(3, start.Add(later)) {
			t.Fatalf("not outdated %v after it received the number of a newer configuration", later)
		}
	}
	if lag.outdated(4, start) {
		t.Fatal("outdated with the newest configuration")
	}
	if lag.outdated(3, start.Add(outdatedMemory)) {
		t.Fatal("nobody has announced it for so long that it may be gone")
	}
	lag.received(4, 3, start.Add(outdatedMemory))
	if !lag.outdated(3, start.Add(outdatedMemory+time.Second)) {
		t.Fatal("not outdated though it was announced again")
	}
}

// Many nodes ask one holder at once, and their links are so slow that the kernel's
// buffers hold a whole text. The holder has to decline all but a few, and serve others
// when these have ended.
func TestHolderDeclinesFurtherTransfers(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", largeConfig(1, 1400))
	f.prepare = func(n *Node) { // only the end of a transfer frees its place
		n.configTransfers = fleet.NewTransferLimiter(fleet.MaxConfigTransfers, time.Hour)
	}
	holder := f.add(quick)
	f.settled(1)
	const askers = 20
	results := make(chan error, askers)
	for range askers {
		go func() {
			client := newHopClient(holder.Node, nil)
			_, err := client.config(t.Context(), holder.settings.Listen.Hop)
			results <- err
		}()
	}
	sent, busy := 0, 0
	for range askers {
		switch err := <-results; {
		case err == nil:
			sent++
		case errors.Is(err, errConfigBusy):
			busy++
		default:
			t.Errorf("a fetch failed: %v", err)
		}
	}
	if sent == 0 || busy < askers/2 {
		t.Errorf("%d of %d transfers at once, %d declined", sent, askers, busy)
	}
	for i := range 3 * fleet.MaxConfigTransfers {
		eventually(t, fmt.Sprintf("transfer %d, one after the other", i), func() bool {
			_, err := holder.hopClient.config(t.Context(), holder.settings.Listen.Hop)
			return err == nil
		})
	}
}

// fakeHolder answers fetches of a configuration by a function.
func fakeHolder(t *testing.T, serve func(fetch int, w http.ResponseWriter)) (address string, fetches *atomic.Int32) {
	t.Helper()
	fetches = new(atomic.Int32)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(request.HeaderHop) == hopConfig {
			serve(int(fetches.Add(1)), w)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), fetches
}

// hearOf makes the node know a peer that has a configuration, by one status.
func hearOf(f *testFleet, n *testNode, name, hopAddress string, number uint64) {
	f.t.Helper()
	status := fleet.Status{Node: name, Incarnation: number<<8 + uint64(len(name)), Sequence: 1, DataCentre: "z1", HopAddress: hopAddress, ConfigNumber: number}
	n.peers.merge(f.ctx, &status, freeUDPAddress(f.t))
}

// The only holder is busy at first, and announces its configuration once only. The node
// has to ask again.
func TestPullGoesOnWhileTheHolderIsBusy(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	a := f.add(quick)
	f.settled(1)
	address, fetches := fakeHolder(t, func(fetch int, w http.ResponseWriter) {
		if fetch <= 2 {
			w.Header().Set(headerReason, reasonConfigBusy)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write(standin.ConfigForServices(2, "s"))
	})
	hearOf(f, a, "holder", address, 2)
	eventually(t, "the node has the configuration", func() bool { return a.config.snapshot().number() == 2 })
	if got := fetches.Load(); got != 3 {
		t.Errorf("%d fetches", got)
	}
	if failed := a.metrics.configFetchesFailed.Count(); failed != 0 {
		t.Errorf("%d fetches failed: a busy holder is no failure", failed)
	}
}

// A holder stops in the middle of the text. The node must not wait for it as long as a
// transfer may take, and has to ask the other holder.
func TestStalledHolderIsLeftForAnother(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	a := f.add(quick)
	f.settled(1)
	document := standin.ConfigForServices(2, "s")
	release := make(chan struct{})
	stalled, stalledFetches := fakeHolder(t, func(_ int, w http.ResponseWriter) {
		w.Header().Set("Content-Length", strconv.Itoa(len(document)))
		_, _ = w.Write(document[:100])
		w.(http.Flusher).Flush()
		<-release
	})
	t.Cleanup(func() { close(release) }) // before the server closes, which waits for its handlers
	began := time.Now()
	if _, err := a.hopClient.config(t.Context(), stalled); err == nil || time.Since(began) >= configFetchTimeout {
		t.Fatalf("a stalled transfer ends after %v: %v", time.Since(began), err)
	}
	hearOf(f, a, "stalled", stalled, 2)
	eventually(t, "the stalled holder is asked", func() bool { return stalledFetches.Load() >= 2 })
	sound, _ := fakeHolder(t, func(_ int, w http.ResponseWriter) { _, _ = w.Write(document) })
	for sequence := uint64(1); a.config.snapshot().number() != 2; sequence++ {
		status := fleet.Status{Node: "sound", Incarnation: 5, Sequence: sequence, DataCentre: "z1", HopAddress: sound, ConfigNumber: 2}
		a.peers.merge(f.ctx, &status, freeUDPAddress(t))
		if time.Since(began) > 15*time.Second {
			t.Fatal("the node doesn't get the configuration from the other holder")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// A holder that was busy or failed is not asked again at once.
func TestHolderIsAvoidedAfterAFetchWithoutResult(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	a := f.add(quick)
	f.settled(1)
	silent := freeAddress(t)
	for _, err := range []error{errConfigBusy, errors.New("connection refused")} {
		now := time.Now()
		status := fleet.Status{Node: "holder", Incarnation: uint64(now.UnixNano()), Sequence: 1, DataCentre: "z1", HopAddress: silent, ConfigNumber: 2}
		a.fleet.Merge(status, freeUDPAddress(t), now)
		a.configFetchFailed(fleet.ConfigHolder{Node: "holder", Number: 2}, now, err)
		if h, ok := a.fleet.ConfigHolder(1, "z1", 0, now); ok {
			t.Errorf("%v: %s is asked again", err, h.Node)
		}
		if _, ok := a.fleet.ConfigHolder(1, "z1", 0, now.Add(unreachableAfter/2)); !ok && errors.Is(err, errConfigBusy) {
			t.Errorf("%v: the holder is not asked any more", err)
		}
	}
}

// One peer has a damaged copy of a configuration. The others, which are sound, have to
// be asked at once.
func TestDamagedCopyOfOnePeerBlocksNoOther(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	a := f.add(quick)
	f.settled(1)
	damaged, fetches := fakeHolder(t, func(_ int, w http.ResponseWriter) { _, _ = io.WriteString(w, `{"version":"r2","routes":7}`) })
	hearOf(f, a, "damaged", damaged, 2)
	eventually(t, "the damaged copy is fetched", func() bool { return a.metrics.configFetchesFailed.Count() > 0 })
	sound, _ := fakeHolder(t, func(_ int, w http.ResponseWriter) { _, _ = w.Write(standin.ConfigForServices(2, "s")) })
	began := time.Now()
	hearOf(f, a, "sound", sound, 2)
	eventually(t, "the node has the configuration", func() bool { return a.config.snapshot().number() == 2 })
	if took := time.Since(began); took >= undecodableRetryInterval {
		t.Errorf("only after %v", took)
	}
	if fetches.Load() != 1 {
		t.Errorf("the damaged copy was fetched %d times", fetches.Load())
	}
}

// Peers don't send a newer configuration in time, so the store is read. That must not be
// done again and again for a text that can't be decoded, nor by all nodes of a large
// fleet at once.
func TestReadsOfTheStoreAreBounded(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	a := f.add(quick)
	f.settled(1)
	newNode := func(known int) *Node {
		settings := a.settings
		settings.Name = "outdated"
		settings.Listen = Listen{
			Callers: freeAddress(t), Hop: freeAddress(t), Readiness: freeAddress(t),
			Reports: freeAddress(t), Peers: freeUDPAddress(t), Metrics: freeAddress(t),
		}
		n, err := New(settings, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.closeListeners)
		now := time.Now()
		for i := range known {
			status := fleet.Status{Node: fmt.Sprint("n-", i), Incarnation: uint64(i + 1), Sequence: 1}
			n.fleet.Merge(status, fmt.Sprintf("127.0.0.4:%d", 1+i), now)
			n.fleet.MergeLoad(status.Node, fleet.Load{}, now)
		}
		n.configLag.received(2, 0, now.Add(-2*storeReadAfter))
		n.store.reachable.Store(true)
		return n
	}
	readsIfDue := func(n *Node) bool { return n.storeReadDue(time.Now()) && n.readConfigFromStore(t.Context()) }
	if n := newNode(0); !readsIfDue(n) || n.config.snapshot().number() != 1 {
		t.Fatal("the store is not read")
	} else if readsIfDue(n) {
		t.Fatal("the store is read twice at once")
	}
	n := newNode(0)
	n.peers.configPuller.undecodable, n.peers.configPuller.undecodableAt = 2, time.Now()
	if readsIfDue(n) {
		t.Fatal("the store is read for a text that can't be decoded")
	}
	const nodes, tries = 400, 50
	n = newNode(nodes)
	reads := 0
	for range tries {
		n.peers.configPuller.nextStoreRead = time.Time{}
		if readsIfDue(n) {
			reads++
		}
	}
	if most := 4 * tries * storeReadersAtOnce / nodes; reads > most {
		t.Fatalf("%d reads in %d tries of one of %d nodes, want at most %d", reads, tries, nodes, most)
	}
}
