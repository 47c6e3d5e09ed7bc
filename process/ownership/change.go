package ownership

import (
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/message"
)

const (
	// minBackoff and lastBackoff bound the wait after a failed call of the
	// platform. It doubles with each failure and is spread by a random share.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 20 * time.Second
	// maxConflictWait bounds the random wait after a conflict.
	maxConflictWait = 100 * time.Millisecond
	// maxDirectUpdates is the most nodes that are told of a change directly.
	maxDirectUpdates = 16
)

// pendingWrite is a conditional write that is under way.
type pendingWrite struct {
	id      uint64
	version uint64
	value   *assignment.Assignment
}

// pendingRead tells of the reading of one object.
type pendingRead struct {
	requested bool
	inFlight  bool
	notBefore time.Duration
}

// platformState tells how calls of the platform went.
type platformState struct {
	failures int
}

// WriteOutcome tells how a conditional write ended.
type WriteOutcome uint8

// Outcomes of a conditional write.
const (
	// Written means that the object was written.
	Written WriteOutcome = iota + 1
	// Conflict means that the object had another version. The write won't land.
	Conflict
	// Failed means that the write surely had no effect.
	Failed
	// Uncertain means that the write may have landed, or may land yet.
	Uncertain
)

// String returns the outcome's name for metrics.
func (o WriteOutcome) String() string {
	names := [...]string{"none", "written", "conflict", "failed", "uncertain"}
	if int(o) < len(names) {
		return names[o]
	}
	return "invalid"
}

// WriteResult is the end of a proposal.
type WriteResult struct {
	// ID is the proposal's, Service its service.
	ID      uint64
	Service string
	// Outcome tells how it ended.
	Outcome WriteOutcome
	// Version is the object's version after Written or Conflict; 0 means that
	// there is no object.
	Version uint64
	// Value is the object's content after Conflict.
	Value []byte
}

// HandleWriteResult takes in the end of a proposal.
func (c *Core) HandleWriteResult(end WriteResult, now Clock) (Output, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out Output
	s := (*c.services.Load())[end.Service]
	if s == nil {
		return out, nil
	}
	mine := s.pendingWrite
	if mine != nil && mine.id == end.ID {
		s.pendingWrite = nil
	}
	var err error
	switch end.Outcome {
	case Written:
		c.handleWritten(s, mine, end, now, &out)
	case Conflict:
		s.nextWrite = now.Mono + c.jitter(maxConflictWait)
		err = c.handleObject(s, end.Version, end.Value, false, now, &out)
	case Failed:
		c.recordPlatformFailure(s, now)
	case Uncertain:
		c.handleUncertainWrite(s, mine, now)
	}
	c.startDue(now, &out)
	return out, err
}

// handleWritten takes in that this node's write succeeded.
func (c *Core) handleWritten(s *service, mine *pendingWrite, end WriteResult, now Clock, out *Output) {
	c.platform.failures = 0
	if mine == nil || mine.id != end.ID {
		c.requestRead(s.id, now)
		return
	}
	s.nextWrite = now.Mono
	c.applyObject(s, mine.value, end.Version, false, now, out)
	told := 0
	for _, candidate := range assignment.Rank(s.id, 0, c.candidates(s.id)) {
		if candidate.Node != c.node && told < maxDirectUpdates {
			c.sendObject(s, candidate.Node, out)
			told++
		}
	}
}

// handleUncertainWrite remembers that a write may land later.
func (c *Core) handleUncertainWrite(s *service, mine *pendingWrite, now Clock) {
	c.recordPlatformFailure(s, now)
	c.requestRead(s.id, now)
	if mine == nil {
		return
	}
	for _, p := range s.allPartitions() {
		p.mu.Lock()
		if p.outgoing != nil && p.outgoing.phase == phaseWriting {
			p.outgoing.uncertainVersion = mine.version
		}
		p.mu.Unlock()
	}
}

func (c *Core) recordPlatformFailure(s *service, now Clock) {
	c.platform.failures++
	s.nextWrite = now.Mono + c.backoff()
}

// backoff returns the wait before the next call of the platform.
func (c *Core) backoff() time.Duration {
	wait := minBackoff << min(c.platform.failures, 10)
	wait = min(wait, maxBackoff)
	return wait/2 + c.jitter(wait)
}

// HandleReadResult takes in an object that Output.Reads asked for, as it was at some moment
// after that. A failed read has
// failed set; a missing object has version 0.
func (c *Core) HandleReadResult(service string, version uint64, value []byte, failed bool, now Clock) (Output, error) {
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
		s.read.notBefore = now.Mono + c.backoff()
		return out, nil
	}
	c.platform.failures = 0
	err := c.handleObject(s, version, value, true, now, &out)
	c.startDue(now, &out)
	return out, err
}

// Observe takes in an object from a watch, or from a peer.
func (c *Core) Observe(service string, version uint64, value []byte, now Clock) (Output, error) {
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

// handleObject takes in an object's content.
func (c *Core) handleObject(s *service, version uint64, value []byte, read bool, now Clock, out *Output) error {
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

// requestRead asks for a read of a service's object.
func (c *Core) requestRead(id string, now Clock) {
	if s := (*c.services.Load())[id]; s != nil {
		s.read.requested = true
	}
}

// sendObject tells a node of the service's object.
func (c *Core) sendObject(s *service, to string, out *Output) {
	v := s.view.Load()
	value, err := v.Encode()
	if err != nil {
		return
	}
	out.send(to, &message.Assigned{Service: s.id, Version: v.version, Value: value})
}

// issueReads asks for the reads that are due.
func (c *Core) issueReads(now Clock, out *Output) {
	services := *c.services.Load()
	for _, id := range c.serviceIDs {
		r := &services[id].read
		if !r.requested || r.inFlight || now.Mono < r.notBefore {
			continue
		}
		r.requested = false
		r.inFlight = true
		r.notBefore = now.Mono + c.timing.BeatPeriod()
		out.Reads = append(out.Reads, id)
	}
}

// startWrite starts a conditional write of the service's object.
func (c *Core) startWrite(s *service, a *assignment.Assignment, now Clock, out *Output) {
	value, err := a.Encode()
	if err != nil {
		return
	}
	version := s.version()
	if s.objectMissing {
		version = 0
	}
	s.pendingWrite = &pendingWrite{id: c.nextID(), version: s.version(), value: a}
	s.nextWrite = now.Mono + minBackoff
	out.Writes = append(out.Writes, ConditionalWrite{
		ID:        s.pendingWrite.id,
		Service:   s.id,
		Key:       assignment.Key(s.id),
		Value:     value,
		IfVersion: version,
	})
}
