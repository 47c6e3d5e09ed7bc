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
	// idleEvictionAge is the time without a beat or read after which a witness may
	// forget a service in favour of another.
	idleEvictionAge = time.Hour
	// readRetryDelay is the time after which an object has mostly been read.
	readRetryDelay = 50 * time.Millisecond
)

// Witness is the state of a witness. It is safe for concurrent use.
type Witness struct {
	term          time.Duration
	started       time.Duration
	disabledRules rule.Set

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
	// knownSince is when the witness came to know the service.
	knownSince time.Duration
	lastUsed   time.Duration
	partitions []partition
}

// partition is what a witness knows of one partition.
type partition struct {
	// maxTenure is the highest tenure known; lower ones are refused.
	maxTenure uint64
	// ackedTenure is the last tenure acknowledged, at ackedAt. Zero means none.
	ackedTenure uint64
	ackedAt     time.Duration
	// lowerAckedAt is when a lower tenure was last acknowledged.
	lowerAckedAt time.Duration
	// released is true if the owner gave the acked tenure up.
	released bool
}

// New returns a witness that started at now, a reading of its monotonic clock.
func New(term, now time.Duration, disabledRules rule.Set) *Witness {
	return &Witness{term: term, started: now, disabledRules: disabledRules, services: make(map[string]*service)}
}

// HandleBeat decides on a beat that arrived at now. It returns the reply, and the
// services whose objects must be read before their beats can be acknowledged.
func (w *Witness) HandleBeat(beat *message.Beat, now time.Duration) (reply *message.BeatReply, unread []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, release := range beat.Releases {
		w.release(release)
	}
	reply = &message.BeatReply{Sequence: beat.Sequence}
	for i, item := range beat.Items {
		s := w.useService(item.Service, now)
		refusal := w.acknowledge(s, item, now)
		if refusal == nil {
			if item.Starting {
				reply.LastLowerAcks = append(reply.LastLowerAcks, message.LastLowerAck{Index: i, MinAge: w.lastLowerAckAge(s, item.Partition, now)})
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
func (w *Witness) HandleAssignment(serviceID string, a *assignment.Assignment, fromPlatform bool, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.services[serviceID]
	if s == nil {
		return
	}
	s.read = s.read || fromPlatform
	s.raiseEpoch(a.Epoch, now)
	for i, p := range a.Partitions {
		if known := s.partition(i); known != nil {
			known.maxTenure = max(known.maxTenure, p.Tenure)
		}
	}
}

// HandleSeal decides on a request to refuse lower epochs. It reports as unread a
// service whose object must be read first.
func (w *Witness) HandleSeal(seal *message.Seal, now time.Duration) (reply *message.SealReply, unread bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply = &message.SealReply{Service: seal.Service, Epoch: seal.Epoch}
	s := w.useService(seal.Service, now)
	if s == nil {
		return reply, false
	}
	s.raiseEpoch(seal.Epoch, now)
	reply.Sealed = s.read && !w.abstains(now) && now-s.epochSince >= w.term
	return reply, !s.read
}

// ServiceCount returns the number of services that the witness knows of.
func (w *Witness) ServiceCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.services)
}

func (w *Witness) abstains(now time.Duration) bool {
	return now-w.started < w.term && !w.disabledRules.Has(rule.WitnessAbstain)
}

// useService returns the service's state, or nil if the witness has no room for it.
func (w *Witness) useService(serviceID string, now time.Duration) *service {
	s := w.services[serviceID]
	if s == nil {
		if len(w.services) >= MaxServices && !w.evictIdle(now) {
			return nil
		}
		s = &service{knownSince: now, read: w.disabledRules.Has(rule.WitnessRead)}
		w.services[serviceID] = s
	}
	s.lastUsed = now
	return s
}

// evictIdle drops one service that has been idle for long.
func (w *Witness) evictIdle(now time.Duration) bool {
	for name, s := range w.services {
		if now-s.lastUsed > idleEvictionAge {
			delete(w.services, name)
			return true
		}
	}
	return false
}

// acknowledge acknowledges an item or returns why not.
func (w *Witness) acknowledge(s *service, item message.BeatItem, now time.Duration) *message.Refusal {
	if s == nil {
		return &message.Refusal{}
	}
	if !s.read {
		return &message.Refusal{RetryAfter: readRetryDelay}
	}
	if item.Epoch < s.epoch && !w.disabledRules.Has(rule.WitnessEpoch) {
		return &message.Refusal{Epoch: s.epoch}
	}
	s.raiseEpoch(item.Epoch, now)
	p := s.partition(item.Partition)
	if p == nil {
		return &message.Refusal{}
	}
	if item.Tenure < p.maxTenure && !w.disabledRules.Has(rule.WitnessFloor) {
		return &message.Refusal{Tenure: p.maxTenure}
	}
	p.maxTenure = max(p.maxTenure, item.Tenure)
	if w.abstains(now) {
		return &message.Refusal{RetryAfter: w.started + w.term - now}
	}
	if wait, ok := w.mayAcknowledge(p, item.Tenure, now); !ok {
		return &message.Refusal{RetryAfter: wait, Tenure: p.maxTenure}
	}
	if p.ackedTenure != 0 && p.ackedTenure != item.Tenure {
		p.lowerAckedAt = p.ackedAt
	}
	p.ackedTenure = item.Tenure
	p.ackedAt = now
	p.released = false
	return nil
}

// lastLowerAckAge returns for how long no lower tenure of a partition was acknowledged.
// A witness knows nothing of the time before it started or came to know the
// service; and what leases counted under a former epoch, it needn't know either.
func (w *Witness) lastLowerAckAge(s *service, number int, now time.Duration) time.Duration {
	lowerBound := max(w.started, s.knownSince)
	if !w.disabledRules.Has(rule.QuietEpoch) {
		lowerBound = max(lowerBound, s.epochSince)
	}
	if !w.disabledRules.Has(rule.QuietLower) {
		lowerBound = max(lowerBound, s.partition(number).lowerAckedAt)
	}
	return now - lowerBound
}

// mayAcknowledge reports whether a tenure may be acknowledged after the last
// one, or after which time.
func (w *Witness) mayAcknowledge(p *partition, tenure uint64, now time.Duration) (time.Duration, bool) {
	if p.ackedTenure == 0 || w.disabledRules.Has(rule.WitnessWait) {
		return 0, true
	}
	if p.ackedTenure == tenure {
		return 0, !p.released
	}
	elapsed := now - p.ackedAt
	return w.term - elapsed, p.released || elapsed >= w.term
}

func (w *Witness) release(release message.Release) {
	s := w.services[release.Service]
	if s == nil {
		return
	}
	p := s.partition(release.Partition)
	if p != nil && p.ackedTenure == release.Tenure {
		p.released = true
	}
}

// raiseEpoch raises the epoch.
func (s *service) raiseEpoch(epoch uint64, now time.Duration) {
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
