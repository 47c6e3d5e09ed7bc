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

	"verbenatrestle/connection/load"
	"verbenatrestle/connection/peerlink"
	"verbenatrestle/process/admission"
	"verbenatrestle/process/membership"
	"verbenatrestle/process/ownership"
	"verbenatrestle/process/ownership/timing"
	"verbenatrestle/process/platform"
	"verbenatrestle/request"
	"verbenatrestle/request/balance"
	"verbenatrestle/request/quarantine"
	"verbenatrestle/version"
)

// knownPoll is how often a starting node looks whether it may serve.
const knownPoll = 20 * time.Millisecond

// Node is one running node. New builds it, Run runs it.
type Node struct {
	settings    Settings
	incarnation uint64
	logger      log.Logger
	registry    metrics.Registry
	started     time.Time

	client     *platform.Client
	config     *configuration
	table      *membership.Table
	balance    *balance.Table
	owners     *ownership.Runner
	quarantine *quarantine.Table
	limiter    *request.Limiter
	budgets    *budgets
	links      *peerlink.Links
	peers      *peers
	directory  *directory
	routing    *routing
	guard      *guard
	target     *localTarget
	ingress    *ingress
	servers    *servers
	versions   *versions

	listed  atomic.Bool
	leaving atomic.Bool
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
	steps := []func() error{n.buildMembership, n.buildOwnership, n.buildConfig, n.buildLinks, n.buildGuard, n.buildIngress, n.buildServers}
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

func (n *Node) buildMembership() error {
	s := n.settings
	self := membership.Member{
		Node:         s.Name,
		DataCentre:   s.DataCentre,
		Region:       s.Region,
		Incarnation:  n.incarnation,
		PeerAddress:  s.Listen.Peer,
		HopAddress:   s.Listen.Hop,
		AdminAddress: s.Listen.Admin,
	}
	n.table = membership.NewTable(self, membership.Options{Period: s.GossipPeriod}, newRandom())
	return nil
}

func (n *Node) buildOwnership() error {
	s := n.settings.Ownership
	terms := timing.Defaults()
	terms.Term = s.Term
	terms.Skew = s.Skew
	var err error
	n.owners, err = ownership.NewRunner(ownership.Options{
		Node:        n.settings.Name,
		Incarnation: n.incarnation,
		Timing:      terms,
		Limits:      ownership.Limits{Claims: s.MaxClaims, AnswerBytes: s.MaxAnswerMemory},
		Platform:    ownerPlatform{client: n.client},
		Sender:      sender{n},
		Logger:      n.logger,
		Metrics:     n.registry,
		Random:      newRandom(),
	})
	return err
}

// sender sends messages over the links, which are built later than ownership.
type sender struct{ node *Node }

// Send implements ownership.Sender.
func (s sender) Send(to string, message any) error {
	return s.node.links.Send(to, message)
}

func (n *Node) buildConfig() error {
	n.config = newConfiguration(n.settings.Name, n.client, n.logger, n.settings.Platform.WatchWait)
	n.config.adopted = n.configAdopted
	return nil
}

func (n *Node) buildLinks() error {
	n.peers = &peers{
		table:      n.table,
		owners:     n.owners,
		quarantine: n.quarantine,
		logger:     n.logger,
		document:   n.config.encoded,
		heard:      n.config.heard,
		offer:      n.config.offerFromPeer,
	}
	n.peers.spread = &configSpread{announce: n.peers.announceConfig}
	links, err := peerlink.New(peerlink.Options{
		Self:          n.settings.Name,
		ListenAddress: n.settings.Listen.Peer,
		Key:           []byte(n.settings.Secrets.PeerKey),
		Codec:         newCodec(),
		Handler:       n.peers,
		Logger:        n.logger,
		Metrics:       n.registry,
		Resolve:       n.table.PeerAddress,
		Limits:        peerlink.Limits{MaxMessageBytes: maxPeerMessage},
	})
	n.links = links
	n.peers.links = links
	n.directory = newDirectory(n.client, n.table, n.seed, n.logger, newRandom())
	return err
}

// maxPeerMessage bounds a message between nodes, in bytes. A configuration is
// at most one platform value.
const maxPeerMessage = platform.MaxValueBytes + 64<<10

// seed takes in members that were read from the platform.
func (n *Node) seed(now time.Time, members []membership.Member) {
	n.peers.send(n.table.Seed(now, members))
}

func (n *Node) buildGuard() error {
	settings := admission.DefaultSettings
	settings.Limit = n.settings.AdmissionLimit
	core, err := admission.New(settings, newRandom())
	if err != nil {
		return err
	}
	n.guard = &guard{
		self:       n.settings.Name,
		admission:  core,
		quarantine: n.quarantine,
		spread:     n.peers.spreadQuarantine,
	}
	core.SetOut(true, n.started)
	n.target = &localTarget{
		self:    n.settings.Name,
		guard:   n.guard,
		logger:  n.logger,
		changed: n.targetChanged,
	}
	n.guard.broken = n.target.checkCrash
	return nil
}

// targetChanged tells the fleet of the target's announcement and state.
func (n *Node) targetChanged(a announcement, state load.State) {
	before := n.table.Self()
	n.peers.send(n.table.UpdateSelf(time.Now(), func(m *membership.Member) {
		m.Service = string(a.service())
		m.Instance = a.Instance
		m.Slots = a.Slots
		m.ColdLimit = a.ColdLimit
		m.Target = state
	}))
	if self := n.table.Self(); before.Service != self.Service {
		n.directory.publish(self)
	}
}

func (n *Node) buildIngress() error {
	policy, err := n.policy()
	if err != nil {
		return err
	}
	n.balance = balance.NewTable(policy, balance.Local{DataCentre: n.settings.DataCentre, Region: n.settings.Region})
	counters := newRequestMetrics(n.registry)
	hops := newHopClient(n.settings.HopProtocol, n.settings.Secrets.PeerKey, n.hopAddress)
	dispatch := &dispatcher{
		table:   n.balance,
		budgets: n.budgets,
		guards:  &guardRouter{self: n.settings.Name, local: n.guard, hops: hops},
		rngs:    newRandoms(),
		metrics: counters,
	}
	owned := &owner{
		self:      n.settings.Name,
		claims:    n.owners,
		dispatch:  dispatch.dispatch,
		maxAnswer: n.settings.Limits.MaxAnswerBytes,
	}
	router := &ownerRouter{
		self:     n.settings.Name,
		ownerOf:  n.owners.OwnerOf,
		answered: n.owners.OwnerAnswered,
		failed:   n.owners.OwnerFailed,
		local:    owned,
		hops:     hops,
		metrics:  counters,
	}
	n.ingress = &ingress{
		self:       n.settings.Name,
		settings:   n.settings.Limits,
		snapshot:   n.config.snapshot,
		limiter:    n.limiter,
		quarantine: n.quarantine,
		idempotent: dispatch.dispatch,
		owned:      router.route,
		metrics:    counters,
	}
	n.routing = &routing{members: n.table, balance: n.balance, owners: n.owners, snapshot: n.config.snapshot}
	n.versions = &versions{self: n.settings.Name, table: n.table, store: n.config.store, hops: hops}
	n.servers = newServers(n.settings, n.logger, handlers{
		callers: n.ingress,
		hop: &hopServer{
			self:     n.settings.Name,
			key:      n.settings.Secrets.PeerKey,
			snapshot: n.config.snapshot,
			guard:    n.guard,
			owner:    owned,
			versions: n.versions,
		},
		announce: (&announceServer{local: n.target}).handler(),
	})
	return nil
}

// policy returns the balancing policy of the settings.
func (n *Node) policy() (balance.Policy, error) {
	if n.settings.Policy == policyOracle {
		truth, err := newOracle(n.settings.OracleAddress)
		if err != nil {
			return nil, err
		}
		return balance.NewOracle(truth.truth), nil
	}
	return balance.New(n.settings.Policy)
}

// hopAddress returns where a node takes requests of other nodes.
func (n *Node) hopAddress(node string) (string, bool) {
	m, ok := n.table.Lookup(node)
	return m.HopAddress, ok && m.HopAddress != ""
}

func (n *Node) buildServers() error {
	n.table.Subscribe(n.routing.memberChanged)
	n.table.SubscribeRumours(membership.TopicQuarantine, n.peers.takeQuarantine)
	n.servers.setAdmin(n.adminHandler())
	return nil
}

// configAdopted puts a configuration in force that is newer than the last.
func (n *Node) configAdopted(snapshot *version.Snapshot) {
	bounds, weights := limits(snapshot)
	now := time.Now()
	n.limiter.Replace(bounds, now)
	n.guard.admission.SetWeights(weights)
	n.gate(now)
	n.target.setLimits(snapshot)
	n.target.publish()
	n.budgets.keep(snapshot)
	n.owners.SetServices(serviceSpecs(snapshot))
	n.routing.configChanged()
	n.peers.send(n.peers.spread.adopted(snapshot.Version()))
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
	for _, loop := range n.loops() {
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

// loops returns what runs beside the requests.
func (n *Node) loops() []func(context.Context) {
	n.directory.publish(n.table.Self())
	return []func(context.Context){
		n.peers.run,
		n.target.run,
		n.routing.run,
		n.config.run,
		n.awaitKnown,
		n.directory.runWriter,
		func(ctx context.Context) { n.directory.runReader(ctx, func() { n.listed.Store(true) }) },
	}
}

// gate takes the target out of service while operators want it so, and while
// the node does not know yet what operators want.
func (n *Node) gate(now time.Time) {
	s := n.config.snapshot()
	out := s.DataCentreOut(n.settings.DataCentre) || s.TargetOut(n.settings.Name)
	n.guard.admission.SetOut(out || !n.known(now), now)
}

// known reports whether the node knows what operators want.
func (n *Node) known(now time.Time) bool {
	return n.config.known(len(n.table.Neighbours()) == 0, now)
}

// awaitKnown opens the gate once the node knows what operators want.
func (n *Node) awaitKnown(ctx context.Context) {
	for !n.known(time.Now()) {
		if !pause(ctx, knownPoll) {
			return
		}
	}
	n.gate(time.Now())
	n.target.publish()
}

// ready reports whether the node can serve: it knows the fleet and a
// configuration.
func (n *Node) ready() bool {
	return n.listed.Load() && n.known(time.Now()) && !n.leaving.Load()
}

// stop is the planned stop: no request in flight is cut off.
func (n *Node) stop() {
	n.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout)
	defer cancel()
	_ = level.Info(n.logger).Log("msg", "node stops")
	n.target.drain("")
	n.log("hand over partitions", n.owners.Stop(ctx))
	n.log("stop listeners", n.servers.stop(ctx))
	n.peers.send(n.table.Leave(time.Now()))
	n.log("remove member object", n.directory.remove(ctx))
	n.log("stop peer links", n.links.Stop(ctx))
	if client := n.guard.target.Load(); client != nil {
		client.close()
	}
	_ = level.Info(n.logger).Log("msg", "node stopped")
}

// log logs the failure of a step of the planned stop, which goes on.
func (n *Node) log(step string, err error) {
	if err != nil {
		_ = level.Warn(n.logger).Log("msg", "stop", "step", step, "err", err)
	}
}
