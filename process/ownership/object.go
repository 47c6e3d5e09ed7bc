package ownership

import (
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/message"
)

const (
	// minBackoff and maxBackoff bound the mean delay after a failed call of the
	// platform. It doubles with each failure; the delay is random between half
	// of it and one and a half times it.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 20 * time.Second
	// maxConflictWait bounds the random delay after a conflict.
	maxConflictWait = 100 * time.Millisecond
	// maxDirectUpdates is the maximum number of nodes to which the writer of an
	// object sends it directly. The others receive it from the platform.
	maxDirectUpdates = 16
)

// pendingWrite is a conditional write that has no result yet.
type pendingWrite struct {
	id uint64
	// version is the version of the object that the new content is based on.
	version uint64
	value   *assignment.Assignment
}

// pendingRead is the state of reads of one object.
type pendingRead struct {
	requested bool
	inFlight  bool
	// notBefore is the earliest time of the next read.
	notBefore time.Duration
}

// platformState describes the recent calls of the platform.
type platformState struct {
	// failures is the number of calls that failed since the last success.
	failures int
}

// WriteOutcome is the outcome of a conditional write.
type WriteOutcome uint8

// Outcomes of a conditional write.
const (
	// Written means that the object was written.
	Written WriteOutcome = iota + 1
	// Conflict means that the object had another version. The write will not
	// take effect.
	Conflict
	// Failed means that the write had no effect and will have none.
	Failed
	// Uncertain means that the write may have taken effect or may still do so.
	Uncertain
)

// String returns the outcome's name, which is part of a metric's name.
func (o WriteOutcome) String() string {
	names := [...]string{"none", "written", "conflict", "failed", "uncertain"}
	if int(o) < len(names) {
		return names[o]
	}
	return "invalid"
}

// WriteResult is the result of a ConditionalWrite.
type WriteResult struct {
	// ID and Service are those of the ConditionalWrite.
	ID      uint64
	Service string
	// Outcome is the outcome of the write.
	Outcome WriteOutcome
	// Version is the object's version after Written or Conflict. Zero means
	// that the object does not exist.
	Version uint64
	// Value is the object's content after Conflict.
	Value []byte
}

// HandleWriteResult handles the result of a conditional write. It returns an
// error if the object that caused a conflict can't be decoded.
func (c *Core) HandleWriteResult(result WriteResult, now ClockReading) (Output, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out Output
	s := (*c.services.Load())[result.Service]
	if s == nil {
		return out, nil
	}
	pending := s.pendingWrite
	if pending != nil && pending.id == result.ID {
		s.pendingWrite = nil
	}
	var err error
	switch result.Outcome {
	case Written:
		c.handleWritten(s, pending, result, now, &out)
	case Conflict:
		s.nextWrite = now.Monotonic + c.jitter(maxConflictWait)
		err = c.handleObject(s, result.Version, result.Value, false, now, &out)
	case Failed:
		c.recordPlatformFailure(s, now)
	case Uncertain:
		c.handleUncertainWrite(s, pending, now)
	}
	c.startDue(now, &out)
	return out, err
}

// handleWritten applies the object that this node wrote and sends it to other
// nodes of the service. If the write is no longer the pending one, its content
// is not known, and the object is read instead.
func (c *Core) handleWritten(s *service, pending *pendingWrite, result WriteResult, now ClockReading, out *Output) {
	c.platform.failures = 0
	if pending == nil || pending.id != result.ID {
		c.requestRead(s.id, now)
		return
	}
	s.nextWrite = now.Monotonic
	c.applyObject(s, pending.value, result.Version, false, now, out)
	sent := 0
	for _, candidate := range assignment.Rank(s.id, 0, c.candidates(s.id)) {
		if candidate.Node != c.node && sent < maxDirectUpdates {
			c.sendObject(s, candidate.Node, out)
			sent++
		}
	}
}

