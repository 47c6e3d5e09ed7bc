package membership

import (
	"context"
	"time"

	"verbenatrestle/connection/wire"
)

// ticksPerPeriod is how often a Runner ticks in a period.
const ticksPerPeriod = 4

// Runner ties a table to the clock and to the peer links.
type Runner struct {
	// Table is the table that is run.
	Table *Table
	// Send sends a message to a peer without blocking. Its error is dropped:
	// what gossip loses, it mends.
	Send func(to string, message any) error
}

// Run ticks the table until the context ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(r.Table.opts.Period / ticksPerPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.send(r.Table.Tick(now))
		}
	}
}

// HandleMessage takes in a message of this package.
func (r *Runner) HandleMessage(from string, message any) {
	r.send(r.Table.Handle(time.Now(), from, message))
}

// LinkUp tells the table of an open link.
func (r *Runner) LinkUp(peer string) {
	r.send(r.Table.LinkUp(time.Now(), peer))
}

// LinkDown tells the table of a failed link. An idle link, whose error is nil,
// is no failure.
func (r *Runner) LinkDown(peer string, err error) {
	if err != nil {
		r.send(r.Table.LinkDown(time.Now(), peer))
	}
}

// UpdateSelf changes this node's own entry.
func (r *Runner) UpdateSelf(change func(*Member)) {
	r.send(r.Table.UpdateSelf(time.Now(), change))
}

// Seed takes in members that were read from the platform.
func (r *Runner) Seed(members []Member) {
	r.send(r.Table.Seed(time.Now(), members))
}

// Flood starts a rumour.
func (r *Runner) Flood(topic uint8, payload []byte) {
	r.send(r.Table.Flood(time.Now(), topic, payload))
}

// Leave says that this node stops.
func (r *Runner) Leave() {
	r.send(r.Table.Leave(time.Now()))
}

func (r *Runner) send(envelopes []wire.Envelope) {
	for _, e := range envelopes {
		_ = r.Send(e.To, e.Message)
	}
}
