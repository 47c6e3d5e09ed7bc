package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"verbenatrestle/connection/wire"
	"verbenatrestle/internal/wait"
	"verbenatrestle/process/gate"
	"verbenatrestle/request"
	"verbenatrestle/request/quarantine"
)

// kindCrashRecords is the wire kind of a quarantine.Message.
const kindCrashRecords wire.Kind = 62

const (
	// crashFanout is how many random peers each node forwards new records to. With
	// six, all but 3 in 1,000 nodes of a large fleet receive a record; the others get it
	// by a repair.
	crashFanout = 6
	// crashFlushInterval is the interval of forwarding. Records that arrive meanwhile
	// share datagrams.
	crashFlushInterval = 50 * time.Millisecond
	// maxCrashParts bounds the datagrams to one peer per interval. What is left waits
	// for the next one.
	maxCrashParts = 4
	// maxWaitingCompletions bounds the completions that wait to be forwarded. Beyond it
	// the oldest are left to the repairs.
	maxWaitingCompletions = 512
	// crashRepairInterval is the interval at which a node sends some of its records to
	// one random peer, which may have missed them.
	crashRepairInterval = time.Second
	// crashStartSenders is how many peers, on average, send their records to a node
	// that has started. Each sends at most maxStartCrashParts datagrams with the latest
	// crashes and maxStartCompletionParts with the latest completions.
	crashStartSenders       = 3
	maxStartCrashParts      = 32
	maxStartCompletionParts = 8
)

// crashExchange exchanges the records of crashes and of completed suspects with the
// other nodes. It is safe for concurrent use.
type crashExchange struct {
	node  *Node
	table *quarantine.Table

	mu sync.Mutex
	// waiting holds the records to forward at the next interval.
	waiting quarantine.Message

	// checkedGeneration is the generation of the table, and checked the records to be
	// stored, at the latest checkStored. Only run uses them.
	checkedGeneration uint64
	checked           []crashRecord
}

func newCrashExchange(n *Node) *crashExchange {
	return &crashExchange{node: n, table: quarantine.New(quarantine.DefaultSettings)}
}

// recordCrash records a crash of the local target. It ignores nil.
func (c *crashExchange) recordCrash(crash *gate.Crash) {
	if crash == nil {
		return
	}
	if len(crash.InFlight) == 0 {
		c.node.events.targetCrashed(crash, c.table)
		return
	}
	c.forward(c.table.RecordCrash(crash.ID(c.node.settings().Name), crash.InFlight, time.Now()))
	c.node.events.targetCrashed(crash, c.table)
}

// recordCompletion records that an instance of the local target ran a request to its end.
// Only a successful response shows that: a target may fail a request that it did not run.
func (c *crashExchange) recordCompletion(req *gate.Request, instance string) {
	completion := c.table.RecordCompletion(req.Fingerprint, req.Suspect, time.Now())
	if !completion.Empty() {
		c.node.events.suspicionLifted(req, instance)
	}
	c.forward(completion)
}

// merge adds the records of a peer and forwards those that were new.
func (c *crashExchange) merge(m quarantine.Message) {
	if c.table.Merge(m, time.Now()) {
		c.forward(m)
	}
}

// forward queues records for the next interval.
func (c *crashExchange) forward(m quarantine.Message) {
	if m.Empty() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting.Crashes = append(c.waiting.Crashes, m.Crashes...)
	c.waiting.Completions = append(c.waiting.Completions, m.Completions...)
	excess := len(c.waiting.Completions) - maxWaitingCompletions
	c.waiting.Completions = c.waiting.Completions[max(0, excess):]
}

// take returns the parts to forward now and keeps the rest waiting.
func (c *crashExchange) take() []quarantine.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting.Empty() {
		return nil
	}
	parts := c.waiting.Split()
	c.waiting = quarantine.Message{}
	for _, part := range parts[min(len(parts), maxCrashParts):] {
		c.waiting.Crashes = append(c.waiting.Crashes, part.Crashes...)
		c.waiting.Completions = append(c.waiting.Completions, part.Completions...)
	}
	return parts[:min(len(parts), maxCrashParts)]
}

