package node

import (
	"time"

	"verbenatrestle/connection/load"
	"verbenatrestle/connection/peerlink"
	"verbenatrestle/process/admission"
	"verbenatrestle/process/membership"
	"verbenatrestle/process/ownership"
	"verbenatrestle/process/ownership/timing"
	"verbenatrestle/process/platform"
	"verbenatrestle/request/balance"
)

// buildMembership builds the member table, which contains only this node so far.
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

// buildOwnership builds the runner of leases and claims.
func (n *Node) buildOwnership() error {
	s := n.settings.Ownership
	durations := timing.Defaults()
	durations.LeaseTerm = s.LeaseTerm
	durations.MaxClockSkew = s.MaxClockSkew
	var err error
	n.owners, err = ownership.NewRunner(ownership.Options{
		Node:        n.settings.Name,
		Incarnation: n.incarnation,
		Timing:      durations,
		Limits:      ownership.Limits{MaxClaims: s.MaxClaims, MaxAnswerBytes: s.MaxAnswerMemory},
		Platform:    ownerPlatform{client: n.client},
		Sender:      sender{n},
		Logger:      n.logger,
		Metrics:     n.registry,
		Random:      newRandom(),
	})
	return err
}

// sender sends messages over the peer links. It refers to the node because the
// links are built after ownership.
type sender struct{ node *Node }

// Send implements ownership.Sender.
func (s sender) Send(to string, message any) error {
	return s.node.links.Send(to, message)
}

// buildConfig builds the holder of the active configuration.
func (n *Node) buildConfig() error {
	n.config = newConfiguration(n.settings.Name, n.client, n.logger, n.settings.Platform.WatchWait)
	n.config.onChange = n.applyConfig
	return nil
}

// buildLinks builds the peer links and the directory of members.
func (n *Node) buildLinks() error {
	n.peers = &peerHandler{
		table:         n.table,
		owners:        n.owners,
		quarantine:    n.quarantine,
		logger:        n.logger,
		document:      n.config.encodedDocument,
		recordVersion: n.config.recordPeerVersion,
		updateConfig:  n.config.updateFromPeer,
	}
	n.peers.gossip = &configGossip{announce: n.peers.announceConfig}
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

// maxPeerMessage bounds a message between nodes, in bytes. The largest message
// carries a configuration, which is at most one value of the platform.
const maxPeerMessage = platform.MaxValueBytes + 64<<10

// seed adds members that were read from the platform to the member table.
func (n *Node) seed(now time.Time, members []membership.Member) {
	n.peers.send(n.table.Seed(now, members))
}

// buildTarget builds the proxy to the local target. The target is out of service
// until the configuration is synced.
func (n *Node) buildTarget() error {
	settings := admission.DefaultSettings
	settings.Limit = n.settings.AdmissionLimit
	controller, err := admission.New(settings, newRandom())
	if err != nil {
		return err
	}
	n.proxy = &targetProxy{
		self:        n.settings.Name,
		admission:   controller,
		quarantine:  n.quarantine,
		flood:       n.peers.floodQuarantine,
		waitQueue:   newWaitQueue(maxSlotWait),
		cancelGrace: cancelGrace,
	}
	controller.SetOutOfService(true, n.started)
	n.measurement = newMeasurementBudget(n.settings.Budgets, n.registry, n.started)
	n.target = &localTarget{
		checkTimeout: instanceCheckTimeout,
		measurement:  n.measurement,
		self:         n.settings.Name,
		proxy:        n.proxy,
		logger:       n.logger,
		onChange:     n.targetChanged,
	}
	n.proxy.onConnectionBroken = n.target.checkCrash
	return nil
}

// targetChanged publishes the announcement and state of the local target to the
// other nodes. The member object at the platform is written only if the service
// has changed.
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

// buildIngress builds the parts that a request passes from the ingress to the
// targets.
func (n *Node) buildIngress() error {
	policy, err := n.policy()
	if err != nil {
		return err
	}
	n.balance = balance.NewTable(policy, balance.Locality{DataCentre: n.settings.DataCentre, Region: n.settings.Region})
	n.requests = newRequestMetrics(n.registry)
	n.hops = newHopClient(n.settings.HopProtocol, n.settings.Secrets.PeerKey, n.hopAddress)
	dispatch := &dispatcher{
		table:   n.balance,
		budgets: n.budgets,
		targets: &targetRouter{self: n.settings.Name, local: n.proxy, hops: n.hops},
		rngs:    newRandoms(),
		metrics: n.requests,
	}
	n.owner = &owner{
		self:             n.settings.Name,
		claims:           n.owners,
		dispatch:         dispatch.dispatch,
		maxResponseBytes: n.settings.Limits.MaxAnswerBytes,
	}
	n.ingress = &ingress{
		self:          n.settings.Name,
		limits:        n.settings.Limits,
		snapshot:      n.config.snapshot,
		outdated:      func() bool { return n.config.outdated(time.Now()) },
		overdue:       func() bool { return n.config.overdue(time.Now()) },
		localService:  n.target.service,
		limiter:       n.limiter,
		quarantine:    n.quarantine,
		idempotent:    dispatch.dispatch,
		nonIdempotent: n.ownerRouter().route,
		metrics:       n.requests,
	}
	return nil
}

// ownerRouter builds the router of requests to the owners of their keys.
func (n *Node) ownerRouter() *ownerRouter {
	return &ownerRouter{
		self:            n.settings.Name,
		ownerOf:         n.owners.OwnerOf,
		reportReachable: n.owners.OwnerAnswered,
		reportFailed:    n.owners.OwnerFailed,
		local:           n.owner,
		hops:            n.hops,
		metrics:         n.requests,
	}
}

// policy returns the balancing policy that the settings name.
func (n *Node) policy() (balance.Policy, error) {
	if n.settings.Policy == policyOracle {
		o, err := newOracle(n.settings.OracleAddress)
		if err != nil {
			return nil, err
		}
		return balance.NewOracle(o.targetLoad), nil
	}
	return balance.New(n.settings.Policy)
}

// hopAddress returns the address of a node's hop listener, or false if it is
// unknown.
func (n *Node) hopAddress(node string) (string, bool) {
	m, ok := n.table.Lookup(node)
	return m.HopAddress, ok && m.HopAddress != ""
}

// buildServers builds the HTTP servers of all listeners.
func (n *Node) buildServers() error {
	n.versions = &versions{self: n.settings.Name, table: n.table, store: n.config.store, hops: n.hops}
	n.servers = newServers(n.settings, n.logger, handlers{
		callers: closeWhileStopping(&n.stopping, n.ingress),
		hop: closeWhileStopping(&n.stopping, &hopServer{
			self:        n.settings.Name,
			peerKey:     n.settings.Secrets.PeerKey,
			snapshot:    n.config.snapshot,
			target:      n.proxy,
			owner:       n.owner,
			versions:    n.versions,
			measurement: n.measurement,
		}),
		admin:    n.adminHandler(),
		announce: (&announceServer{local: n.target}).handler(),
	})
	return nil
}

// buildRouting builds the routing and subscribes it and the quarantine to the
// updates of membership.
func (n *Node) buildRouting() error {
	n.routing = &routing{members: n.table, balance: n.balance, owners: n.owners, snapshot: n.config.snapshot}
	n.table.Subscribe(n.routing.memberChanged)
	n.table.SubscribeRumours(membership.TopicQuarantine, n.peers.mergeQuarantine)
	return nil
}
