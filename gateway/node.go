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

	"verbenatrestle/connection/exchange"
	"verbenatrestle/connection/pipeline"
	"verbenatrestle/internal/wait"
	"verbenatrestle/process/fleet"
	"verbenatrestle/process/gate"
	"verbenatrestle/process/hops"
	"verbenatrestle/process/journal"
)

const (
	// queueShare bounds the queue of a target as a share of its slots.
	queueShare = 1.0
	// nestedShare is the share of the slots of a target that is reserved for
	// nested calls.
	nestedShare = 0.15
	// dedupWindow is how long the ids of non-idempotent requests are kept to
	// detect duplicates, and those of fenced requests to refuse them. It is
	// longer than any hop may take to arrive.
	dedupWindow = 15 * time.Second
	// hopHeaderRoom and hopBodyRoom are the factors by which requests on hops may be
	// larger than those of callers.
	hopHeaderRoom = 4
	hopBodyRoom   = 2
	// receivedResponseBytes bounds the bodies of large responses that a node receives at
	// once, from its target and from other nodes.
	receivedResponseBytes = 48 << 20
	// tickInterval is the interval of the periodic work in tick while requests wait at
	// the gate, and idleTickInterval that at other times.
	tickInterval     = 20 * time.Millisecond
	idleTickInterval = 100 * time.Millisecond
	// sweepInterval is the interval of closing idle connections, and of counting the
	// targets beside the other nodes.
	sweepInterval = 500 * time.Millisecond
)

// Node is a node of the load balancer. New returns one, and Run makes it serve
// requests.
type Node struct {
	config          *configHolder
	configLag       configLag
	configTransfers *fleet.TransferLimiter
	localTarget     *localTarget
	health          *healthChecker
	fleet           *fleet.Table
	peers           *statusExchange
	hopClient       *hopClient
	crashes         *crashExchange
	departures      *departureKeeper
	quotas          *quotaKeeper
	hopLog          *hops.Log[pipeline.Response]
	responseMemory  *exchange.MemoryBudget
	store           *storeSync
	trafficSplitter *trafficSplitter
	events          *eventLog
	metrics         *nodeMetrics
	registry        metrics.Registry
	startedAt       time.Time
	// rngs holds random number generators, which are not safe for concurrent
	// use.
	rngs         *sync.Pool
	readiness    *readiness
	callerServer *pipeline.Server
	hopServer    *pipeline.Server
	// stopping is set when a planned stop begins, and refusing when the node
	// begins to refuse new requests during that stop.
	stopping atomic.Bool
	refusing atomic.Bool

	currentSettings atomic.Pointer[Settings]
	listeners       map[string]net.Listener
}

// New opens all listeners and returns a node that writes its log to out. It
// fails if an address can't be listened on. The node serves nothing until Run
// is called.
func New(settings Settings, out io.Writer) (*Node, error) {
	n := &Node{startedAt: time.Now(), registry: metrics.NewRegistry(), trafficSplitter: newTrafficSplitter(), listeners: make(map[string]net.Listener)}
	n.currentSettings.Store(&settings)
	n.metrics = newNodeMetrics(n.registry)
	n.events = &eventLog{
		journal: journal.New(out, logRates, n.registry, "node", settings.Name),
		metrics: n.metrics,
	}
	n.rngs = &sync.Pool{New: func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }}
	n.fleet = fleet.NewTable(fleet.Settings{UnreachableAfter: unreachableAfter, ForgetAfter: forgetAfter, AvoidFor: avoidFor})
	n.config = newConfigHolder(n.configChanged)
	n.configTransfers = fleet.NewTransferLimiter(fleet.MaxConfigTransfers, configTransferTimeout)
	n.localTarget = newLocalTarget(n, gate.Settings{
		QueueShare: queueShare, NestedShare: nestedShare, DedupWindow: dedupWindow,
		RetryBudget: settings.Limits.retryBudget(), SlackFrom: n.slackFrom(), StartedAt: n.startedAt,
	})
	n.health = newHealthChecker(n)
	n.peers = newStatusExchange(n, rand.Uint64())
	n.responseMemory = exchange.NewMemoryBudget(receivedResponseBytes)
	n.hopClient = newHopClient(n, n.responseMemory)
	n.crashes = newCrashExchange(n)
	n.departures = newDepartureKeeper(n)
	n.quotas = newQuotaKeeper(n)
	n.hopLog = newHopLog()
	n.store = newStoreSync(n)
	n.readiness = &readiness{node: n}
	callerBodies, hopBodies := settings.Limits.bodyBudgets()
	n.callerServer = &pipeline.Server{
		Handler: n.ingress, Limits: n.callerLimits, Reject: n.reject, Logger: log.NewNopLogger(),
		Memory: callerBodies, RejectBusy: n.rejectBusy,
	}
	n.hopServer = &pipeline.Server{
		Handler: n.serveHop, Limits: n.hopLimits, Reject: n.rejectHop, Logger: log.NewNopLogger(),
		Memory: hopBodies, RejectBusy: n.rejectBusyHop,
	}
	return n, n.listen()
}

