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

// MaxConfigTransfers is how many configurations a node sends at once.
const MaxConfigTransfers = 2

// ConfigHolder returns one of the peers whose configuration has the highest number, if
// that is above the given one. Peers in the given data centre are preferred. Pick, a
// random number in [0, 1), chooses among them.
//
// All nodes learn of a new configuration at once, and a few holders can't serve them
// all. So only a share of the nodes that want it may ask now, one for each holder on
// average; for the others the result is false, and they call again after a while. That
// share grows as the configuration spreads.
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
	holders, outdated := t.configHolders(highest, dataCentre, now)
	if len(holders) == 0 {
		holders, outdated = t.configHolders(highest, "", now)
	}
	share := min(1, float64(len(holders))/float64(outdated))
	if pick >= share {
		return ConfigHolder{}, false
	}
	s := &holders[int(pick/share*float64(len(holders)))].Status
	return ConfigHolder{Node: s.Node, HopAddress: s.HopAddress, Number: s.ConfigNumber}, true
}

// configHolders returns the peers of a data centre, or of all if it is empty, that have
// the configuration with the given number, ordered by node. It also counts the nodes
// there that want it, this one included. The caller holds the lock.
func (t *Table) configHolders(number uint64, dataCentre string, now time.Time) (holders []*Peer, outdated int) {
	outdated = 1
	for _, p := range t.peers {
		switch {
		case dataCentre != "" && p.Status.DataCentre != dataCentre || !t.receivedRecently(p, now):
		case p.Status.ConfigNumber < number:
			outdated++
		case p.Status.ConfigNumber == number && t.servesConfig(p, now):
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

// AvoidConfigHolder makes ConfigHolder pass over a peer until the given time, because
// it did not send its configuration.
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
