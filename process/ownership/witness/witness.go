// Package witness decides which heartbeats a witness acknowledges. Acknowledgements
// of a majority of witnesses grant the owner of a partition its lease.
//
// A witness stores, for each partition, the highest tenure that it has seen and
// the time at which it last acknowledged one. It stores no keys and no answers.
// It measures all times on its own monotonic clock.
package witness

import (
	"sync"
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/internal/rule"
	"verbenatrestle/process/ownership/message"
)

const (
	// MaxServices is the maximum number of services for which a witness stores
	// state. It refuses the heartbeats of further services unless it can evict an
	// idle one.
	MaxServices = 1024
	// idleEvictionAge is the time without a heartbeat or seal request after which
	// the state of a service may be evicted in favour of another service.
	idleEvictionAge = time.Hour
	// readRetryDelay is the delay after which the sender of a heartbeat should
	// retry while the witness reads the ownership object. Most reads take less.
	readRetryDelay = 50 * time.Millisecond
)

// Witness acknowledges or refuses the heartbeats of partition owners. It is safe
// for concurrent use.
type Witness struct {
	// term is the lease term.
	term time.Duration
	// started is the time at which the witness started.
	started       time.Duration
	disabledRules rule.Set

	mu       sync.Mutex
	services map[string]*service
}

// service is the state of a witness for one service.
type service struct {
	// read is true once the ownership object has been read from the platform
	// since the process started.
	read bool
	// epoch is the highest epoch seen, and epochSince the time at which it was
	// first seen.
	epoch      uint64
	epochSince time.Duration
	// knownSince is the time from which the witness has stored the service's state.
	knownSince time.Duration
	// lastUsed is the time of the latest heartbeat or seal request.
	lastUsed   time.Duration
	partitions []partition
}

// partition is the state of a witness for one partition.
type partition struct {
	// maxTenure is the highest tenure seen. Lower ones are refused.
	maxTenure uint64
	// ackedTenure is the tenure acknowledged last, and ackedAt the time of its
	// latest acknowledgement. Zero means that none has been acknowledged.
	ackedTenure uint64
	ackedAt     time.Duration
	// lowerAckedAt is the time at which a tenure lower than ackedTenure was last
	// acknowledged.
	lowerAckedAt time.Duration
	// released is true if the owner of ackedTenure has released it.
	released bool
}

// New returns a witness that starts at now, a reading of its monotonic clock. term
// is the lease term. disabledRules is zero except in tests.
func New(term, now time.Duration, disabledRules rule.Set) *Witness {
	return &Witness{term: term, started: now, disabledRules: disabledRules, services: make(map[string]*service)}
}

// HandleBeat acknowledges or refuses the items of a heartbeat that arrived at now.
// It returns the reply, and the services whose ownership objects must be read
// before their heartbeats can be acknowledged; the caller passes each object to
// HandleAssignment.
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
				reply.LastLowerAcks = append(reply.LastLowerAcks, message.LastLowerAck{Index: i, MinAge: w.minLowerAckAge(s, item.Partition, now)})
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

// HandleAssignment updates the state of a service from its ownership object.
// fromPlatform is true if this process read the object from the platform, and
// false if a peer sent it. A service without state is ignored.
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

// HandleSeal handles a request to refuse heartbeats of lower epochs. unread is true
// if the service's ownership object must be read first.
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

// ServiceCount returns the number of services for which the witness stores state.
func (w *Witness) ServiceCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.services)
}

// abstains reports whether the witness refuses all heartbeats because it started
// less than a lease term ago: it doesn't know what an earlier incarnation
// acknowledged.
func (w *Witness) abstains(now time.Duration) bool {
	return now-w.started < w.term && !w.disabledRules.Has(rule.WitnessAbstain)
}

// useService returns the state of a service and creates it if necessary. It returns
// nil if MaxServices is reached and no service can be evicted.
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

// evictIdle removes the state of one service that has not been used for
// idleEvictionAge. It reports whether there was one.
func (w *Witness) evictIdle(now time.Duration) bool {
	for name, s := range w.services {
		if now-s.lastUsed > idleEvictionAge {
			delete(w.services, name)
			return true
		}
	}
	return false
}

// acknowledge acknowledges an item of a heartbeat and returns nil, or returns the
// refusal. s is nil if there is no room for the service's state.
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

// minLowerAckAge returns the minimum time since the witness last acknowledged a
// lower tenure of a partition. It doesn't reach back beyond the witness's start or
// the creation of the service's state, since the witness doesn't know what it
// acknowledged earlier; nor beyond the time at which it learnt of the current
// epoch, since leases of earlier epochs may have counted acknowledgements of
// other witnesses.
func (w *Witness) minLowerAckAge(s *service, number int, now time.Duration) time.Duration {
	lastPossible := max(w.started, s.knownSince)
	if !w.disabledRules.Has(rule.QuietEpoch) {
		lastPossible = max(lastPossible, s.epochSince)
	}
	if !w.disabledRules.Has(rule.QuietLower) {
		lastPossible = max(lastPossible, s.partition(number).lowerAckedAt)
	}
	return now - lastPossible
}

// mayAcknowledge reports whether a tenure may be acknowledged after the last
// one. If not, it returns the time after which it may be, or zero for never.
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

// release marks the acknowledged tenure of a partition as released.
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

// raiseEpoch records an epoch that is higher than the highest one seen.
func (s *service) raiseEpoch(epoch uint64, now time.Duration) {
	if epoch > s.epoch {
		s.epoch = epoch
		s.epochSince = now
	}
}

// partition returns the state of a partition and creates it if necessary. It
// returns nil for a number out of range.
func (s *service) partition(number int) *partition {
	if number < 0 || number >= assignment.MaxPartitions {
		return nil
	}
	for len(s.partitions) <= number {
		s.partitions = append(s.partitions, partition{})
	}
	return &s.partitions[number]
}
