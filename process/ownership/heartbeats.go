package ownership

import (
	"cmp"
	"slices"
	"time"

	"verbenatrestle/process/ownership/internal/rule"
	"verbenatrestle/process/ownership/message"
)

const (
	// minHeartbeatGap is the minimum time between two rounds of heartbeats.
	minHeartbeatGap = 10 * time.Millisecond
	// maxOutstandingHeartbeats is the number of heartbeats without a reply above
	// which the oldest are dropped.
	maxOutstandingHeartbeats = 256
)

// heartbeatSender is the state of the heartbeats that this node sends to renew
// its leases. It is guarded by Core.mu.
type heartbeatSender struct {
	// last and next are the times of the last and of the next heartbeats.
	last, next time.Duration
	// outstanding holds the heartbeats without a reply, by sequence number.
	outstanding map[uint64]sentHeartbeat
	// releases are the tenures to release. They are sent for a lease term,
	// since the successor has to wait for a term if a release is lost.
	// newReleases are those that no heartbeat has contained yet.
	releases    []pendingRelease
	newReleases []message.Release
}

// sentHeartbeat is a heartbeat that was sent to one witness.
type sentHeartbeat struct {
	witness string
	at      time.Duration
	items   []heartbeatItem
}

// heartbeatItem is one tenure in a heartbeat.
type heartbeatItem struct {
	service   *service
	partition *partition
	tenure    uint64
	epoch     uint64
}

// pendingRelease is a tenure that is being released.
type pendingRelease struct {
	message.Release
	witnesses []string
	until     time.Duration
}

// addRelease adds the release of a tenure to the next heartbeats, and makes them
// due.
func (s *heartbeatSender) addRelease(r message.Release) {
	s.newReleases = append(s.newReleases, r)
	s.next = 0
}

// sendHeartbeats sends one heartbeat to each witness of the partitions that this
// node owns, if heartbeats are due.
func (c *Core) sendHeartbeats(now ClockReading, out *Output) {
	sender := &c.heartbeats
	if now.Monotonic < sender.next || now.Monotonic < sender.last+minHeartbeatGap && sender.last > 0 {
		return
	}
	sender.last = now.Monotonic
	sender.next = now.Monotonic + c.timing.HeartbeatInterval()
	sender.dropOldest()
	c.updateReleases(now.Monotonic)
	perWitness := make(map[string]*message.Beat)
	items := make(map[string][]heartbeatItem)
	services := *c.services.Load()
	for _, id := range c.serviceIDs {
		c.addHeartbeatItems(services[id], perWitness, items)
	}
	for _, r := range sender.releases {
		for _, witness := range r.witnesses {
			beat := heartbeatFor(perWitness, witness)
			beat.Releases = append(beat.Releases, r.Release)
		}
	}
	for _, witness := range sortedKeys(perWitness) {
		beat := perWitness[witness]
		beat.Sequence = c.nextID()
		if len(items[witness]) > 0 {
			sender.outstanding[beat.Sequence] = sentHeartbeat{witness: witness, at: now.Monotonic, items: items[witness]}
		}
		out.send(witness, beat)
	}
}

// addHeartbeatItems adds the tenures of one service to the heartbeats.
func (c *Core) addHeartbeatItems(s *service, perWitness map[string]*message.Beat, items map[string][]heartbeatItem) {
	v := s.view.Load()
	if v == nil {
		return
	}
	for _, p := range s.allPartitions() {
		p.mu.Lock()
		tenure := p.tenure
		starting := !p.begun
		p.mu.Unlock()
		if tenure == 0 {
			continue
		}
		item := message.BeatItem{Service: s.id, Partition: p.number, Tenure: tenure, Epoch: v.Epoch, Starting: starting}
		for _, witness := range v.allWitnesses() {
			beat := heartbeatFor(perWitness, witness)
			beat.Items = append(beat.Items, item)
			items[witness] = append(items[witness], heartbeatItem{service: s, partition: p, tenure: tenure, epoch: v.Epoch})
		}
	}
}

// heartbeatFor returns the heartbeat to a witness, and creates it if necessary.
func heartbeatFor(perWitness map[string]*message.Beat, witness string) *message.Beat {
	beat := perWitness[witness]
	if beat == nil {
		beat = &message.Beat{}
		perWitness[witness] = beat
	}
	return beat
}