// run forwards, repairs and stores records until the context ends.
func (c *crashExchange) run(ctx context.Context) {
	repairAt := time.Now()
	for wait.For(ctx, crashFlushInterval) {
		if parts := c.take(); len(parts) > 0 {
			c.send(parts, crashFanout)
		}
		c.checkStored()
		if now := time.Now(); now.After(repairAt) {
			repairAt = now.Add(crashRepairInterval)
			c.repair()
		}
	}
}

// repair sends one random part of the crashes, and one of the completions, to one random
// peer.
func (c *crashExchange) repair() {
	var chosen []quarantine.Message
	crashes, completions := splitByKind(c.table.Export())
	for _, parts := range [][]quarantine.Message{crashes, completions} {
		if len(parts) > 0 {
			chosen = append(chosen, parts[rand.IntN(len(parts))])
		}
	}
	if len(chosen) > 0 {
		c.send(chosen, 1)
	}
}

// splitByKind returns the parts of a message with crashes and those with completions.
func splitByKind(m quarantine.Message) (crashes, completions []quarantine.Message) {
	return quarantine.Message{Crashes: m.Crashes}.Split(), quarantine.Message{Completions: m.Completions}.Split()
}

// send sends parts to some random peers.
func (c *crashExchange) send(parts []quarantine.Message, peers int) {
	rng := c.node.rngs.Get().(*rand.Rand)
	defer c.node.rngs.Put(rng)
	for _, address := range c.node.fleet.RandomPeers(peers, rng, time.Now()) {
		c.sendTo(address, parts)
	}
}

// sendTo sends parts to one address, a datagram each.
func (c *crashExchange) sendTo(address string, parts []quarantine.Message) {
	for i := range parts {
		c.node.peers.write(address, &parts[i])
	}
}

// welcome sends the records to a node that has started, unless enough other nodes
// probably do.
func (c *crashExchange) welcome(address string) {
	records := c.table.Export()
	peers := c.node.fleet.NodeCount(time.Now())
	if records.Empty() || rand.Float64()*float64(peers) >= crashStartSenders {
		return
	}
	c.sendTo(address, startParts(records))
}

// startParts returns the parts of all records that a node gets that has started. Records
// are ordered by time.
func startParts(records quarantine.Message) []quarantine.Message {
	crashes, completions := splitByKind(records)
	crashes = crashes[max(0, len(crashes)-maxStartCrashParts):]
	completions = completions[max(0, len(completions)-maxStartCompletionParts):]
	return slices.Concat(crashes, completions)
}

// quarantined returns the failure of a request that targets crashed under, or nil.
func (c *crashExchange) quarantined(id string, f request.Fingerprint) *request.Failure {
	verdict, remaining := c.table.Check(f, time.Now())
	if verdict != quarantine.Quarantined {
		return nil
	}
	c.node.events.requestQuarantined(id, c.node.settings().Service, f, remaining)
	return quarantinedFailure(remaining)
}

// isSuspect reports whether a target crashed while it ran the request.
func (c *crashExchange) isSuspect(f request.Fingerprint) bool {
	verdict, _ := c.table.Check(f, time.Now())
	return verdict == quarantine.Suspect
}

// admit applies the verdict on a request that is to be sent to the local target: it
// refuses a quarantined one and marks a suspect.
func (c *crashExchange) admit(req *targetRequest) (gate.Refusal, time.Duration) {
	verdict, remaining := c.table.Check(req.admission.Fingerprint, time.Now())
	switch verdict {
	case quarantine.Quarantined:
		return gate.RefusedQuarantined, remaining
	case quarantine.Suspect:
		req.admission.Suspect = true
	}
	return "", 0
}
