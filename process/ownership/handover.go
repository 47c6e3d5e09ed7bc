package ownership

import (
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/claim"
	"verbenatrestle/process/ownership/fence"
	"verbenatrestle/process/ownership/message"
)

const (
	// chunkRecords and chunkBytes bound a chunk of claims. A single claim may
	// be larger than chunkBytes.
	chunkRecords = 256
	chunkBytes   = 64 << 10
	// recordOverhead is the size of a record apart from key and answer.
	recordOverhead = 32
	// resendAfter is the time without a reply after which a part of a handover
	// is sent again.
	resendAfter = 200 * time.Millisecond
)

// phase tells how far a handover has come.
type phase uint8

const (
	sending phase = iota + 1 // claims are being sent
	writing                  // the successor has all claims; the object is to be written
)

// outgoing is the transfer of a partition to its successor. It is guarded by
// Core.mu; its claims don't change.
type outgoing struct {
	to          string
	incarnation uint64
	transfer    uint64
	phase       phase
	entries     []claim.Entry
	chunk       *message.Chunk
	// sent and heard are when the last chunk was sent and the last reply came.
	sent, heard time.Duration
	// conditional is the version on which a write of this handover depended
	// whose end is unknown; it may land as long as the object has that version.
	conditional uint64
}

// tail forwards the ends of runs to the successor.
type tail struct {
	to       string
	transfer uint64
	// results are the ends that the successor hasn't confirmed, fresh the keys
	// of those that were never sent, sent when all were sent again.
	results map[string]message.Result
	fresh   []string
	sent    time.Duration
}

func (t *tail) add(entry claim.Entry, aborted bool) {
	t.results[entry.Key] = message.Result{Transfer: t.transfer, Aborted: aborted, Record: recordOf(entry)}
	t.fresh = append(t.fresh, entry.Key)
}

// sendTail sends the ends of runs that the successor hasn't confirmed, or only
// the fresh ones. It waits until the successor has all claims. The caller holds
// p.mu.
func (p *partition) sendTail(s *service, fresh bool, out *Output) {
	if p.tail == nil || p.outgoing != nil && p.outgoing.phase == sending {
		return
	}
	keys := p.tail.fresh
	if !fresh {
		keys = sortedKeys(p.tail.results)
	}
	p.tail.fresh = nil
	for _, key := range keys {
		result, ok := p.tail.results[key]
		if !ok {
			continue
		}
		result.Service = s.id
		result.Partition = p.number
		out.send(p.tail.to, &result)
	}
}

// handOver starts the transfer of a partition. From here on this process takes
// on nothing more, so the claims that it sends are complete.
func (c *Core) handOver(s *service, move assignment.Move, now ClockReading, out *Output) {
	p := s.list()[move.Partition]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tenure == 0 || p.outgoing != nil || !p.begun {
		return
	}
	p.expire(now.Wall)
	p.stopped = true
	p.successor = move.To.Node
	p.outgoing = &outgoing{
		to:          move.To.Node,
		incarnation: move.To.Incarnation,
		transfer:    c.next(),
		phase:       sending,
		entries:     p.table.Entries(),
		heard:       now.Monotonic,
	}
	p.tail = &tail{to: move.To.Node, transfer: p.outgoing.transfer, results: make(map[string]message.Result)}
	c.sendChunk(s, p, 0, now, out)
}

// sendChunk sends the next claims. The caller holds p.mu.
func (c *Core) sendChunk(s *service, p *partition, index int, now ClockReading, out *Output) {
	o := p.outgoing
	count := 0
	bytes := 0
	var records []message.Record
	for count < len(o.entries) && count < chunkRecords && bytes < chunkBytes {
		record := recordOf(o.entries[count])
		bytes += recordSize(record)
		records = append(records, record)
		count++
	}
	o.entries = o.entries[count:]
	o.chunk = &message.Chunk{
		Service:           s.id,
		Partition:         p.number,
		Tenure:            p.tenure,
		Transfer:          o.transfer,
		Index:             index,
		Last:              len(o.entries) == 0,
		ToIncarnation:     o.incarnation,
		ResendWindow:      s.window(),
		FenceDatedUntil:   unixNano(p.fence.DatedUntil),
		FenceUndatedUntil: unixNano(p.fence.UndatedUntil),
		NextID:            p.table.NextID(),
		Records:           records,
	}
	o.sent = now.Monotonic
	out.send(o.to, o.chunk)
}

