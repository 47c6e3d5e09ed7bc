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

// ConfigHolder returns one of the peers whose configuration has the highest number,
// if that is above the given one, and false otherwise. Peers in the given data centre
// are preferred. Which of them it is follows from pick, a random number in [0, 1), so
// that many nodes don't ask the same peer.
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
	var local, remote []*Peer
	for _, p := range t.peers {
		switch {
		case p.Status.ConfigNumber != highest || !t.servesConfig(p, now):
		case p.Status.DataCentre == dataCentre:
			local = append(local, p)
		default:
			remote = append(remote, p)
		}
	}
	holders := local
	if len(holders) == 0 {
		holders = remote
	}
	slices.SortFunc(holders, func(a, b *Peer) int { return strings.Compare(a.Status.Node, b.Status.Node) })
	s := &holders[int(pick*float64(len(holders)))].Status
	return ConfigHolder{Node: s.Node, HopAddress: s.HopAddress, Number: s.ConfigNumber}, true
}

// NewestConfig returns the highest number of a configuration among the peers that were
// heard recently, or zero if there are none.
func (t *Table) NewestConfig(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := uint64(0)
	for _, p := range t.peers {
		if t.receivedRecently(p, now) {
			newest = max(newest, p.Status.ConfigNumber)
		}
	}
	return newest
}

// servesConfig reports whether a configuration can probably be fetched from a peer.
// The caller holds the lock.
func (t *Table) servesConfig(p *Peer, now time.Time) bool {
	return t.receivedRecently(p, now) && !now.Before(p.avoidUntil)
}
