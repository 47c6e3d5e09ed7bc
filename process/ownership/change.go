package ownership

import (
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/message"
)

const (
	// firstBackoff and lastBackoff bound the wait after a failed call of the
	// platform. It doubles with each failure and is spread by a random share.
	firstBackoff = 500 * time.Millisecond
	lastBackoff  = 20 * time.Second
	// conflictWait bounds the random wait after a conflict.
	conflictWait = 100 * time.Millisecond
	// spreadLimit is the most nodes that are told of a change directly.
	spreadLimit = 16
)

// change is a conditional write that is under way.
type change struct {
	id      uint64
	version uint64
	value   *assignment.Assignment
}

// readState tells of the reading of one object.
type readState struct {
	wanted   bool
	underWay bool
	next     time.Duration
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
func (c *Core) HandleWriteResult(end WriteResult, now ClockReading) (Output, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out Output
	s := (*c.services.Load())[end.Service]
	if s == nil {
		return out, nil
	}
	mine := s.change
	if mine != nil && mine.id == end.ID {
		s.change = nil
	}
	var err error
	switch end.Outcome {
	case Written:
		c.written(s, mine, end, now, &out)
	case Conflict:
		s.nextChange = now.Monotonic + c.jitter(conflictWait)
		err = c.learn(s, end.Version, end.Value, false, now, &out)
	case Failed:
		c.platformFailed(s, now)
	case Uncertain:
		c.uncertain(s, mine, now)
	}
	c.flush(now, &out)
	return out, err
}

// written takes in that this node's write succeeded.
func (c *Core) written(s *service, mine *change, end WriteResult, now ClockReading, out *Output) {
	c.platform.failures = 0
	if mine == nil || mine.id != end.ID {
		c.wantRead(s.id, now)
		return
	}
	s.nextChange = now.Monotonic
	c.observe(s, mine.value, end.Version, false, now, out)
	told := 0
	for _, candidate := range assignment.Rank(s.id, 0, c.candidates(s.id)) {
		if candidate.Node != c.node && told < spreadLimit {
			c.spread(s, candidate.Node, out)
			told++
		}
	}
}

// uncertain remembers that a write may land later.
func (c *Core) uncertain(s *service, mine *change, now ClockReading) {
	c.platformFailed(s, now)
	c.wantRead(s.id, now)
	if mine == nil {
		return
	}
	for _, p := range s.list() {
		p.mu.Lock()
		if p.outgoing != nil && p.outgoing.phase == writing {
			p.outgoing.conditional = mine.version
		}
		p.mu.Unlock()
	}
}

func (c *Core) platformFailed(s *service, now ClockReading) {
	c.platform.failures++
	s.nextChange = now.Monotonic + c.backoff()
}

// backoff returns the wait before the next call of the platform.
func (c *Core) backoff() time.Duration {
	wait := firstBackoff << min(c.platform.failures, 10)
	wait = min(wait, lastBackoff)
	return wait/2 + c.jitter(wait)
}

// HandleReadResult takes in an object that Output.Reads asked for, as it was at some moment
// after that. A failed read has
// failed set; a missing object has version 0.
func (c *Core) HandleReadResult(service string, version uint64, value []byte, failed bool, now ClockReading) (Output, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out Output
	s := (*c.services.Load())[service]
	if s == nil {
		return out, nil
	}
	s.read.underWay = false
	if failed {
		c.platform.failures++
		s.read.wanted = true
		s.read.next = now.Monotonic + c.backoff()
		return out, nil
	}
	c.platform.failures = 0
	err := c.learn(s, version, value, true, now, &out)
	c.flush(now, &out)
	return out, err
}

// Observe takes in an object from a watch, or from a peer.
func (c *Core) Observe(service string, version uint64, value []byte, now ClockReading) (Output, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out Output
	s := (*c.services.Load())[service]
	if s == nil {
		return out, nil
	}
	err := c.learn(s, version, value, false, now, &out)
	c.flush(now, &out)
	return out, err
}

// learn takes in an object's content.
func (c *Core) learn(s *service, version uint64, value []byte, read bool, now ClockReading, out *Output) error {
	if version == 0 {
		s.gone = s.view.Load() != nil
		return nil
	}
	s.gone = false
	if version < s.version() {
		return nil
	}
	a, err := assignment.Decode(value)
	if err != nil {
		return err
	}
	c.observe(s, a, version, read, now, out)
	return nil
}

// wantRead asks for a read of a service's object.
func (c *Core) wantRead(id string, now ClockReading) {
	if s := (*c.services.Load())[id]; s != nil {
		s.read.wanted = true
	}
}

// spread tells a node of the service's object.
func (c *Core) spread(s *service, to string, out *Output) {
	v := s.view.Load()
	value, err := v.Encode()
	if err != nil {
		return
	}
	out.send(to, &message.Assigned{Service: s.id, Version: v.version, Value: value})
}

// startReads asks for the reads that are due.
func (c *Core) startReads(now ClockReading, out *Output) {
	services := *c.services.Load()
	for _, id := range c.order {
		r := &services[id].read
		if !r.wanted || r.underWay || now.Monotonic < r.next {
			continue
		}
		r.wanted = false
		r.underWay = true
		r.next = now.Monotonic + c.timing.HeartbeatInterval()
		out.Reads = append(out.Reads, id)
	}
}

// propose starts a conditional write of the service's object.
func (c *Core) propose(s *service, a *assignment.Assignment, now ClockReading, out *Output) {
	value, err := a.Encode()
	if err != nil {
		return
	}
	version := s.version()
	if s.gone {
		version = 0
	}
	s.change = &change{id: c.next(), version: s.version(), value: a}
	s.nextChange = now.Monotonic + firstBackoff
	out.Writes = append(out.Writes, ConditionalWrite{
		ID:        s.change.id,
		Service:   s.id,
		Key:       assignment.Key(s.id),
		Value:     value,
		IfVersion: version,
	})
}
