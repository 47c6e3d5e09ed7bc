package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"verbenatrestle/connection/peerlink"
	"verbenatrestle/internal/wait"
	"verbenatrestle/process/membership"
	"verbenatrestle/process/ownership"
	"verbenatrestle/process/platform"
	"verbenatrestle/request"
	"verbenatrestle/request/balance"
	"verbenatrestle/request/quarantine"
	"verbenatrestle/version"
)

// configSyncPoll is how often a starting node looks whether it may serve.
const configSyncPoll = 20 * time.Millisecond

// Node is one running node. New builds it, Run runs it.
type Node struct {
	settings    Settings
	incarnation uint64
	logger      log.Logger
	registry    metrics.Registry
	started     time.Time

	client      *platform.Client
	config      *configuration
	table       *membership.Table
	balance     *balance.Table
	owners      *ownership.Runner
	quarantine  *quarantine.Table
	limiter     *request.Limiter
	budgets     *budgets
	measurement *measurementBudget
	links       *peerlink.Links
	peers       *peerHandler
	directory   *directory
	routing     *routing
	proxy       *targetProxy
	target      *localTarget
	ingress     *ingress
	servers     *servers
	versions    *versions
	requests    *requestMetrics
	hops        *hopClient
	owner       *owner

	membersListed atomic.Bool
	stopping      atomic.Bool
}

// New builds a node from settings that LoadSettings returned. It opens no
// listener and makes no call.
func New(settings Settings, logger log.Logger) (*Node, error) {
	now := time.Now()
	n := &Node{
		settings:    settings,
		incarnation: uint64(now.UnixNano()),
		logger:      logger,
		registry:    metrics.NewRegistry(),
		started:     now,
		quarantine:  quarantine.New(quarantine.DefaultSettings),
		limiter:     request.NewLimiter(),
		budgets:     newBudgets(settings.Budgets),
	}
	n.client = platform.New(platform.Config{
		BaseURL:  settings.Platform.Address,
		Timeout:  settings.Platform.Timeout,
		Registry: n.registry,
	})
	steps := []func() error{n.buildMembership, n.buildOwnership, n.buildConfig, n.buildLinks, n.buildTarget, n.buildIngress, n.buildRouting, n.buildServers}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, errors.Wrapf(err, "build node %s", settings.Name)
		}
	}
	return n, nil
}

// newRandom returns a random number generator of its own seed.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// applyConfig puts a configuration in force that is newer than the last.
func (n *Node) applyConfig(snapshot *version.Snapshot) {
	bounds, weights := shareLimits(snapshot)
	now := time.Now()
	n.limiter.SetLimits(bounds, now)
	n.proxy.admission.SetWeights(weights)
	n.updateOutOfService(now)
	n.target.setLimits(snapshot)
	n.target.publish()
	n.budgets.keep(snapshot)
	n.owners.SetServices(serviceSpecs(snapshot))
	n.routing.configChanged()
	n.peers.send(n.peers.gossip.activated(snapshot.Version()))
	_ = level.Info(n.logger).Log("msg", "configuration in force", "version", snapshot.Version(),
		"after_ms", time.Since(snapshot.AcceptedAt()).Milliseconds())
}

// Run runs the node until the context ends, and then stops it as planned.
func (n *Node) Run(ctx context.Context) error {
	if err := n.links.Start(); err != nil {
		return errors.Wrap(err, "start peer links")
	}
	failed, err := n.servers.start()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	for _, loop := range n.backgroundLoops() {
		group.Go(func() { loop(background) })
	}
	n.owners.Start()
	_ = level.Info(n.logger).Log("msg", "node started", "callers", n.settings.Listen.Callers)
	select {
	case <-ctx.Done():
		err = nil
	case err = <-failed:
	}
	n.stop()
	cancel()
	group.Wait()
	return err
}

// backgroundLoops returns what runs beside the requests.
func (n *Node) backgroundLoops() []func(context.Context) {
	n.directory.publish(n.table.Self())
	return []func(context.Context){
		n.peers.run,
		n.target.run,
		n.routing.run,
		n.config.run,
		n.awaitConfigSync,
		n.directory.runWriter,
		(&reaper{self: n.settings.Name, client: n.client, members: n.table.Members, logger: n.logger}).run,
		func(ctx context.Context) { n.directory.runReader(ctx, func() { n.membersListed.Store(true) }) },
	}
}

// updateOutOfService takes the target out of service while operators want it so, and while
// the node does not know yet what operators want.
func (n *Node) updateOutOfService(now time.Time) {
	s := n.config.snapshot()
	out := s.DataCentreOutOfService(n.settings.DataCentre) || s.TargetOutOfService(n.settings.Name)
	n.proxy.admission.SetOutOfService(out || !n.configSynced(now), now)
}

// configSynced reports whether the node knows what operators want.
func (n *Node) configSynced(now time.Time) bool {
	return n.config.synced(len(n.table.Neighbours()) == 0, now)
}

// awaitConfigSync opens the gate once the node knows what operators want.
func (n *Node) awaitConfigSync(ctx context.Context) {
	for !n.configSynced(time.Now()) {
		if !wait.For(ctx, configSyncPoll) {
			return
		}
	}
	n.updateOutOfService(time.Now())
	n.target.publish()
}

// ready reports whether the node can serve: it knows the fleet, from the
// platform or from a peer that has linked to it, and the configuration.
func (n *Node) ready() bool {
	fleet := n.membersListed.Load() || n.config.peerConfirmed.Load()
	return fleet && n.configSynced(time.Now()) && !n.stopping.Load()
}

// stop is the planned stop: no request in flight is cut off.
func (n *Node) stop() {
	n.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout)
	defer cancel()
	_ = level.Info(n.logger).Log("msg", "node stops")
	n.target.drain("")
	n.logStopError("hand over partitions", n.owners.Stop(ctx))
	n.logStopError("stop listeners", n.servers.stop(ctx))
	n.peers.send(n.table.Leave(time.Now()))
	n.logStopError("remove member object", n.directory.remove(ctx))
	n.logStopError("stop peer links", n.links.Stop(ctx))
	if client := n.proxy.client.Load(); client != nil {
		client.close()
	}
	_ = level.Info(n.logger).Log("msg", "node stopped")
}

// logStopError logs the failure of a step of the planned stop, which goes on.
func (n *Node) logStopError(step string, err error) {
	if err != nil {
		_ = level.Warn(n.logger).Log("msg", "stop", "step", step, "err", err)
	}
}