// hopLimits returns the limits of requests on hops. They leave room above the limits
// for callers, which the sending node has already applied, perhaps by a newer
// configuration.
func (n *Node) hopLimits() pipeline.Limits {
	callers := n.callerLimits()
	return pipeline.Limits{
		MaxHeaderBytes: hopHeaderRoom * max(defaultHeaderBytes, callers.MaxHeaderBytes),
		MaxBodyBytes:   hopBodyRoom * max(defaultBodyBytes, callers.MaxBodyBytes),
		HeaderTimeout:  defaultHeaderTimeout, IdleTimeout: hopServerIdleTimeout,
	}
}

// slackFrom returns when the whole slack of the retry budget becomes available.
func (n *Node) slackFrom() time.Time { return n.startedAt.Add(n.settings().slackDelay()) }

// settings returns the current settings, which Reload replaces as a whole.
func (n *Node) settings() *Settings { return n.currentSettings.Load() }

// listen opens all listeners, or none if one of them fails.
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

// closeListeners closes all listeners that are open.
func (n *Node) closeListeners() {
	for _, listener := range n.listeners {
		_ = listener.Close() // the node can do nothing about an error here
	}
	if n.peers.conn != nil {
		_ = n.peers.conn.Close() // as above
	}
}

// configChanged logs a new configuration snapshot, applies it to the local
// target and sends a status to all peers.
func (n *Node) configChanged(before, after *configSnapshot, source string) {
	if after.routes == before.routes {
		n.events.dataCentresOutChanged(before, after, source)
	} else {
		outdatedFor, failures := n.configLag.activated(after.number(), time.Now())
		n.events.configActivated(before, after, source, outdatedFor, failures)
	}
	n.localTarget.configure(after)
	n.peers.requestBroadcast()
}

// Run serves requests until the context ends, then performs a planned stop,
// which takes at most Limits.StopSeconds. Its goroutines have ended when it returns. It
// must be called only once. The returned error is always nil.
func (n *Node) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	journalCtx, endJournal := context.WithCancel(context.Background())
	var journalDone, serving, workers sync.WaitGroup
	journalDone.Go(func() { n.events.journal.Run(journalCtx) })
	n.events.log(journal.Change, "start", "settings", *n.settings(), "incarnation", n.peers.incarnation, "unsupported", n.settings().unsupported())
	l := n.settings().Listen
	workers.Go(func() { n.serveControl(runCtx, n.listeners[l.Readiness], n.readiness) })
	workers.Go(func() { n.serveControl(runCtx, n.listeners[l.Reports], n.reportHandler()) })
	workers.Go(func() { n.serveControl(runCtx, n.listeners[l.Metrics], n.metricsHandler()) })
	serving.Go(func() { n.serveRequests(n.callerServer, n.listeners[l.Callers]) })
	serving.Go(func() { n.serveRequests(n.hopServer, n.listeners[l.Hop]) })
	for _, run := range []func(context.Context){n.peers.receive, n.peers.send, n.crashes.run, n.departures.run, n.quotas.run, n.store.run, n.health.run, n.tick} {
		workers.Go(func() { run(runCtx) })
	}
	<-ctx.Done()
	n.stop(&serving)
	n.events.log(journal.Change, "stop", "pending", n.callerServer.Pending()+n.hopServer.Pending())
	cancel()
	n.closeListeners()
	n.callerServer.Close()
	n.hopServer.Close()
	workers.Wait()
	endJournal()
	journalDone.Wait()
	return nil
}

// serveRequests serves a listener until it is closed.
func (n *Node) serveRequests(server *pipeline.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil {
		n.events.log(journal.Change, "listener_failed", "address", listener.Addr().String(), "err", err)
	}
}

// tick advances the gate of the local target, and closes idle connections, at
// fixed intervals until the context ends.
func (n *Node) tick(ctx context.Context) {
	sweepAt := time.Now()
	interval := idleTickInterval
	for wait.For(ctx, interval) {
		now := time.Now()
		interval = idleTickInterval
		if n.localTarget.tick(now) {
			interval = tickInterval
		}
		if now.Before(sweepAt) {
			continue
		}
		sweepAt = now.Add(sweepInterval)
		n.localTarget.sweep(now)
		n.hopClient.sweep(now)
		n.hopLog.Expire(now)
		n.config.expire(now)
	}
}
