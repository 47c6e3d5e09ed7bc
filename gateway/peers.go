package gateway

import (
	"context"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/connection/wire"
	"verbenatrestle/internal/wait"
	"verbenatrestle/process/fleet"
	"verbenatrestle/process/journal"
	store "verbenatrestle/process/platform"
	"verbenatrestle/process/quota"
	"verbenatrestle/request/quarantine"
)

// Wire kinds of a fleet.Status and a fleet.Heartbeat.
const (
	kindStatus    wire.Kind = 60
	kindHeartbeat wire.Kind = 61
)

const (
	// heartbeatInterval is the interval of messages to each peer, and
	// statusInterval the interval at which a full status replaces the heartbeat
	// even if nothing but the load has changed.
	heartbeatInterval = 250 * time.Millisecond
	statusInterval    = time.Second
	// unreachableAfter is the time without a datagram after which a peer counts
	// as unreachable. It is longer than three heartbeat intervals, since
	// datagrams can get lost.
	unreachableAfter = 850 * time.Millisecond
	// forgetAfter is how long a silent peer is kept and still receives the
	// status of this node.
	forgetAfter = 10 * time.Minute
	// avoidFor is how long a peer is avoided after a hop to it failed.
	avoidFor = 400 * time.Millisecond
	// minBroadcastInterval is the least time between a requested broadcast and
	// the next one.
	minBroadcastInterval = 4 * time.Millisecond
	// maxDatagramBytes bounds a received datagram, in bytes.
	maxDatagramBytes = 1400
	// receiveRetryDelay is the wait after a read of the socket that failed. Such errors may
	// last, and each read fails at once then.
	receiveRetryDelay = 10 * time.Millisecond
)

// statusExchange exchanges status messages with the other nodes over UDP.
type statusExchange struct {
	node        *Node
	codec       *wire.Codec
	conn        datagramConn
	incarnation uint64
	// broadcastRequested requests messages before the next interval.
	broadcastRequested chan struct{}
	configPuller       configPuller
	// lastStatus is the full status that was last sent, and recipients is reused by each
	// broadcast. Only the goroutine of send uses them.
	lastStatus fleet.Status
	recipients []fleet.Recipient
	// statusMu orders statuses: one with a higher sequence number must not hold an older
	// state. It guards sequence, which numbers the messages of this incarnation.
	statusMu sync.Mutex
	sequence uint64
}

// datagramConn is a UDP socket.
type datagramConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// newStatusExchange returns an exchange. The incarnation must differ between
// any two runs of a node.
func newStatusExchange(n *Node, incarnation uint64) *statusExchange {
	codec := wire.NewCodec()
	codec.Register(kindStatus, &fleet.Status{})
	codec.Register(kindHeartbeat, &fleet.Heartbeat{})
	codec.Register(kindCrashRecords, &quarantine.Message{})
	codec.Register(kindDepartures, &departureNotice{})
	codec.Register(kindQuotaAsk, &quota.Ask{})
	codec.Register(kindQuotaGrant, &quota.Grant{})
	return &statusExchange{
		node:               n,
		codec:              codec,
		incarnation:        incarnation,
		broadcastRequested: make(chan struct{}, 1),
		configPuller:       configPuller{pull: n.pullConfig},
	}
}

// listen opens the UDP socket.
func (p *statusExchange) listen(address string) error {
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return errors.Wrapf(err, "listen for peers on %s", address)
	}
	conn, err := net.ListenUDP("udp4", udp)
	if err != nil {
		return errors.Wrapf(err, "listen for peers on %s", address)
	}
	p.conn = conn
	return nil
}

// requestBroadcast requests a broadcast before the next interval. It never
// blocks.
func (p *statusExchange) requestBroadcast() {
	select {
	case p.broadcastRequested <- struct{}{}:
	default:
	}
}

// send sends messages to the peers at each interval and on request, until the
// context ends.
func (p *statusExchange) send(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var tracker fleet.ReachabilityTracker
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.broadcastRequested:
			p.broadcast(fleet.OnLoadStep)
			time.Sleep(minBroadcastInterval)
		case <-ticker.C:
			p.selectPeers()
			p.broadcast(fleet.OnInterval)
			p.node.events.reachabilityChanged(tracker.Changes(p.node.fleet, time.Now()))
		}
	}
}

// selectPeers decides with which peers heartbeats are exchanged.
func (p *statusExchange) selectPeers() {
	now := time.Now()
	settings := p.node.settings()
	p.node.fleet.SelectHeartbeatPeers(fleet.Self{
		Node:           settings.Name,
		DataCentre:     settings.DataCentre,
		Service:        p.node.localTarget.state(now).Service,
		DataCentresOut: p.node.config.snapshot().dataCentresOut,
	}, now)
}

// broadcast sends the peers that are due a heartbeat or a full status. If anything
// but the load has changed since the last broadcast, the occasion is
// fleet.OnChange.
func (p *statusExchange) broadcast(occasion fleet.Occasion) {
	now := time.Now()
	status := p.status(now)
	if !equalExceptLoad(&status, &p.lastStatus) {
		occasion = fleet.OnChange
	}
	p.lastStatus = status
	p.recipients = p.node.fleet.Recipients(p.recipients[:0], occasion, statusInterval, now)
	for i := range p.recipients {
		p.sendTo(&p.recipients[i], &status)
	}
}

// reply sends a status to one peer.
func (p *statusExchange) reply(node string) {
	now := time.Now()
	if r, ok := p.node.fleet.RecipientOf(node, now); ok {
		status := p.status(now)
		p.sendTo(&r, &status)
	}
}