// handleChunkReply goes on with the transfer.
func (c *Core) handleChunkReply(from string, reply *message.ChunkReply, now ClockReading, out *Output) {
	s, p := c.partition(reply.Service, reply.Partition)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.outgoing
	if o == nil || o.phase != sending || o.to != from || o.transfer != reply.Transfer || o.chunk.Index != reply.Index {
		return
	}
	o.heard = now.Monotonic
	switch {
	case reply.Refused:
		c.resume(s, p, now)
	case o.chunk.Last:
		o.phase = writing
		s.review = true
	default:
		c.sendChunk(s, p, reply.Index+1, now, out)
	}
}

// resume ends a handover whose object was not written: this process takes on
// operations again. The caller holds p.mu.
func (c *Core) resume(s *service, p *partition, now ClockReading) {
	p.outgoing = nil
	p.tail = nil
	p.stopped = false
	p.successor = ""
	s.suspicions[p.number].noHandoverBefore = now.Monotonic + c.timing.LeaseTerm
}

// driveHandovers sends lost parts of handovers again, and ends those that
// don't come forward.
func (c *Core) driveHandovers(s *service, now ClockReading, out *Output) {
	for _, p := range s.list() {
		p.mu.Lock()
		c.driveHandover(s, p, now, out)
		p.mu.Unlock()
	}
}

func (c *Core) driveHandover(s *service, p *partition, now ClockReading, out *Output) {
	p.expire(now.Wall)
	c.watchSource(p)
	if p.tail != nil && now.Monotonic >= p.tail.sent+resendAfter {
		p.tail.sent = now.Monotonic
		p.sendTail(s, false, out)
	}
	o := p.outgoing
	if o == nil {
		return
	}
	if c.isStuck(s, o, now) && s.mayResume(o) {
		c.resume(s, p, now)
		return
	}
	if o.phase == sending && now.Monotonic >= o.sent+resendAfter {
		o.sent = now.Monotonic
		out.send(o.to, o.chunk)
	}
}

// isStuck reports whether a handover doesn't come forward.
func (c *Core) isStuck(s *service, o *outgoing, now ClockReading) bool {
	return !c.successorLives(o) || now.Monotonic > o.heard+c.timing.LeaseTerm
}

// mayResume reports whether no write that names the successor can still land.
func (s *service) mayResume(o *outgoing) bool {
	if s.change != nil {
		return false
	}
	return o.conditional == 0 || s.version() > o.conditional
}

func (c *Core) successorLives(o *outgoing) bool {
	m, ok := c.members[o.to]
	return ok && m.Alive && m.Incarnation == o.incarnation
}

// handleResultReply ends the forwarding of one run's end.
func (c *Core) handleResultReply(from string, reply *message.ResultReply) {
	_, p := c.partition(reply.Service, reply.Partition)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tail == nil || p.tail.to != from || p.tail.results[reply.Key].Record.ID != reply.ID {
		return
	}
	delete(p.tail.results, reply.Key)
}

// partition returns a partition of a service, or nil.
func (c *Core) partition(id string, number int) (*service, *partition) {
	s := (*c.services.Load())[id]
	if s == nil {
		return nil, nil
	}
	list := s.list()
	if number < 0 || number >= len(list) {
		return s, nil
	}
	return s, list[number]
}

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

func recordSize(record message.Record) int {
	answer := claim.Answer{Header: record.Header, Body: record.Body}
	return recordOverhead + len(record.Key) + answer.Size()
}

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

// timeOf is the reverse of unixNano.
func timeOf(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}