// updateReleases adds the new releases to those that are sent, and removes those
// that have been sent for a lease term.
func (c *Core) updateReleases(now time.Duration) {
	sender := &c.heartbeats
	sender.releases = slices.DeleteFunc(sender.releases, func(r pendingRelease) bool { return now > r.until })
	for _, r := range sender.newReleases {
		s := (*c.services.Load())[r.Service]
		if s == nil || s.view.Load() == nil {
			continue
		}
		witnesses := s.view.Load().allWitnesses()
		sender.releases = append(sender.releases, pendingRelease{Release: r, witnesses: witnesses, until: now + c.timing.LeaseTerm})
	}
	sender.newReleases = nil
}

// dropOldest drops the oldest heartbeats when too many are outstanding. Their
// replies are ignored; they would hardly extend a lease, which is counted from
// when its heartbeat was sent.
func (s *heartbeatSender) dropOldest() {
	if len(s.outstanding) <= maxOutstandingHeartbeats {
		return
	}
	sequences := sortedKeys(s.outstanding)
	for _, sequence := range sequences[:len(sequences)-maxOutstandingHeartbeats/2] {
		delete(s.outstanding, sequence)
	}
}

// handleHeartbeat replies to a heartbeat as a witness.
func (c *Core) handleHeartbeat(from string, beat *message.Beat, now ClockReading, out *Output) {
	reply, unread := c.witness.HandleBeat(beat, now.Monotonic)
	if len(beat.Items) > 0 {
		out.send(from, reply)
	}
	for _, id := range unread {
		c.requestRead(id, now)
	}
}

// handleHeartbeatReply records the acknowledgements and refusals of a witness.
func (c *Core) handleHeartbeatReply(from string, reply *message.BeatReply, now ClockReading) {
	beat, ok := c.heartbeats.outstanding[reply.Sequence]
	if !ok || beat.witness != from {
		return
	}
	delete(c.heartbeats.outstanding, reply.Sequence)
	refused := make(map[int]bool, len(reply.Refused))
	for _, refusal := range reply.Refused {
		refused[refusal.Index] = true
		c.handleRefusal(beat, refusal, now)
	}
	sent := beat.at
	if c.disabledRules.Has(rule.AckFromSend) {
		sent = now.Monotonic
	}
	minAges := make(map[int]time.Duration, len(reply.LastLowerAcks))
	for _, ack := range reply.LastLowerAcks {
		minAges[ack.Index] = ack.MinAge
	}
	for i, item := range beat.items {
		if !refused[i] {
			c.recordAcknowledgement(from, item, sent, minAges[i], now)
		}
	}
}

// recordAcknowledgement records the acknowledgement of one tenure by a witness.
// minAge is the minimum time since the witness last acknowledged a lower tenure.
func (c *Core) recordAcknowledgement(witness string, item heartbeatItem, sent, minAge time.Duration, now ClockReading) {
	p := item.partition
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tenure != item.tenure || !p.begun && p.epoch != item.epoch {
		return
	}
	p.lease.Acknowledge(witness, sent)
	c.updateFormerLeasesEnd(p, now, minAge)
	c.beginTenure(item.service, p, now)
}

// handleRefusal schedules the next heartbeat for when the witness may
// acknowledge. If the witness has seen a later tenure or epoch, it also requests
// a read of the object.
func (c *Core) handleRefusal(beat sentHeartbeat, refusal message.Refusal, now ClockReading) {
	if refusal.Index < 0 || refusal.Index >= len(beat.items) {
		return
	}
	item := beat.items[refusal.Index]
	if refusal.RetryAfter > 0 {
		c.heartbeats.next = min(c.heartbeats.next, now.Monotonic+refusal.RetryAfter+time.Millisecond)
	}
	v := item.service.view.Load()
	if refusal.Tenure > item.tenure || v != nil && refusal.Epoch > v.Epoch {
		c.requestRead(item.service.id, now)
	}
}

// allWitnesses returns the current and the previous witnesses without
// duplicates, sorted.
func (v *view) allWitnesses() []string {
	all := slices.Concat(v.Witnesses, v.PreviousWitnesses)
	slices.Sort(all)
	return slices.Compact(all)
}

// sortedKeys returns the keys of a map, sorted, so that the output doesn't depend
// on the order of iteration.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