// sendTo sends a recipient the status, or a heartbeat with its load.
func (p *statusExchange) sendTo(r *fleet.Recipient, status *fleet.Status) {
	if r.FullStatus {
		status.EchoMillis, status.Wanted, status.AfterWholeSlack = r.EchoMillis, r.Wanted, r.AfterWholeSlack
		p.write(r.DatagramAddress, status)
		return
	}
	p.write(r.DatagramAddress, &fleet.Heartbeat{
		Incarnation: status.Incarnation, Sequence: status.Sequence, Running: status.Running,
		Waiting: status.Waiting, Slowdown: status.Slowdown, EchoMillis: r.EchoMillis,
		FailurePercent: status.FailurePercent, Wanted: r.Wanted,
	})
}

// percent returns a share in percent, rounded.
func percent(share float64) int { return int(math.Round(100 * share)) }

// equalExceptLoad reports whether two statuses of this node are equal except for
// the load, the failure rate, the exact remaining cold time and the exact
// revision of the data centres out of service.
func equalExceptLoad(a, b *fleet.Status) bool {
	return a.Instance == b.Instance && (a.OutRevision > 0) == (b.OutRevision > 0) && a.Accepting == b.Accepting && a.Stopping == b.Stopping &&
		a.Service == b.Service && a.ReachesStore == b.ReachesStore && a.SlowWhenFull == b.SlowWhenFull && a.Slots == b.Slots && a.ConfigNumber == b.ConfigNumber &&
		slices.Equal(a.DataCentresOut, b.DataCentresOut) && (a.ColdRemainingMillis > 0) == (b.ColdRemainingMillis > 0)
}

// write sends one datagram. Failures are counted or logged.
func (p *statusExchange) write(address string, message any) {
	data, err := p.codec.Encode(message)
	if err == nil && len(data) > maxDatagramBytes {
		err = errors.Errorf("message of %d bytes exceeds the maximum of %d", len(data), maxDatagramBytes)
	}
	if err != nil {
		p.node.events.badMessage("status", address, err)
		return
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		p.node.events.badMessage("peer_address", address, err)
		return
	}
	p.node.metrics.datagramSent(message, len(data))
	if _, err := p.conn.WriteToUDPAddrPort(data, to); err != nil {
		p.node.metrics.datagramsFailed.Inc(1) // the next message makes up for the lost one
	}
}

// status returns the current status of this node.
func (p *statusExchange) status(now time.Time) fleet.Status {
	p.statusMu.Lock()
	defer p.statusMu.Unlock()
	p.sequence++
	settings := p.node.settings()
	reachesStore := p.node.store.mayWatch()
	state := p.node.localTarget.state(now)
	config := p.node.config.snapshot()
	dataCentresOut, outRevision := p.node.config.ordersForPeers(now)
	return fleet.Status{
		Node: settings.Name, Incarnation: p.incarnation, Sequence: p.sequence,
		DataCentre: settings.DataCentre, HopAddress: settings.hopAddress(), Stopping: p.node.stopping.Load(),
		Service: state.Service, Instance: state.Instance, Slots: state.Slots,
		Running: state.Running, Waiting: state.Waiting, Slowdown: state.Slowdown, Accepting: state.Accepting,
		ColdRemainingMillis: int(state.ColdRemaining.Milliseconds()),
		SlowWhenFull:        state.SlowWhenFull,
		FailurePercent:      percent(state.FailureRate),
		ReachesStore:        reachesStore,
		Watchers:            p.node.fleet.WatcherMarks(settings.Name, reachesStore, p.node.store.maxWatchers(), now),
		ConfigNumber:        config.number(), OutRevision: outRevision, DataCentresOut: dataCentresOut,
		CountsQuotas: true, WholeSlack: !now.Before(p.node.slackFrom()), KnownNodes: p.node.fleet.ActiveNodes(),
	}
}

// receive handles messages of peers until the context ends or the socket is
// closed.
func (p *statusExchange) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			wait.For(ctx, receiveRetryDelay) // handled like a lost datagram
			continue
		}
		message, err := p.codec.Decode(buffer[:n])
		if err != nil {
			p.node.events.badMessage("datagram", from.String(), err)
			continue
		}
		switch m := message.(type) {
		case *fleet.Status:
			if m.Node != p.node.settings().Name {
				p.merge(ctx, m, from.String())
			}
		case *fleet.Heartbeat:
			p.node.fleet.MergeHeartbeat(*m, time.Now())
		case *quarantine.Message:
			p.node.crashes.merge(*m)
		case *departureNotice:
			p.node.departures.receive(m, from.String())
		case *quota.Ask:
			p.node.quotas.receiveAsk(m, from.String())
		case *quota.Grant:
			p.node.quotas.receiveGrant(m, from.String())
		}
	}
}

// merge applies a status of a peer. A newer list of the data centres out of
// service is adopted, and a newer configuration is fetched.
func (p *statusExchange) merge(ctx context.Context, status *fleet.Status, from string) {
	isNew, newIncarnation := p.node.fleet.Merge(*status, from, time.Now())
	if !isNew {
		return
	}
	if newIncarnation {
		p.node.events.log(journal.Change, "peer_started", "peer", status.Node, "incarnation", status.Incarnation, "instance", status.Instance)
		p.reply(status.Node)
		p.node.crashes.welcome(from)
		p.node.departures.welcome(status.Node, from)
	}
	if status.AfterWholeSlack == p.incarnation {
		p.node.localTarget.confirmOneProcessBefore()
	}
	config := p.node.config.snapshot()
	p.node.store.eraRose(store.VersionEra(status.OutRevision), status.Node)
	p.node.config.updateFromPeer(status.DataCentresOut, status.OutRevision, status.Node, time.Now())
	if status.ConfigNumber > config.number() {
		p.node.configLag.received(status.ConfigNumber, config.number(), time.Now())
		p.configPuller.start(ctx)
	}
}
