package gateway

import (
	"context"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/connection/wire"
	"verbenatrestle/process/fleet"
	"verbenatrestle/process/journal"
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
)

// statusExchange exchanges status messages with the other nodes over UDP.
type statusExchange struct {
	node        *Node
	codec       *wire.Codec
	conn        *net.UDPConn
	incarnation uint64
	// broadcastRequested requests a broadcast before the next interval.
	broadcastRequested chan struct{}
	// pullMu is held while a configuration is fetched from a peer, so that one
	// fetch runs at a time.
	pullMu sync.Mutex
	// lastStatus is the full status that was last sent to all peers with
	// heartbeats, at lastStatusAt. Only the goroutine of send uses both.
	lastStatus   fleet.Status
	lastStatusAt time.Time
	// lastStatusOnlyAt is when the status-only peers last got a status.
	lastStatusOnlyAt time.Time

	mu sync.Mutex
	// sequence numbers the messages of this incarnation.
	sequence uint64
	// addresses caches resolved peer addresses by host and port.
	addresses map[string]*net.UDPAddr
}

// newStatusExchange returns an exchange. The incarnation must differ between
// any two runs of a node.
func newStatusExchange(n *Node, incarnation uint64) *statusExchange {
	codec := wire.NewCodec()
	codec.Register(kindStatus, &fleet.Status{})
	codec.Register(kindHeartbeat, &fleet.Heartbeat{})
	return &statusExchange{
		node:               n,
		codec:              codec,
		incarnation:        incarnation,
		broadcastRequested: make(chan struct{}, 1),
		addresses:          make(map[string]*net.UDPAddr),
	}
}

// listen opens the UDP socket.
func (p *statusExchange) listen(address string) error {
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return errors.Wrapf(err, "listen for peers on %s", address)
	}
	p.conn, err = net.ListenUDP("udp4", udp)
	return errors.Wrapf(err, "listen for peers on %s", address)
}

// requestBroadcast requests a broadcast before the next interval. It never
// blocks.
func (p *statusExchange) requestBroadcast() {
	select {
	case p.broadcastRequested <- struct{}{}:
	default:
	}
}

// send broadcasts to the peers at each interval and on request, until the
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
			p.broadcast()
			time.Sleep(minBroadcastInterval)
		case <-ticker.C:
			p.node.fleet.SelectHeartbeatPeers(p.node.settings().Name, p.node.localTarget.state(time.Now()).Service, time.Now())
			p.broadcast()
			p.node.events.reachabilityChanged(tracker.Changes(p.node.fleet, time.Now()))
		}
	}
}