// handleUncertainWrite requests a read, since the write may have taken effect, and
// records in the handovers that the write may complete that it may still do so.
func (c *Core) handleUncertainWrite(s *service, pending *pendingWrite, now ClockReading) {
	c.recordPlatformFailure(s, now)
	c.requestRead(s.id, now)
	if pending == nil {
		return
	}
	for _, p := range s.allPartitions() {
		p.mu.Lock()
		if p.outgoing != nil && p.outgoing.phase == phaseWriting {
			p.outgoing.uncertainVersion = pending.version
		}
		p.mu.Unlock()
	}
}

// recordPlatformFailure counts a failed write and delays the next one.
func (c *Core) recordPlatformFailure(s *service, now ClockReading) {
	c.platform.failures++
	s.nextWrite = now.Monotonic + c.backoff()
}

// backoff returns the delay before the next call of the platform.
func (c *Core) backoff() time.Duration {
	wait := minBackoff << min(c.platform.failures, 10)
	wait = min(wait, maxBackoff)
	return wait/2 + c.jitter(wait)
}

// HandleReadResult handles the result of a read requested by Output.Reads. The
// object must be as it was at some time after the request. failed is true if
// the read failed; a missing object has version 0. HandleReadResult returns an
// error if value can't be decoded.
func (c *Core) HandleReadResult(service string, version uint64, value []byte, failed bool, now ClockReading) (Output, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out Output
	s := (*c.services.Load())[service]
	if s == nil {
		return out, nil
	}
	s.read.inFlight = false
	if failed {
		c.platform.failures++
		s.read.requested = true
		s.read.notBefore = now.Monotonic + c.backoff()
		return out, nil
	}
	c.platform.failures = 0
	err := c.handleObject(s, version, value, true, now, &out)
	c.startDue(now, &out)
	return out, err
}

// Observe handles an object received from a watch. Version 0 means that the
// object was deleted. It returns an error if value can't be decoded.
func (c *Core) Observe(service string, version uint64, value []byte, now ClockReading) (Output, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out Output
	s := (*c.services.Load())[service]
	if s == nil {
		return out, nil
	}
	err := c.handleObject(s, version, value, false, now, &out)
	c.startDue(now, &out)
	return out, err
}

// handleObject decodes and applies an object unless a later version is known.
// read is true if the object was read from the platform since this process
// started.
func (c *Core) handleObject(s *service, version uint64, value []byte, read bool, now ClockReading, out *Output) error {
	if version == 0 {
		s.objectMissing = s.view.Load() != nil
		return nil
	}
	s.objectMissing = false
	if version < s.version() {
		return nil
	}
	a, err := assignment.Decode(value)
	if err != nil {
		return err
	}
	c.applyObject(s, a, version, read, now, out)
	return nil
}

// requestRead requests a read of a service's object.
func (c *Core) requestRead(id string, now ClockReading) {
	if s := (*c.services.Load())[id]; s != nil {
		s.read.requested = true
	}
}

// sendObject sends the last known object of a service to a node.
func (c *Core) sendObject(s *service, to string, out *Output) {
	v := s.view.Load()
	value, err := v.Encode()
	if err != nil {
		return
	}
	out.send(to, &message.Assigned{Service: s.id, Version: v.version, Value: value})
}

// issueReads adds the reads that are due to the output.
func (c *Core) issueReads(now ClockReading, out *Output) {
	services := *c.services.Load()
	for _, id := range c.serviceIDs {
		r := &services[id].read
		if !r.requested || r.inFlight || now.Monotonic < r.notBefore {
			continue
		}
		r.requested = false
		r.inFlight = true
		r.notBefore = now.Monotonic + c.timing.HeartbeatInterval()
		out.Reads = append(out.Reads, id)
	}
}

// startWrite adds a conditional write of the service's object to the output.
func (c *Core) startWrite(s *service, a *assignment.Assignment, now ClockReading, out *Output) {
	value, err := a.Encode()
	if err != nil {
		return
	}
	version := s.version()
	if s.objectMissing {
		version = 0
	}
	s.pendingWrite = &pendingWrite{id: c.nextID(), version: s.version(), value: a}
	s.nextWrite = now.Monotonic + minBackoff
	out.Writes = append(out.Writes, ConditionalWrite{
		ID:        s.pendingWrite.id,
		Service:   s.id,
		Key:       assignment.Key(s.id),
		Value:     value,
		IfVersion: version,
	})
}
