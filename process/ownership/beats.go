package ownership

import (
	"cmp"
	"slices"
	"time"

	"verbenatrestle/process/ownership/internal/rule"
	"verbenatrestle/process/ownership/message"
)

const (
	// minBeatGap is the least time between two beats to one witness.
	minBeatGap = 10 * time.Millisecond
	// maxOutstanding is the most beats whose replies are waited for.
	maxOutstanding = 256
)

// beats is the sending side of leases. It is guarded by Core.mu.
type beats struct {
	// last and next are the times of the last beats and of the next ones.
	last, next time.Duration
	// outstanding holds the beats whose replies still count.
	outstanding map[uint64]sentBeat
	// released are the tenures to release. They are sent for a term, since a
	// release that is lost costs the successor a term.
	released []release
	fresh    []message.Release
}

// sentBeat is a beat that was sent to one witness.
type sentBeat struct {
	witness string
	at      time.Duration
	items   []beatItem
}

// beatItem is one tenure in a beat.
type beatItem struct {
	service   *service
	partition *partition
	tenure    uint64
	epoch     uint64
}

// release is a tenure that is being released.
type release struct {
	message.Release
	witnesses []string
	until     time.Duration
}

// release makes the next beats release a tenure.
func (b *beats) release(r message.Release) {
	b.fresh = append(b.fresh, r)
	b.next = 0
}

// sendBeats sends one beat to each witness of the partitions owned here, if it
// is time.
func (c *Core) sendBeats(now ClockReading, out *Output) {
	b := &c.beats
	if now.Monotonic < b.next || now.Monotonic < b.last+minBeatGap && b.last > 0 {
		return
	}
	b.last = now.Monotonic
	b.next = now.Monotonic + c.timing.HeartbeatInterval()
	b.dropOldest()
	c.takeReleases(now.Monotonic)
	perWitness := make(map[string]*message.Beat)
	items := make(map[string][]beatItem)
	services := *c.services.Load()
	for _, id := range c.order {
		c.addBeatItems(services[id], perWitness, items)
	}
	for _, r := range b.released {
		for _, witness := range r.witnesses {
			beat := beatFor(perWitness, witness)
			beat.Releases = append(beat.Releases, r.Release)
		}
	}
	for _, witness := range sortedKeys(perWitness) {
		beat := perWitness[witness]
		beat.Sequence = c.next()
		if len(items[witness]) > 0 {
			b.outstanding[beat.Sequence] = sentBeat{witness: witness, at: now.Monotonic, items: items[witness]}
		}
		out.send(witness, beat)
	}
}

// addBeatItems adds the tenures of one service to the beats.
func (c *Core) addBeatItems(s *service, perWitness map[string]*message.Beat, items map[string][]beatItem) {
	v := s.view.Load()
	if v == nil {
		return
	}
	for _, p := range s.list() {
		p.mu.Lock()
		tenure := p.tenure
		starting := !p.begun
		p.mu.Unlock()
		if tenure == 0 {
			continue
		}
		item := message.BeatItem{Service: s.id, Partition: p.number, Tenure: tenure, Epoch: v.Epoch, Starting: starting}
		for _, witness := range v.allWitnesses() {
			beat := beatFor(perWitness, witness)
			beat.Items = append(beat.Items, item)
			items[witness] = append(items[witness], beatItem{service: s, partition: p, tenure: tenure, epoch: v.Epoch})
		}
	}
}

func beatFor(perWitness map[string]*message.Beat, witness string) *message.Beat {
	beat := perWitness[witness]
	if beat == nil {
		beat = &message.Beat{}
		perWitness[witness] = beat
	}
	return beat
}

// takeReleases moves fresh releases to those being sent, and ends old ones.
func (c *Core) takeReleases(now time.Duration) {
	b := &c.beats
	b.released = slices.DeleteFunc(b.released, func(r release) bool { return now > r.until })
	for _, r := range b.fresh {
		s := (*c.services.Load())[r.Service]
		if s == nil || s.view.Load() == nil {
			continue
		}
		witnesses := s.view.Load().allWitnesses()
		b.released = append(b.released, release{Release: r, witnesses: witnesses, until: now + c.timing.LeaseTerm})
	}
	b.fresh = nil
}

// dropOldest forgets the oldest beats when too many are outstanding. Their
// replies, if they still come, count for little.
func (b *beats) dropOldest() {
	if len(b.outstanding) <= maxOutstanding {
		return
	}
	sequences := sortedKeys(b.outstanding)
	for _, sequence := range sequences[:len(sequences)-maxOutstanding/2] {
		delete(b.outstanding, sequence)
	}
}

// handleBeat answers a beat as a witness.
func (c *Core) handleBeat(from string, beat *message.Beat, now ClockReading, out *Output) {
	reply, unread := c.witness.HandleBeat(beat, now.Monotonic)
	if len(beat.Items) > 0 {
		out.send(from, reply)
	}
	for _, id := range unread {
		c.wantRead(id, now)
	}
}

// handleBeatReply takes in what a witness acknowledged.
func (c *Core) handleBeatReply(from string, reply *message.BeatReply, now ClockReading) {
	beat, ok := c.beats.outstanding[reply.Sequence]
	if !ok || beat.witness != from {
		return
	}
	delete(c.beats.outstanding, reply.Sequence)
	refused := make(map[int]bool, len(reply.Refused))
	for _, refusal := range reply.Refused {
		refused[refusal.Index] = true
		c.handleRefusal(beat, refusal, now)
	}
	sent := beat.at
	if c.without.Has(rule.AckFromSend) {
		sent = now.Monotonic
	}
	quiet := make(map[int]time.Duration, len(reply.LastLowerAcks))
	for _, q := range reply.LastLowerAcks {
		quiet[q.Index] = q.MinAge
	}
	for i, item := range beat.items {
		if !refused[i] {
			c.acknowledged(from, item, sent, quiet[i], now)
		}
	}
}

// acknowledged counts the acknowledgement of one tenure by a witness that has
// been quiet for a time about lower ones.
func (c *Core) acknowledged(witness string, item beatItem, sent, quiet time.Duration, now ClockReading) {
	p := item.partition
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tenure != item.tenure || !p.begun && p.epoch != item.epoch {
		return
	}
	p.lease.Acknowledge(witness, sent)
	c.predecessorsEnded(p, now, quiet)
	c.start(item.service, p, now)
}

// handleRefusal arranges for the next beat, or for a look at the object if the
// witness knows of a later one.
func (c *Core) handleRefusal(beat sentBeat, refusal message.Refusal, now ClockReading) {
	if refusal.Index < 0 || refusal.Index >= len(beat.items) {
		return
	}
	item := beat.items[refusal.Index]
	if refusal.RetryAfter > 0 {
		c.beats.next = min(c.beats.next, now.Monotonic+refusal.RetryAfter+time.Millisecond)
	}
	v := item.service.view.Load()
	if refusal.Tenure > item.tenure || v != nil && refusal.Epoch > v.Epoch {
		c.wantRead(item.service.id, now)
	}
}

// allWitnesses returns the present and the previous witnesses, each once.
func (v *view) allWitnesses() []string {
	all := slices.Concat(v.Witnesses, v.PreviousWitnesses)
	slices.Sort(all)
	return slices.Compact(all)
}

// sortedKeys returns the keys of a map in order, so that output doesn't depend
// on the order of iteration.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
