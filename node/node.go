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

// configSyncPoll is the interval at which a starting node checks whether its
// configuration is synced.
const configSyncPoll = 20 * time.Millisecond

// Node is a node of verbenatrestle. Build it with New and call Run once.
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

// New builds a node from settings that LoadSettings or ParseSettings returned. It
// opens no listeners and sends no requests.
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

// newRandom returns a random number generator with a random seed. It is not safe
// for concurrent use.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// applyConfig applies a configuration that is newer than the active one.
func (n *Node) applyConfig(snapshot *version.Snapshot) {
	bounds, weights := shareLimits(snapshot)
	now := time.Now()
	n.limiter.SetLimits(bounds, now)
	n.proxy.admission.SetWeights(weights)
	n.updateOutOfService(now)
	n.target.setConfig(snapshot)
	n.target.publish()
	n.budgets.retain(snapshot)
	n.owners.SetServices(serviceSpecs(snapshot))
	n.routing.configChanged()
	n.peers.send(n.peers.gossip.activated(snapshot.Version()))
	_ = level.Info(n.logger).Log("msg", "configuration in force", "version", snapshot.Version(),
		"after_ms", time.Since(snapshot.AcceptedAt()).Milliseconds())
}

// Run runs the node until the context ends, and then stops it without cutting off
// requests in flight. It returns an error if a listener can't be opened or fails.
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

// backgroundLoops returns the functions that run in the background until their
// context ends.
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

// updateOutOfService takes the target out of service if the configuration says
// so, and also while the configuration is not synced yet.
func (n *Node) updateOutOfService(now time.Time) {
	s := n.config.snapshot()
	out := s.DataCentreOutOfService(n.settings.DataCentre) || s.TargetOutOfService(n.settings.Name)
	n.proxy.admission.SetOutOfService(out || !n.configSynced(now), now)
}

// configSynced reports whether the node has learned the current configuration.
func (n *Node) configSynced(now time.Time) bool {
	return n.config.synced(len(n.table.Neighbours()) == 0, now)
}

// awaitConfigSync waits for the configuration to be synced and then puts the
// target in service, unless the configuration says otherwise.
func (n *Node) awaitConfigSync(ctx context.Context) {
	for !n.configSynced(time.Now()) {
		if !wait.For(ctx, configSyncPoll) {
			return
		}
	}
	n.updateOutOfService(time.Now())
	n.target.publish()
}

// ready reports whether the node can serve: it has learned the members, from the
// platform or from a linked peer, and the configuration, and it isn't stopping.
func (n *Node) ready() bool {
	membersKnown := n.membersListed.Load() || n.config.peerConfirmed.Load()
	return membersKnown && n.configSynced(time.Now()) && !n.stopping.Load()
}

// stop stops the node without cutting off requests in flight, within the
// configured drain timeout. Errors are logged, and the stop continues.
func (n *Node) stop() {
	n.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout)
	defer cancel()
	_ = level.Info(n.logger).Log("msg", "node stopping")
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

// logStopError logs the error of a step of the stop, if there is one.
func (n *Node) logStopError(step string, err error) {
	if err != nil {
		_ = level.Warn(n.logger).Log("msg", "stop", "step", step, "err", err)
	}
}
