package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"verbenatrestle/connection/pipeline"
	"verbenatrestle/internal/wait"
	"verbenatrestle/process/fleet"
	"verbenatrestle/process/gate"
	"verbenatrestle/process/journal"
)

const (
	// queueShare bounds a target's queue as a share of its slots.
	queueShare = 1.0
	// callShare is the share of a target's slots kept for calls of targets.
	callShare = 0.15
	// rememberIDs is how long the ids of requests that must not run twice are
	// kept: longer than any hop may take to arrive.
	rememberIDs = 15 * time.Second
	// tickEvery is the period of what happens by time alone.
	tickEvery = 20 * time.Millisecond
)

// Node is a running node.
type Node struct {
	config   *configState
	guard    *guard
	health   *healthChecker
	fleet    *fleet.Table
	peers    *peerTalk
	hops     *hopClient
	store    *storeSync
	shares   *shares
	events   *events
	meters   *meters
	registry metrics.Registry
	rngs     *sync.Pool
	ready    *readiness
	callers  *pipeline.Server
	hopsIn   *pipeline.Server
	// stopping tells that a planned stop has begun, and closing that no more
	// requests are taken.
	stopping atomic.Bool
	closing  atomic.Bool

	current   atomic.Pointer[Settings]
	listeners map[string]net.Listener
}

// New returns a node that writes its log to out. Run starts it.
func New(settings Settings, out io.Writer) (*Node, error) {
	n := &Node{registry: metrics.NewRegistry(), shares: newShares(), listeners: make(map[string]net.Listener)}
	n.current.Store(&settings)
	n.meters = newMeters(n.registry)
	n.events = &events{
		journal: journal.New(out, logRates, n.registry, "node", settings.Name),
		meters:  n.meters,
	}
	n.rngs = &sync.Pool{New: func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }}
	n.fleet = fleet.NewTable(fleet.Settings{UnreachableAfter: silentAfter, ForgetAfter: forgetAfter, AvoidFor: avoidFor})
	n.config = newConfigState(n.configChanged)
	n.guard = newGuard(n, gate.Settings{
		QueueShare: queueShare, NestedShare: callShare, DedupWindow: rememberIDs,
		RetryBudget: settings.Limits.repeats(),
	})
	n.health = newHealthChecker(n)
	n.peers = newPeerTalk(n, rand.Uint64())
	n.hops = newHopClient(n)
	n.store = newStoreSync(n)
	n.ready = &readiness{node: n}
	n.callers = &pipeline.Server{Handler: n.ingress, Limits: n.callerLimits, Reject: n.reject, Logger: log.NewNopLogger()}
	n.hopsIn = &pipeline.Server{Handler: n.serveHop, Limits: hopLimits, Reject: n.reject, Logger: log.NewNopLogger()}
	return n, n.listen()
}

// hopLimits are the bounds for hops, whose senders keep those for callers.
func hopLimits() pipeline.Limits {
	return pipeline.Limits{
		MaxHeaderBytes: 4 * defaultHeaderBytes, MaxBodyBytes: 2 * defaultBodyBytes,
		HeaderTimeout: defaultHeaderTimeout, IdleTimeout: hopServerIdle,
	}
}

func (n *Node) settings() *Settings { return n.current.Load() }

// listen opens all listeners.
func (n *Node) listen() error {
	l := n.settings().Listen
	for _, address := range []string{l.Callers, l.Hop, l.Readiness, l.Reports, l.Metrics} {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			n.closeListeners()
			return errors.Wrapf(err, "listen on %s", address)
		}
		n.listeners[address] = listener
	}
	if err := n.peers.listen(l.Peers); err != nil {
		n.closeListeners()
		return err
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, listener := range n.listeners {
		_ = listener.Close() // nothing waits on it
	}
	if n.peers.conn != nil {
		_ = n.peers.conn.Close() // as above
	}
}

// configChanged takes in what is newly in force.
func (n *Node) configChanged(before, after *routeState, source string) {
	n.events.configChanged(before, after, source)
	n.guard.configure(after)
	n.peers.tellAll()
}

// Run serves until the context ends, then stops as planned.
func (n *Node) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { n.events.journal.Run(inner) })
	n.events.log(journal.Change, "start", "settings", *n.settings(), "incarnation", n.peers.incarnation)
	l := n.settings().Listen
	go n.serveSmall(inner, n.listeners[l.Readiness], n.ready)
	go n.serveSmall(inner, n.listeners[l.Reports], n.reportHandler())
	go n.serveSmall(inner, n.listeners[l.Metrics], n.metricsHandler())
	go n.serveRequests(n.callers, n.listeners[l.Callers])
	go n.serveRequests(n.hopsIn, n.listeners[l.Hop])
	go n.peers.receive(inner)
	go n.peers.send(inner)
	go n.store.run(inner)
	go n.health.run(inner)
	go n.tick(inner)
	<-ctx.Done()
	n.stop()
	n.events.log(journal.Change, "stop", "pending", n.callers.Pending()+n.hopsIn.Pending())
	cancel()
	n.closeListeners()
	n.callers.Close()
	n.hopsIn.Close()
	group.Wait()
	return nil
}

func (n *Node) serveRequests(server *pipeline.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil {
		n.events.log(journal.Change, "listener_failed", "address", listener.Addr().String(), "err", err)
	}
}

// tick does what happens by time alone.
func (n *Node) tick(ctx context.Context) {
	wait.Every(ctx, tickEvery, func(now time.Time) {
		n.guard.tick()
		n.hops.sweep(now)
	})
}
