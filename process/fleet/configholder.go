package fleet

import (
	"slices"
	"strings"
	"time"
)

// ConfigHolder is a peer that has a configuration.
type ConfigHolder struct {
	// Node and HopAddress are as in Status.
	Node, HopAddress string
	// Number is the number of its configuration.
	Number uint64
}

// configFailureMemory is how long a peer that failed to send its configuration is only asked
// if no other one can be.
const configFailureMemory = 5 * time.Second

// MaxConfigTransfers is how many configurations a node sends at once.
const MaxConfigTransfers = 2

// ConfigHolder returns one of the peers whose configuration has a higher number than the
// given one. Peers with the highest number go first, and among them those in the given data
// centre, unless they have lately failed to send it. Pick, a random number in [0, 1), chooses
// among them.
//
// All nodes learn of a new configuration at once, and a few holders can't serve them
// all. So only a share of the nodes that want it may ask now, one for each holder on
// average. That share grows as the configuration spreads. The others may ask a peer with
// one of the configurations before it: where changes follow each other faster than one
// spreads, few peers ever have the newest. Otherwise the result is false, and the node calls
// again after a while.
func (t *Table) ConfigHolder(above uint64, dataCentre string, pick float64, now time.Time) (ConfigHolder, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	highest := above
	for _, p := range t.peers {
		if t.servesConfig(p, now) {
			highest = max(highest, p.Status.ConfigNumber)
		}
	}
	if highest == above {
		return ConfigHolder{}, false
	}
	newest := configRange{least: highest, most: highest}
	holder, remaining := t.pickConfigHolder(newest, dataCentre, pick, now)
	if holder == nil && highest-above > 1 {
		holder, _ = t.pickConfigHolder(configRange{least: above + 1, most: highest - 1}, dataCentre, remaining, now)
	}
	if holder == nil {
		return ConfigHolder{}, false
	}
	s := &holder.Status
	return ConfigHolder{Node: s.Node, HopAddress: s.HopAddress, Number: s.ConfigNumber}, true
}

// HasConfigAbove reports whether a peer from which a message has lately arrived has a
// configuration with a higher number than the given one.
func (t *Table) HasConfigAbove(number uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.Status.ConfigNumber > number && t.receivedRecently(p, now) {
			return true
		}
	}
	return false
}

// configRange is a range of numbers of configurations, bounds included.
type configRange struct{ least, most uint64 }

// pickConfigHolder returns one of the peers with a configuration in the range, for the share
// of nodes that may ask now. Those that have lately failed to send it go behind all others,
// and then those outside the data centre. The result is nil for the other nodes, with a pick
// for another call. The caller holds the lock.
func (t *Table) pickConfigHolder(numbers configRange, dataCentre string, pick float64, now time.Time) (holder *Peer, remaining float64) {
	var holders []*Peer
	var outdated int
	for _, failed := range []bool{false, true} {
		for _, place := range []string{dataCentre, ""} {
			if len(holders) == 0 {
				holders, outdated = t.configHolders(numbers, place, failed, now)
			}
		}
	}
	share := min(1, float64(len(holders))/float64(outdated))
	if pick < share {
		return holders[int(pick/share*float64(len(holders)))], 0
	}
	return nil, (pick - share) / (1 - share)
}

// configHolders returns the peers of a data centre, or of all if it is empty, that have
// a configuration in the range, ordered by node: either those that have lately failed to send
// it, or the others. It also counts the nodes there that want it, this one included. The
// caller holds the lock.
func (t *Table) configHolders(numbers configRange, dataCentre string, failed bool, now time.Time) (holders []*Peer, outdated int) {
	outdated = 1
	for _, p := range t.peers {
		number := p.Status.ConfigNumber
		switch {
		case dataCentre != "" && p.Status.DataCentre != dataCentre || !t.receivedRecently(p, now):
		case number < numbers.least:
			outdated++
		case number <= numbers.most && t.servesConfig(p, now) && p.failedToSendConfig(now) == failed:
			holders = append(holders, p)
		}
	}
	slices.SortFunc(holders, func(a, b *Peer) int { return strings.Compare(a.Status.Node, b.Status.Node) })
	return holders, outdated
}

// OutdatedNodes estimates how many nodes of the fleet, this one included, have a
// configuration with a lower number than the given one, by their share among the heartbeat
// peers.
func (t *Table) OutdatedNodes(number uint64, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	outdated, received := 1, 1
	for _, p := range t.peers {
		if p.StatusOnly || !t.receivedRecently(p, now) {
			continue
		}
		received++
		if p.Status.ConfigNumber < number {
			outdated++
		}
	}
	return max(1, t.nodeCount(now)*outdated/received)
}

// ConfigHolderFailed records that a peer was asked for its configuration and did not send it,
// although it was not busy. ConfigHolder passes over it until the given time, and prefers other
// peers for a longer one: the path to it may be cut.
func (t *Table) ConfigHolderFailed(node string, until, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[node]; p != nil {
		p.avoidConfigUntil, p.configFailedAt = until, now
	}
}

// failedToSendConfig reports whether a peer has lately failed to send its configuration.
func (p *Peer) failedToSendConfig(now time.Time) bool {
	return !p.configFailedAt.IsZero() && now.Sub(p.configFailedAt) < configFailureMemory
}

// AvoidConfigHolder makes ConfigHolder pass over a peer until the given time, because
// it was busy.
func (t *Table) AvoidConfigHolder(node string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[node]; p != nil {
		p.avoidConfigUntil = until
	}
}

// servesConfig reports whether a configuration can probably be fetched from a peer.
// The caller holds the lock.
func (t *Table) servesConfig(p *Peer, now time.Time) bool {
	return t.receivedRecently(p, now) && !now.Before(p.avoidUntil) && !now.Before(p.avoidConfigUntil)
}