// broadcast sends each peer a heartbeat, or a full status if anything but the
// load has changed or the last status is too old. Status-only peers get a
// status after such a change and at their own interval. A peer whose
// incarnation is unknown never gets a heartbeat, but a status instead.
func (p *statusExchange) broadcast() {
	now := time.Now()
	status := p.status(now)
	changed := !equalExceptLoad(&status, &p.lastStatus)
	sendStatus := changed || now.Sub(p.lastStatusAt) >= statusInterval
	if sendStatus {
		p.lastStatusAt, p.lastStatus = now, status
	}
	sendStatusOnly := changed || now.Sub(p.lastStatusOnlyAt) >= p.node.fleet.StatusOnlyInterval()
	if sendStatusOnly {
		p.lastStatusOnlyAt = now
	}
	for _, peer := range p.node.fleet.Peers(now) {
		if peer.StatusOnly && !sendStatusOnly {
			continue
		}
		status.EchoMillis = -1
		if !peer.ReceivedAt.IsZero() {
			status.EchoMillis = int(now.Sub(peer.ReceivedAt).Milliseconds())
		}
		if sendStatus || peer.StatusOnly || peer.Status.Incarnation == 0 {
			p.sendTo(peer.DatagramAddress, &status)
			continue
		}
		p.sendTo(peer.DatagramAddress, &fleet.Heartbeat{
			Incarnation: status.Incarnation, Sequence: status.Sequence, Running: status.Running,
			Waiting: status.Waiting, Slowdown: status.Slowdown, EchoMillis: status.EchoMillis,
			FailurePercent: status.FailurePercent,
		})
	}
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

// sendTo sends one datagram. Failures are counted or logged.
func (p *statusExchange) sendTo(hostPort string, message any) {
	data, err := p.codec.Encode(message)
	if err != nil {
		p.node.events.badMessage("status", hostPort, err)
		return
	}
	address, err := p.address(hostPort)
	if err != nil {
		p.node.events.badMessage("peer_address", hostPort, err)
		return
	}
	p.node.metrics.datagramBytes.Inc(int64(len(data)))
	if _, err := p.conn.WriteToUDP(data, address); err != nil {
		p.node.metrics.datagramsFailed.Inc(1) // the next message makes up for the lost one
	}
}

// address resolves the address of a peer, with a cache.
func (p *statusExchange) address(hostPort string) (*net.UDPAddr, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if address, ok := p.addresses[hostPort]; ok {
		return address, nil
	}
	address, err := net.ResolveUDPAddr("udp4", hostPort)
	if err == nil {
		p.addresses[hostPort] = address
	}
	return address, err
}

// status returns the current status of this node.
func (p *statusExchange) status(now time.Time) fleet.Status {
	p.mu.Lock()
	p.sequence++
	sequence := p.sequence
	p.mu.Unlock()
	settings := p.node.settings()
	state := p.node.localTarget.state(now)
	config := p.node.config.snapshot()
	return fleet.Status{
		Node: settings.Name, Incarnation: p.incarnation, Sequence: sequence,
		DataCentre: settings.DataCentre, HopAddress: settings.hopAddress(), Stopping: p.node.stopping.Load(),
		Service: state.Service, Instance: state.Instance, Slots: state.Slots,
		Running: state.Running, Waiting: state.Waiting, Slowdown: state.Slowdown, Accepting: state.Accepting,
		ColdRemainingMillis: int(state.ColdRemaining.Milliseconds()),
		SlowWhenFull:        state.SlowWhenFull,
		FailurePercent:      percent(state.FailureRate),
		ReachesStore:        p.node.store.reachable.Load(),
		ConfigNumber:        config.number(), OutRevision: config.dataCentresOutRevision, DataCentresOut: config.dataCentresOut,
	}
}

// receive handles messages of peers until the context ends or the socket is
// closed.
func (p *statusExchange) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := p.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // handled like a lost datagram
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
		}
	}
}

// merge applies a status of a peer. A newer list of the data centres out of
// service is adopted, and a newer configuration is fetched from the peer.
func (p *statusExchange) merge(ctx context.Context, status *fleet.Status, from string) {
	isNew, newIncarnation := p.node.fleet.Merge(*status, from, time.Now())
	if !isNew {
		return
	}
	if newIncarnation {
		p.node.events.log(journal.Change, "peer_started", "peer", status.Node, "incarnation", status.Incarnation, "instance", status.Instance)
		p.requestBroadcast()
	}
	config := p.node.config.snapshot()
	if status.OutRevision > config.dataCentresOutRevision && !slices.Equal(status.DataCentresOut, config.dataCentresOut) {
		p.node.config.updateDataCentresOut(status.DataCentresOut, status.OutRevision, status.Node)
	}
	if status.ConfigNumber > config.number() && p.pullMu.TryLock() {
		go func() {
			defer p.pullMu.Unlock()
			p.pull(ctx, status.Node, status.HopAddress)
		}()
	}
}

// pull fetches the configuration of a peer and activates it if it is newer.
func (p *statusExchange) pull(ctx context.Context, node, hopAddress string) {
	document, err := p.node.hopClient.config(ctx, hopAddress)
	if err == nil {
		err = p.node.config.update(document, node)
	}
	if err != nil {
		p.node.events.badMessage("configuration", node, err)
	}
}
