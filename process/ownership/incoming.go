package ownership

import (
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/claim"
	"verbenatrestle/process/ownership/fence"
	"verbenatrestle/process/ownership/internal/rule"
	"verbenatrestle/process/ownership/message"
)

// incoming is a transfer that arrives. Its claims are kept apart until the
// object names this transfer, since the sender may take it back until then.
type incoming struct {
	from     string
	tenure   uint64
	transfer uint64
	next     int
	complete bool
	table    *claim.Table
	fence    fence.Fence
	window   time.Duration
	received time.Time
}

// handleChunk takes in a part of a transfer.
func (c *Core) handleChunk(from string, chunk *message.Chunk, now ClockReading, out *Output) {
	reply := &message.ChunkReply{
		Service:   chunk.Service,
		Partition: chunk.Partition,
		Transfer:  chunk.Transfer,
		Index:     chunk.Index,
	}
	_, p := c.partition(chunk.Service, chunk.Partition)
	if p == nil || c.leaving || chunk.ToIncarnation != c.incarnation {
		reply.Refused = true
		out.send(from, reply)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if chunk.Index == 0 && (p.incoming == nil || p.incoming.transfer != chunk.Transfer) {
		p.incoming = &incoming{
			from:     from,
			tenure:   chunk.Tenure,
			transfer: chunk.Transfer,
			table:    claim.NewTable(c.limits, c.incarnation),
		}
	}
	if p.incoming == nil || p.incoming.transfer != chunk.Transfer || p.incoming.from != from {
		reply.Refused = true
	} else {
		reply.Refused = !p.incoming.take(chunk, now)
	}
	out.send(from, reply)
}

// take takes in one chunk. It reports false if the transfer can't go on.
func (in *incoming) take(chunk *message.Chunk, now ClockReading) bool {
	if chunk.Index < in.next {
		return true
	}
	if chunk.Index > in.next {
		return false
	}
	for _, record := range chunk.Records {
		if in.table.Full() {
			return false
		}
		in.table.Import(entryOf(record))
	}
	in.table.RaiseNextID(chunk.NextID)
	in.fence = fenceOf(chunk)
	in.window = chunk.ResendWindow
	in.received = now.Wall
	in.complete = chunk.Last
	in.next++
	return true
}

// adopt takes over the claims of the transfer that the object names, with the
// predecessor's fence, and reports true. Without one the fence of a takeover
// applies. The caller holds p.mu.
func (p *partition) adopt(named *assignment.Handover, without rule.Set) bool {
	in := p.incoming
	if in == nil {
		return false
	}
	matches := named != nil && in.complete && in.transfer == named.Transfer && in.from == named.From
	if without.Has(rule.HandoverMatch) {
		matches = true
	}
	if !matches {
		return false
	}
	p.incoming = nil
	for _, entry := range in.table.Entries() {
		p.table.Import(entry)
	}
	p.table.RaiseNextID(in.table.NextID())
	p.inherited = true
	p.fence = in.fence
	if without.Has(rule.HandoverFence) {
		p.fence = fence.Fence{}
		return named != nil
	}
	// The predecessor forgot claims of keys older than its resend window.
	p.fenceBefore(in.received.Add(-in.window))
	return named != nil
}

// watchSource gives up the ends of runs at a former owner that is gone. The
// caller holds p.mu.
func (c *Core) watchSource(p *partition) {
	if p.source == "" {
		return
	}
	m := c.members[p.source]
	if m.Alive && m.Incarnation == p.sourceLife {
		return
	}
	p.source = ""
	p.table.MarkImportedUnknown()
}

// dropStale forgets a transfer that the object can't name any more. The caller
// holds p.mu.
func (p *partition) dropStale(tenure uint64) {
	if p.incoming != nil && p.incoming.tenure < tenure {
		p.incoming = nil
	}
}

// handleResult takes in the end of a run that was going on at the handover.
// It is confirmed only when all claims are here, else it could get lost.
func (c *Core) handleResult(from string, result *message.Result, out *Output) {
	s, p := c.partition(result.Service, result.Partition)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := entryOf(result.Record)
	if in := p.incoming; in != nil && in.transfer == result.Transfer {
		if !in.complete {
			return
		}
		apply(in.table, entry, result.Aborted)
	} else if result.Aborted {
		p.abort(entry.Key, entry.ID)
		p.sendTail(s, true, out)
	} else {
		p.finish(entry.Key, entry.ID, entry.State, entry.Answer)
		p.sendTail(s, true, out)
	}
	out.send(from, &message.ResultReply{
		Service:   result.Service,
		Partition: result.Partition,
		Key:       entry.Key,
		ID:        entry.ID,
	})
}

// apply ends a run in a table.
func apply(table *claim.Table, entry claim.Entry, aborted bool) {
	if aborted {
		table.Abort(entry.Key, entry.ID)
		return
	}
	table.Finish(entry.Key, entry.ID, entry.State, entry.Answer)
}
