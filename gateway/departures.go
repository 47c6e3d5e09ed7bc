package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/connection/wire"
	"verbenatrestle/process/departure"
)

// kindDepartures is the wire kind of a departureNotice.
const kindDepartures wire.Kind = 63

const (
	// keepTimeout bounds the wait of an acknowledgement. A target ignores one that takes
	// longer than a second.
	keepTimeout = 800 * time.Millisecond
	// departureHolders is the number of peers that are sent a departure.
	departureHolders = 6
	// departureResendInterval is the interval of sending departures to peers while an
	// acknowledgement waits, since datagrams can get lost.
	departureResendInterval = 100 * time.Millisecond
	// departureLoadTimeout is how long a node that has started does without its target
	// while it can't read its departures from the store. By then the peers that hold some
	// have sent them.
	departureLoadTimeout = 1500 * time.Millisecond
	// maxNoticeDepartures bounds the departures of a notice, which are the latest ones.
	maxNoticeDepartures = 6
)

// departureNotice carries the departures of the target beside a node. That node sends it
// to some peers, which hold them for it and return what they hold as a confirmation, and
// also when the node has started again. It is encoded as a CBOR array, so new fields may
// only be added at the end.
type departureNotice struct {
	// Node is the node beside which the processes ran, and Sender the node that sends
	// the notice.
	Node, Sender string
	Departures   departure.List
}

// newDepartureNotice returns a notice with the latest departures of a list.
func newDepartureNotice(node, sender string, list departure.List) *departureNotice {
	return &departureNotice{Node: node, Sender: sender, Departures: list[max(0, len(list)-maxNoticeDepartures):]}
}

// departureKnowledge is what a process knows of the departures that earlier processes of its
// node recorded.
type departureKnowledge int32

const (
	// departuresLoading means that they are being read from the store.
	departuresLoading departureKnowledge = iota
	// departuresUnknown means that they could not be read within departureLoadTimeout. Peers
	// may have sent some.
	departuresUnknown
	// departuresKnown means that they have been read, or that there can be none.
	departuresKnown
)

// departureKeeper makes the departures of the local target outlast this process. The store
// holds them for any process to come, and some peers for one that starts while the store
// can't be reached. It also holds those of other nodes. It is safe for concurrent use.
type departureKeeper struct {
	node *Node
	held *departure.Holder
	// knowledge is a departureKnowledge.
	knowledge atomic.Int32
	// changed receives a value when the object in the store has to be written.
	changed chan struct{}

	mu sync.Mutex
	// stored is what the store holds.
	stored departure.List
	// confirmed holds what each peer has confirmed since the start.
	confirmed map[string]departure.List
	// progress is closed and replaced when stored or confirmed changes.
	progress chan struct{}
}

// errNotKept means that the store does not hold a departure.
var errNotKept = errors.New("the store has not confirmed the departure")

// known returns what this process knows of earlier departures.
func (k *departureKeeper) known() departureKnowledge { return departureKnowledge(k.knowledge.Load()) }

func newDepartureKeeper(n *Node) *departureKeeper {
	return &departureKeeper{
		node: n, held: departure.NewHolder(), changed: make(chan struct{}, 1),
		confirmed: make(map[string]departure.List), progress: make(chan struct{}),
	}
}

// requestWrite requests that the object in the store is written. It never blocks.
func (k *departureKeeper) requestWrite() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// keep waits until the store holds a departure, since what processes hold in memory is lost if
// all end at once. Peers get it as well. It fails after keepTimeout. The departure is written
// later in that case.
func (k *departureKeeper) keep(ctx context.Context, d departure.Departure) error {
	if stored, _, _ := k.holders(d); stored {
		return nil
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	k.requestWrite()
	k.sendToPeers()
	resend := time.NewTicker(departureResendInterval)
	defer resend.Stop()
	for {
		stored, peers, progress := k.holders(d)
		if stored {
			k.node.events.departureKept(d, peers, time.Since(started))
			return nil
		}
		select {
		case <-ctx.Done():
			k.node.events.departureNotKept(d, peers, time.Since(started))
			return errNotKept
		case <-progress:
		case <-resend.C:
			k.sendToPeers()
		}
	}
}

// holders returns whether the store holds a departure, how many peers have confirmed that
// they do, and a channel that is closed when that may have changed.
func (k *departureKeeper) holders(d departure.Departure) (stored bool, peers int, progress <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, list := range k.confirmed {
		if list.Includes(d.Instance, d.StartedMillis) {
			peers++
		}
	}
	return k.stored.Includes(d.Instance, d.StartedMillis), peers, k.progress
}

// sendToPeers sends the departures of the local target to some peers.
func (k *departureKeeper) sendToPeers() {
	rng := k.node.rngs.Get().(*rand.Rand)
	defer k.node.rngs.Put(rng)
	addresses := k.node.fleet.RandomHeartbeatPeers(departureHolders, rng, time.Now())
	name := k.node.settings().Name
	notice := newDepartureNotice(name, name, k.node.localTarget.departures())
	for _, address := range addresses {
		k.node.peers.write(address, notice)
	}
}

// receive handles a notice that came from an address.
func (k *departureKeeper) receive(notice *departureNotice, from string) {
	self := k.node.settings().Name
	if notice.Node != self {
		held := k.held.Hold(notice.Node, notice.Departures)
		k.node.peers.write(from, newDepartureNotice(notice.Node, self, held))
		return
	}
	k.node.localTarget.restoreDepartures(notice.Departures, notice.Sender)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirmed[notice.Sender] = notice.Departures
	k.reportProgress()
}

// welcome sends a node that has started the departures that are held for it.
func (k *departureKeeper) welcome(node, address string) {
	if held := k.held.Held(node); len(held) > 0 {
		k.node.peers.write(address, newDepartureNotice(node, k.node.settings().Name, held))
	}
}

// markStored records what the store holds.
func (k *departureKeeper) markStored(list departure.List) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stored = list
	k.reportProgress()
}

// reportProgress wakes the calls of keep. The caller holds the lock.
func (k *departureKeeper) reportProgress() {
	close(k.progress)
	k.progress = make(chan struct{})
}
