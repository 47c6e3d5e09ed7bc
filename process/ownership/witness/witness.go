// Package witness decides which beats a witness acknowledges.
//
// A witness keeps, for each partition, the highest tenure that it knows of and
// when it last acknowledged one. It knows no keys and no values. It judges
// time by its own monotonic clock alone.
package witness

import (
	"sync"
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/internal/rule"
	"verbenatrestle/process/ownership/message"
)

// Bounds of a witness's memory.
const (
	// MaxServices is the most services that a witness acknowledges beats of.
	MaxServices = 1024
	// forgetAfter is the time without a beat or read after which a witness may
	// forget a service in favour of another.
	forgetAfter = time.Hour
	// readWait is the time after which an object has mostly been read.
	readWait = 50 * time.Millisecond
)

// Witness is the state of a witness. It is safe for concurrent use.
type Witness struct {
	term    time.Duration
	started time.Duration
	without rule.Set

	mu       sync.Mutex
	services map[string]*service
}

// service is what a witness knows of one service.
type service struct {
	// read is true once the object was read since the process started.
	read bool
	// epoch is the highest epoch known, since epochSince.
	epoch      uint64
	epochSince time.Duration
	// since is when the witness came to know the service.
	since      time.Duration
	lastUse    time.Duration
	partitions []partition
}

// partition is what a witness knows of one partition.
type partition struct {
	// highest is the highest tenure known; lower ones are refused.
	highest uint64
	// acked is the last tenure acknowledged, at ackedAt. Zero means none.
	acked   uint64
	ackedAt time.Duration
	// lowerAt is when a lower tenure was last acknowledged.
	lowerAt time.Duration
	// released is true if the owner gave the acked tenure up.
	released bool
}

// New returns a witness that started at now, a reading of its monotonic clock.
func New(term, now time.Duration, without rule.Set) *Witness {
	return &Witness{term: term, started: now, without: without, services: make(map[string]*service)}
}

// HandleBeat decides on a beat that arrived at now. It returns the reply, and the
// services whose objects must be read before their beats can be acknowledged.
func (c *Witness) HandleBeat(beat *message.Beat, now time.Duration) (reply *message.BeatReply, unread []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, release := range beat.Releases {
		c.release(release)
	}
	reply = &message.BeatReply{Sequence: beat.Sequence}
	for i, item := range beat.Items {
		s := c.use(item.Service, now)
		refusal := c.judge(s, item, now)
		if refusal == nil {
			if item.Starting {
				reply.LastLowerAcks = append(reply.LastLowerAcks, message.LastLowerAck{Index: i, MinAge: c.quiet(s, item.Partition, now)})
			}
			continue
		}
		refusal.Index = i
		reply.Refused = append(reply.Refused, *refusal)
		if s != nil && !s.read {
			unread = append(unread, item.Service)
		}
	}
	return reply, unread
}

// HandleAssignment takes in an ownership object. A read is true if the object was read
// from the platform since this process started, not passed on by a peer.
func (c *Witness) HandleAssignment(name string, a *assignment.Assignment, read bool, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[name]
	if s == nil {
		return
	}
	s.read = s.read || read
	s.adopt(a.Epoch, now)
	for i, p := range a.Partitions {
		if known := s.partition(i); known != nil {
			known.highest = max(known.highest, p.Tenure)
		}
	}
}

// HandleSeal decides on a request to refuse lower epochs. It reports as unread a
// service whose object must be read first.
func (c *Witness) HandleSeal(seal *message.Seal, now time.Duration) (reply *message.SealReply, unread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply = &message.SealReply{Service: seal.Service, Epoch: seal.Epoch}
	s := c.use(seal.Service, now)
	if s == nil {
		return reply, false
	}
	s.adopt(seal.Epoch, now)
	reply.Sealed = s.read && !c.abstains(now) && now-s.epochSince >= c.term
	return reply, !s.read
}

