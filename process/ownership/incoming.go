package ownership

import (
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/claim"
	"verbenatrestle/process/ownership/fence"
	"verbenatrestle/process/ownership/internal/rule"
	"verbenatrestle/process/ownership/message"
)

// incomingTransfer is a transfer that this process is receiving. Its claims are
// kept apart until the ownership object names this transfer, since the sender
// may cancel it until then.
type incomingTransfer struct {
	from     string
	tenure   uint64
	transfer uint64
	// nextIndex is the index of the next chunk.
	nextIndex int
	// complete is true once the last chunk has arrived.
	complete bool
	table    *claim.Table
	// fence and window are the fence and the resend window of the sender.
	fence  fence.Fence
	window time.Duration
	// lastReceived is the wall-clock time at which the latest chunk arrived.
	lastReceived time.Time
}

// handleChunk adds a chunk to an incoming transfer and replies to the sender.
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
		p.incoming = &incomingTransfer{
			from:     from,
			tenure:   chunk.Tenure,
			transfer: chunk.Transfer,
			table:    claim.NewTable(c.limits, c.incarnation),
		}
	}
	if p.incoming == nil || p.incoming.transfer != chunk.Transfer || p.incoming.from != from {
		reply.Refused = true
	} else {
		reply.Refused = !p.incoming.addChunk(chunk, now)
	}
	out.send(from, reply)
}

// addChunk adds the claims of a chunk. Chunks received before are ignored. It
// returns false if the transfer must be refused, because a chunk is missing or
// the claim table is full.
func (in *incomingTransfer) addChunk(chunk *message.Chunk, now ClockReading) bool {
	if chunk.Index < in.nextIndex {
		return true
	}
	if chunk.Index > in.nextIndex {
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
	in.lastReceived = now.Wall
	in.complete = chunk.Last
	in.nextIndex++
	return true
}

// importTransfer imports the claims and the predecessor's fence from the
// transfer that the ownership object names. It returns false if no such transfer
// has been received completely; then the fence of a takeover applies. The caller
// holds p.mu.
func (p *partition) importTransfer(named *assignment.Handover, disabled rule.Set) bool {
	in := p.incoming
	if in == nil {
		return false
	}
	matches := named != nil && in.complete && in.transfer == named.Transfer && in.from == named.From
	if disabled.Has(rule.HandoverMatch) {
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
	p.fenceInherited = true
	p.fence = in.fence
	if disabled.Has(rule.HandoverFence) {
		p.fence = fence.Fence{}
		return named != nil
	}
	// The predecessor has expired claims of keys older than its resend window.
	p.fenceKeysBefore(in.lastReceived.Add(-in.window))
	return named != nil
}

// checkPredecessor marks the outcomes of runs at the predecessor as unknown when
// that process is no longer alive, since it can't send them any more. The caller
// holds p.mu.
func (c *Core) checkPredecessor(p *partition) {
	if p.predecessor == "" {
		return
	}
	m := c.members[p.predecessor]
	if m.Alive && m.Incarnation == p.predecessorIncarnation {
		return
	}
	p.predecessor = ""
	p.table.MarkImportedUnknown()
}

// dropStaleTransfer drops an incoming transfer of an earlier tenure, which the
// object can't name any more. The caller holds p.mu.
func (p *partition) dropStaleTransfer(tenure uint64) {
	if p.incoming != nil && p.incoming.tenure < tenure {
		p.incoming = nil
	}
}

// handleResult records the result of a run that was in progress at the handover
// and confirms it. While claims of the transfer are missing it is not confirmed,
// so that the sender keeps it.
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
		applyResult(in.table, entry, result.Aborted)
	} else if result.Aborted {
		p.abortRun(entry.Key, entry.ID)
		p.forwardResults(s, true, out)
	} else {
		p.finishRun(entry.Key, entry.ID, entry.State, entry.Answer)
		p.forwardResults(s, true, out)
	}
	out.send(from, &message.ResultReply{
		Service:   result.Service,
		Partition: result.Partition,
		Key:       entry.Key,
		ID:        entry.ID,
	})
}

// applyResult records the result of a run in a table.
func applyResult(table *claim.Table, entry claim.Entry, aborted bool) {
	if aborted {
		table.Abort(entry.Key, entry.ID)
		return
	}
	table.Finish(entry.Key, entry.ID, entry.State, entry.Answer)
}
