package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenatrestle/internal/wait"
	"verbenatrestle/platform/standin"
	"verbenatrestle/process/fleet"
)

// slowLink bounds the rate at which all connections of a listener together are written
// to, as the link of a small VM does.
type slowLink struct {
	net.Listener
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time
	// writing counts the long writes that run, and maxWriting the most at once.
	writing, maxWriting int
}

const (
	slowLinkChunk = 1 << 10
	// longWrite is the least size of a write that is counted.
	longWrite = 4 << 10
)

// Accept implements net.Listener.
func (l *slowLink) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: c, link: l}, nil
}

// send waits until the link has sent the given number of bytes.
func (l *slowLink) send(bytes int) {
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	until := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// slowConn is a connection over a slowLink.
type slowConn struct {
	net.Conn
	link *slowLink
}

// count adds to the number of long writes that run.
func (l *slowLink) count(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writing += change
	l.maxWriting = max(l.maxWriting, l.writing)
}

// most returns the highest number of long writes that ran at once.
func (l *slowLink) most() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxWriting
}

// Write implements net.Conn.
func (c *slowConn) Write(p []byte) (int, error) {
	if len(p) >= longWrite {
		c.link.count(1)
		defer c.link.count(-1)
	}
	written := 0
	for written < len(p) {
		chunk := p[written:min(len(p), written+slowLinkChunk)]
		c.link.send(len(chunk))
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// A configuration with many routes spreads in a fleet whose links are slow: one
// transfer takes 150 ms. If all nodes fetch it at once from the few that have it first,
// none of the transfers ends in time, and nodes answer 404 to requests for the new
// routes. Each transfer that begins has to be of use.
func TestLargeConfigurationSpreadsOverSlowLinks(t *testing.T) {
	const nodes, routes, transferTime = 24, 1400, 0.15
	document, err := newConfigDocument(largeConfig(2, routes))
	if err != nil {
		t.Fatal(err)
	}
	f := newTestFleet(t)
	var links []*slowLink
	f.prepare = func(n *Node) {
		hop := n.settings().Listen.Hop
		link := &slowLink{Listener: n.listeners[hop], bytesPerSecond: float64(len(document)) / transferTime}
		n.listeners[hop] = link
		links = append(links, link)
	}
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	for range nodes {
		f.add(quick)
	}
	f.settled(1)
	f.store.Put("config", "main", largeConfig(2, routes))
	for _, n := range f.nodes {
		eventually(t, n.settings.Name+" has the configuration", func() bool { return n.config.snapshot().number() == 2 })
	}
	sent, failed := int64(0), int64(0)
	for _, n := range f.nodes {
		sent += n.metrics.configsSent.Count()
		failed += n.metrics.configFetchesFailed.Count()
	}
	for i, link := range links {
		if most := link.most(); most > fleet.MaxConfigTransfers {
			t.Errorf("node %d sent the text to %d others at once", i+1, most)
		}
	}
	// At the start each node may have got the first configuration by a transfer.
	if limit := int64(2 * nodes); sent > limit || failed > 0 {
		t.Errorf("%d transfers begun and %d failed, want at most %d and none", sent, failed, limit)
	}
}

// awaitWatches waits until the watches of the node have begun and read all objects. The store
// counts the brief watches of polls as well, so its count does not tell.
func (n *testNode) awaitWatches(t *testing.T) {
	t.Helper()
	eventually(t, "the watches run", n.store.watching.Load)
	time.Sleep(300 * time.Millisecond)
}

// The nodes that read the store for the fleet poll it for changes that a watch missed.
// While nothing changes, a poll must not transfer the text of the configuration: with
// thousands of routes it would fill the link of a small VM.
func TestPollOfUnchangedConfigurationIsSmall(t *testing.T) {
	const polls = 8
	text := largeConfig(1, 1400)
	f := newTestFleet(t)
	f.store.Put("config", "main", text)
	n := f.add(quick)
	f.settled(1)
	n.awaitWatches(t)
	calls, bytes := f.store.Calls(), f.store.BytesSent()
	eventually(t, "further polls", func() bool { return f.store.Calls() >= calls+polls })
	if sent := f.store.BytesSent() - bytes; sent >= int64(len(text)) {
		t.Errorf("%d bytes in %d calls, the text has %d", sent, f.store.Calls()-calls, len(text))
	}
}

// A node knows by a peer that there is a newer configuration, but can't get it yet. A
// request that matches no route of its own one may match a route that was added since,
// so it must not be denied for good.
func TestOutdatedNodeDoesNotDenyRequests(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	a := f.add(quick)
	f.settled(1)
	if got := a.call(t, http.MethodGet, "/added/1", "before", ""); got.status != http.StatusNotFound {
		t.Fatalf("with the newest configuration: %d", got.status)
	}
	ahead := fleet.Status{Node: "ahead", Incarnation: 9, DataCentre: "z1", HopAddress: freeAddress(t), ConfigNumber: 2}
	sequence := uint64(0)
	receive := func() {
		sequence++
		ahead.Sequence = sequence
		a.peers.merge(f.ctx, &ahead, freeUDPAddress(t))
	}
	receive()
	got := a.call(t, http.MethodGet, "/added/1", "outdated", "")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("outdated: status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
	if got := a.call(t, http.MethodGet, "/s/1", "known", ""); got.status != http.StatusOK {
		t.Errorf("a route of the active configuration: %d", got.status)
	}
	receive()
	long := strings.Repeat("x", 1<<20+1)
	header := strings.Repeat("y", defaultHeaderBytes)
	if got := a.call(t, http.MethodGet, "/s/"+header, "long-header", ""); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("a header beyond the limit of the active configuration: status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
	if got := a.call(t, http.MethodPost, "/s/1", "long", long); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("a body beyond the limit of the active configuration: status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
	// The peer falls silent, as when its link is full. The node is still outdated.
	time.Sleep(2 * unreachableAfter)
	if got := a.call(t, http.MethodGet, "/added/1", "silent", ""); got.status != http.StatusServiceUnavailable {
		t.Errorf("outdated, and the peer is silent: status %d", got.status)
	}
	if !strings.Contains(a.log.String(), `"newest":2`) {
		t.Error("the log doesn't show that the node was outdated")
	}
}

// Nodes register and data centres go out of service while the configuration is long and
// stays as it is. The polls of the store must not transfer its text at each such change.
func TestPollIsSmallWhileOtherObjectsChange(t *testing.T) {
	const polls = 8
	text := largeConfig(1, 1400)
	f := newTestFleet(t)
	f.store.Put("config", "main", text)
	a := f.add(quick)
	f.settled(1)
	a.awaitWatches(t)
	ctx, stop := context.WithCancel(f.ctx)
	defer stop()
	go func() {
		for i := 0; wait.For(ctx, 50*time.Millisecond); i++ {
			f.store.Put("others", strconv.Itoa(i%5), []byte(strconv.Itoa(i)))
		}
	}()
	lists, bytes := f.store.Lists(), f.store.BytesSent()
	eventually(t, "further polls", func() bool { return f.store.Lists() >= lists+polls })
	if sent := f.store.BytesSent() - bytes; sent >= 2*int64(len(text)) {
		t.Errorf("%d bytes in %d polls, the text has %d", sent, polls, len(text))
	}
	// A change is still found by the polls alone.
	f.store.SetFaults(standin.Faults{StallWatches: true})
	f.store.Put("config", "main", largeConfig(2, 1400))
	eventually(t, "the polls find the change", func() bool { return a.config.snapshot().number() == 2 })
}