// ServiceCount returns the number of services that the witness knows of.
func (c *Witness) ServiceCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.services)
}

func (c *Witness) abstains(now time.Duration) bool {
	return now-c.started < c.term && !c.without.Has(rule.WitnessAbstain)
}

// use returns the service's state, or nil if the witness has no room for it.
func (c *Witness) use(name string, now time.Duration) *service {
	s := c.services[name]
	if s == nil {
		if len(c.services) >= MaxServices && !c.forget(now) {
			return nil
		}
		s = &service{since: now, read: c.without.Has(rule.WitnessRead)}
		c.services[name] = s
	}
	s.lastUse = now
	return s
}

// forget drops one service that has been idle for long.
func (c *Witness) forget(now time.Duration) bool {
	for name, s := range c.services {
		if now-s.lastUse > forgetAfter {
			delete(c.services, name)
			return true
		}
	}
	return false
}

// judge acknowledges an item or returns why not.
func (c *Witness) judge(s *service, item message.BeatItem, now time.Duration) *message.Refusal {
	if s == nil {
		return &message.Refusal{}
	}
	if !s.read {
		return &message.Refusal{RetryAfter: readWait}
	}
	if item.Epoch < s.epoch && !c.without.Has(rule.WitnessEpoch) {
		return &message.Refusal{Epoch: s.epoch}
	}
	s.adopt(item.Epoch, now)
	p := s.partition(item.Partition)
	if p == nil {
		return &message.Refusal{}
	}
	if item.Tenure < p.highest && !c.without.Has(rule.WitnessFloor) {
		return &message.Refusal{Tenure: p.highest}
	}
	p.highest = max(p.highest, item.Tenure)
	if c.abstains(now) {
		return &message.Refusal{RetryAfter: c.started + c.term - now}
	}
	if wait, ok := c.mayAcknowledge(p, item.Tenure, now); !ok {
		return &message.Refusal{RetryAfter: wait, Tenure: p.highest}
	}
	if p.acked != 0 && p.acked != item.Tenure {
		p.lowerAt = p.ackedAt
	}
	p.acked = item.Tenure
	p.ackedAt = now
	p.released = false
	return nil
}

// quiet returns for how long no lower tenure of a partition was acknowledged.
// A witness knows nothing of the time before it started or came to know the
// service; and what leases counted under a former epoch, it needn't know either.
func (c *Witness) quiet(s *service, number int, now time.Duration) time.Duration {
	last := max(c.started, s.since)
	if !c.without.Has(rule.QuietEpoch) {
		last = max(last, s.epochSince)
	}
	if !c.without.Has(rule.QuietLower) {
		last = max(last, s.partition(number).lowerAt)
	}
	return now - last
}

// mayAcknowledge reports whether a tenure may be acknowledged after the last
// one, or after which time.
func (c *Witness) mayAcknowledge(p *partition, tenure uint64, now time.Duration) (time.Duration, bool) {
	if p.acked == 0 || c.without.Has(rule.WitnessWait) {
		return 0, true
	}
	if p.acked == tenure {
		return 0, !p.released
	}
	passed := now - p.ackedAt
	return c.term - passed, p.released || passed >= c.term
}

func (c *Witness) release(release message.Release) {
	s := c.services[release.Service]
	if s == nil {
		return
	}
	p := s.partition(release.Partition)
	if p != nil && p.acked == release.Tenure {
		p.released = true
	}
}

// adopt raises the epoch.
func (s *service) adopt(epoch uint64, now time.Duration) {
	if epoch > s.epoch {
		s.epoch = epoch
		s.epochSince = now
	}
}

// partition returns the state of a partition, or nil for a number out of range.
func (s *service) partition(number int) *partition {
	if number < 0 || number >= assignment.MaxPartitions {
		return nil
	}
	for len(s.partitions) <= number {
		s.partitions = append(s.partitions, partition{})
	}
	return &s.partitions[number]
}
