package ownership

import (
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/claim"
	"verbenatrestle/process/ownership/fence"
	"verbenatrestle/process/ownership/message"
)

const (
	// maxChunkRecords and maxChunkBytes bound a chunk of claims. A chunk is
	// larger than maxChunkBytes by at most one claim.
	maxChunkRecords = 256
	maxChunkBytes   = 64 << 10
	// recordOverhead is the approximate size of an encoded record without its
	// key and answer, in bytes.
	recordOverhead = 32
	// retransmitAfter is the time after which a message of a handover is sent
	// again if there was no reply.
	retransmitAfter = 200 * time.Millisecond
)

// handoverPhase is the phase of a handover.
type handoverPhase uint8

const (
	phaseSending handoverPhase = iota + 1 // claims are being sent
	phaseWriting                          // the successor has all claims; the object has to be written
)

// outgoingTransfer is the transfer of a partition's claims to its successor. It
// is guarded by Core.mu. The claims don't change during the transfer.
type outgoingTransfer struct {
	to          string
	incarnation uint64
	transfer    uint64
	phase       handoverPhase
	// entries are the claims that have not been sent yet.
	entries   []claim.Entry
	lastChunk *message.Chunk
	// lastSent is when the last chunk was sent, and lastReply when the last
	// reply arrived.
	lastSent, lastReply time.Duration
	// uncertainVersion is set if a write of this handover has an uncertain
	// outcome. The write can still take effect while the object has this
	// version.
	uncertainVersion uint64
}

// resultForwarder forwards the results of runs to the successor.
type resultForwarder struct {
	to       string
	transfer uint64
	// unconfirmed holds the results that the successor has not confirmed, by
	// key. unsent lists the keys of those that have never been sent. lastSent is
	// when all unconfirmed results were last retransmitted.
	unconfirmed map[string]message.Result
	unsent      []string
	lastSent    time.Duration
}

// add queues the result of a run.
func (f *resultForwarder) add(entry claim.Entry, aborted bool) {
	f.unconfirmed[entry.Key] = message.Result{Transfer: f.transfer, Aborted: aborted, Record: recordOf(entry)}
	f.unsent = append(f.unsent, entry.Key)
}

// forwardResults sends the results of runs that the successor has not confirmed,
// or only those that have never been sent. It sends none before the successor
// has all claims. The caller holds p.mu.
func (p *partition) forwardResults(s *service, onlyUnsent bool, out *Output) {
	if p.forwarder == nil || p.outgoing != nil && p.outgoing.phase == phaseSending {
		return
	}
	keys := p.forwarder.unsent
	if !onlyUnsent {
		keys = sortedKeys(p.forwarder.unconfirmed)
	}
	p.forwarder.unsent = nil
	for _, key := range keys {
		result, ok := p.forwarder.unconfirmed[key]
		if !ok {
			continue
		}
		result.Service = s.id
		result.Partition = p.number
		out.send(p.forwarder.to, &result)
	}
}

// startHandover starts the transfer of a partition. From then on this process
// accepts no new operations for it, so the claims that it sends are complete.
func (c *Core) startHandover(s *service, move assignment.Move, now ClockReading, out *Output) {
	p := s.allPartitions()[move.Partition]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tenure == 0 || p.outgoing != nil || !p.begun {
		return
	}
	p.expireClaims(now.Wall)
	p.handingOver = true
	p.successor = move.To.Node
	p.outgoing = &outgoingTransfer{
		to:          move.To.Node,
		incarnation: move.To.Incarnation,
		transfer:    c.nextID(),
		phase:       phaseSending,
		entries:     p.table.Entries(),
		lastReply:   now.Monotonic,
	}
	p.forwarder = &resultForwarder{to: move.To.Node, transfer: p.outgoing.transfer, unconfirmed: make(map[string]message.Result)}
	c.sendChunk(s, p, 0, now, out)
}

// sendChunk sends the next chunk of claims. The caller holds p.mu.
func (c *Core) sendChunk(s *service, p *partition, index int, now ClockReading, out *Output) {
	o := p.outgoing
	count := 0
	bytes := 0
	var records []message.Record
	for count < len(o.entries) && count < maxChunkRecords && bytes < maxChunkBytes {
		record := recordOf(o.entries[count])
		bytes += recordSize(record)
		records = append(records, record)
		count++
	}
	o.entries = o.entries[count:]
	o.lastChunk = &message.Chunk{
		Service:           s.id,
		Partition:         p.number,
		Tenure:            p.tenure,
		Transfer:          o.transfer,
		Index:             index,
		Last:              len(o.entries) == 0,
		ToIncarnation:     o.incarnation,
		ResendWindow:      s.resendWindow(),
		FenceDatedUntil:   unixNano(p.fence.DatedUntil),
		FenceUndatedUntil: unixNano(p.fence.UndatedUntil),
		NextID:            p.table.NextID(),
		Records:           records,
	}
	o.lastSent = now.Monotonic
	out.send(o.to, o.lastChunk)
}

