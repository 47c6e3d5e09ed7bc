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

// buildMembership makes the member table, which knows only this node.
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

// buildOwnership makes the node's part in ownership.
func (n *Node) buildOwnership() error {
	s := n.settings.Ownership
	terms := timing.Defaults()
	terms.LeaseTerm = s.LeaseTerm
	terms.MaxClockSkew = s.MaxClockSkew
	var err error
	n.owners, err = ownership.NewRunner(ownership.Options{
		Node:        n.settings.Name,
		Incarnation: n.incarnation,
		Timing:      terms,
		Limits:      ownership.Limits{MaxClaims: s.MaxClaims, MaxAnswerBytes: s.MaxAnswerMemory},
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

// buildConfig makes the holder of the configuration in force.
func (n *Node) buildConfig() error {
	n.config = newConfiguration(n.settings.Name, n.client, n.logger, n.settings.Platform.WatchWait)
	n.config.adopted = n.configAdopted
	return nil
}

// buildLinks makes the peer links and the directory of members.
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

// buildGuard makes the guard of the target beside the node. It is shut until
// the node knows what operators want.
func (n *Node) buildGuard() error {
	settings := admission.DefaultSettings
	settings.Limit = n.settings.AdmissionLimit
	core, err := admission.New(settings, newRandom())
	if err != nil {
		return err
	}
	n.guard = &guard{
		self:        n.settings.Name,
		admission:   core,
		quarantine:  n.quarantine,
		spread:      n.peers.spreadQuarantine,
		waiting:     newWaiting(slotWait),
		cancelGrace: cancelGrace,
	}
	core.SetOutOfService(true, n.started)
	n.measuring = newMeasuring(n.settings.Budgets, n.registry, n.started)
	n.target = &localTarget{
		measuring: n.measuring,
		self:      n.settings.Name,
		guard:     n.guard,
		logger:    n.logger,
		changed:   n.targetChanged,
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

// buildIngress makes the way of a request, from the callers' listener to the
// guards.
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
		guards:  &guardRouter{self: n.settings.Name, local: n.guard, hops: n.hops},
		rngs:    newRandoms(),
		metrics: n.requests,
	}
	n.owner = &owner{
		self:      n.settings.Name,
		claims:    n.owners,
		dispatch:  dispatch.dispatch,
		maxAnswer: n.settings.Limits.MaxAnswerBytes,
	}
	n.ingress = &ingress{
		self:       n.settings.Name,
		settings:   n.settings.Limits,
		snapshot:   n.config.snapshot,
		caller:     n.target.service,
		limiter:    n.limiter,
		quarantine: n.quarantine,
		idempotent: dispatch.dispatch,
		owned:      n.ownerRouter().route,
		metrics:    n.requests,
	}
	return nil
}

// ownerRouter returns what sends requests to the owners of their keys.
func (n *Node) ownerRouter() *ownerRouter {
	return &ownerRouter{
		self:     n.settings.Name,
		ownerOf:  n.owners.OwnerOf,
		answered: n.owners.OwnerAnswered,
		failed:   n.owners.OwnerFailed,
		local:    n.owner,
		hops:     n.hops,
		metrics:  n.requests,
	}
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

// buildServers makes the HTTP servers of all listeners.
func (n *Node) buildServers() error {
	n.versions = &versions{self: n.settings.Name, table: n.table, store: n.config.store, hops: n.hops}
	n.servers = newServers(n.settings, n.logger, handlers{
		callers: closing(&n.leaving, n.ingress),
		hop: closing(&n.leaving, &hopServer{
			self:      n.settings.Name,
			key:       n.settings.Secrets.PeerKey,
			snapshot:  n.config.snapshot,
			guard:     n.guard,
			owner:     n.owner,
			versions:  n.versions,
			measuring: n.measuring,
		}),
		admin:    n.adminHandler(),
		announce: (&announceServer{local: n.target}).handler(),
	})
	return nil
}

// buildRouting has routing and quarantine follow what membership learns.
func (n *Node) buildRouting() error {
	n.routing = &routing{members: n.table, balance: n.balance, owners: n.owners, snapshot: n.config.snapshot}
	n.table.Subscribe(n.routing.memberChanged)
	n.table.SubscribeRumours(membership.TopicQuarantine, n.peers.takeQuarantine)
	return nil
}