// handleChunkReply continues a transfer after a reply of the successor, or
// cancels it if the successor refused it.
func (c *Core) handleChunkReply(from string, reply *message.ChunkReply, now ClockReading, out *Output) {
	s, p := c.partition(reply.Service, reply.Partition)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.outgoing
	if o == nil || o.phase != phaseSending || o.to != from || o.transfer != reply.Transfer || o.lastChunk.Index != reply.Index {
		return
	}
	o.lastReply = now.Monotonic
	switch {
	case reply.Refused:
		c.cancelHandover(s, p, now)
	case o.lastChunk.Last:
		o.phase = phaseWriting
		s.needsReview = true
	default:
		c.sendChunk(s, p, reply.Index+1, now, out)
	}
}

// cancelHandover ends a handover whose object was not written. This process
// accepts operations again. The caller holds p.mu.
func (c *Core) cancelHandover(s *service, p *partition, now ClockReading) {
	p.outgoing = nil
	p.forwarder = nil
	p.handingOver = false
	p.successor = ""
	s.suspicions[p.number].noHandoverBefore = now.Monotonic + c.timing.LeaseTerm
}

// checkHandovers expires claims, marks runs at a dead predecessor as unknown,
// retransmits handover messages that got no reply, and cancels stalled handovers.
func (c *Core) checkHandovers(s *service, now ClockReading, out *Output) {
	for _, p := range s.allPartitions() {
		p.mu.Lock()
		c.checkHandover(s, p, now, out)
		p.mu.Unlock()
	}
}

// checkHandover does the work of checkHandovers for one partition. The caller
// holds p.mu.
func (c *Core) checkHandover(s *service, p *partition, now ClockReading, out *Output) {
	p.expireClaims(now.Wall)
	c.checkPredecessor(p)
	if p.forwarder != nil && now.Monotonic >= p.forwarder.lastSent+retransmitAfter {
		p.forwarder.lastSent = now.Monotonic
		p.forwardResults(s, false, out)
	}
	o := p.outgoing
	if o == nil {
		return
	}
	if c.isStalled(s, o, now) && s.mayCancel(o) {
		c.cancelHandover(s, p, now)
		return
	}
	if o.phase == phaseSending && now.Monotonic >= o.lastSent+retransmitAfter {
		o.lastSent = now.Monotonic
		out.send(o.to, o.lastChunk)
	}
}

// isStalled reports whether a handover makes no progress: its successor is dead
// or has not replied for a lease term.
func (c *Core) isStalled(s *service, o *outgoingTransfer, now ClockReading) bool {
	return !c.successorAlive(o) || now.Monotonic > o.lastReply+c.timing.LeaseTerm
}

// mayCancel reports whether no write that names the successor can still take
// effect.
func (s *service) mayCancel(o *outgoingTransfer) bool {
	if s.pendingWrite != nil {
		return false
	}
	return o.uncertainVersion == 0 || s.version() > o.uncertainVersion
}

// successorAlive reports whether the successor's process is still alive.
func (c *Core) successorAlive(o *outgoingTransfer) bool {
	m, ok := c.members[o.to]
	return ok && m.Alive && m.Incarnation == o.incarnation
}

// handleResultReply removes a result that the successor has confirmed.
func (c *Core) handleResultReply(from string, reply *message.ResultReply) {
	_, p := c.partition(reply.Service, reply.Partition)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.forwarder == nil || p.forwarder.to != from || p.forwarder.unconfirmed[reply.Key].Record.ID != reply.ID {
		return
	}
	delete(p.forwarder.unconfirmed, reply.Key)
}

// partition returns a service and one of its partitions. Each is nil if it is
// not known.
func (c *Core) partition(id string, number int) (*service, *partition) {
	s := (*c.services.Load())[id]
	if s == nil {
		return nil, nil
	}
	list := s.allPartitions()
	if number < 0 || number >= len(list) {
		return s, nil
	}
	return s, list[number]
}

// recordOf returns the message form of a claim.
func recordOf(entry claim.Entry) message.Record {
	record := message.Record{
		Key:     entry.Key,
		ID:      entry.ID,
		State:   uint8(entry.State),
		Expires: entry.Expires.UnixNano(),
	}
	if entry.Answer != nil {
		record.Status = entry.Answer.Status
		record.Header = entry.Answer.Header
		record.Body = entry.Answer.Body
	}
	return record
}

// entryOf is the inverse of recordOf.
func entryOf(record message.Record) claim.Entry {
	entry := claim.Entry{
		Key:     record.Key,
		ID:      record.ID,
		State:   claim.State(record.State),
		Expires: time.Unix(0, record.Expires),
	}
	if entry.State == claim.Answered {
		entry.Answer = &claim.Answer{Status: record.Status, Header: record.Header, Body: record.Body}
	}
	return entry
}

// recordSize returns the approximate size of an encoded record, in bytes.
func recordSize(record message.Record) int {
	answer := claim.Answer{Header: record.Header, Body: record.Body}
	return recordOverhead + len(record.Key) + answer.Size()
}

// fenceOf returns the sender's fence from a chunk.
func fenceOf(chunk *message.Chunk) fence.Fence {
	return fence.Fence{DatedUntil: timeOf(chunk.FenceDatedUntil), UndatedUntil: timeOf(chunk.FenceUndatedUntil)}
}

// unixNano returns a time in Unix nanoseconds, and 0 for the zero time.
func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// timeOf is the inverse of unixNano.
func timeOf(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}
