package ownership

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/connection/wire"
	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/claim"
	"verbenatrestle/process/ownership/internal/rule"
	"verbenatrestle/process/ownership/timing"
	"verbenatrestle/process/ownership/witness"
)

// Limits bounds the memory used by the claims of one partition.
type Limits = claim.Limits

// Defaults of Limits, per partition.
const (
	// DefaultMaxClaims is the maximum number of claims.
	DefaultMaxClaims = 1 << 16
	// DefaultMaxAnswerBytes is the maximum size of all kept answers, in bytes.
	DefaultMaxAnswerBytes = 4 << 20
)

// ConditionalWrite is a write of an ownership object that the caller of Core
// has to make.
type ConditionalWrite struct {
	// ID identifies the write in its WriteResult.
	ID uint64
	// Service is the service whose object is to be written.
	Service string
	// Key is the object's key, Value its new content.
	Key   string
	Value []byte
	// IfVersion is the version that the object must have. Zero means that the
	// object must not exist.
	IfVersion uint64
}

// Output is the I/O that the caller of a Core method has to do.
type Output struct {
	// Messages are to be sent. Some may be addressed to this node itself.
	Messages []wire.Envelope
	// Writes are conditional writes to be made. The caller passes the result of
	// each to HandleWriteResult.
	Writes []ConditionalWrite
	// Reads are the services whose objects are to be read. The read must return
	// the current object; a read that may be stale is not enough. The caller
	// passes each result to HandleReadResult.
	Reads []string
}

func (o *Output) send(to string, message any) {
	o.Messages = append(o.Messages, wire.Envelope{To: to, Message: message})
}

// CoreOptions configures a Core.
type CoreOptions struct {
	// Node is the name of this node.
	Node string
	// Incarnation identifies this run of the process. It must be higher than
	// the incarnations of all earlier processes of the node.
	Incarnation uint64
	// Timing holds the lease term, its margin and the maximum clock skew.
	Timing timing.Settings
	// Limits bounds the memory used by the claims of each partition. A limit of
	// zero means its default.
	Limits Limits
	// Random is the source of the random delays that spread the attempts of
	// several nodes. Nothing else may use it.
	Random *rand.Rand
	// Now is the reading of the clocks at the start of the process.
	Now ClockReading

	// disabledRules is the set of safety rules that a test disables.
	disabledRules rule.Set
	// witnessGrace is the time for which a witness must be missing before it is
	// replaced. Zero means witnessGraceTerms lease terms.
	witnessGrace time.Duration
}

// Core is the state machine of ownership at one node, which can be an owner, a
// witness and a candidate for a takeover at the same time. It does no I/O: its
// methods return the I/O to be done. Claims of different partitions don't block
// each other. Core is safe for concurrent use.
type Core struct {
	node          string
	incarnation   uint64
	timing        timing.Settings
	limits        Limits
	disabledRules rule.Set
	witnessGrace  time.Duration
	witness       *witness.Witness

	// services maps identifiers to services. The map is never changed, only
	// replaced under mu, and it is read without holding mu.
	services atomic.Pointer[map[string]*service]

	// mu guards the fields below, and the fields of each service that are marked
	// as guarded by Core.mu. It is locked before the mutex of a partition.
	mu         sync.Mutex
	random     *rand.Rand
	members    map[string]Member
	lastID     uint64
	leaving    bool
	heartbeats heartbeatSender
	platform   platformState
	// serviceIDs holds the identifiers of the services, sorted.
	serviceIDs []string
	// ownerCandidates holds for each service the nodes that may own partitions,
	// and witnessCandidates the nodes that may be witnesses. Both are computed
	// from members.
	ownerCandidates   map[string][]assignment.Candidate
	witnessCandidates []assignment.Candidate
}

// NewCore returns the core of a process that has just started. It returns an
// error if an option is missing or the timing settings are invalid.
func NewCore(options CoreOptions) (*Core, error) {
	if err := options.Timing.Validate(); err != nil {
		return nil, err
	}
	if options.Node == "" || options.Incarnation == 0 || options.Random == nil {
		return nil, errors.New("create ownership core: node, incarnation or random source is missing")
	}
	if options.Limits.MaxClaims <= 0 {
		options.Limits.MaxClaims = DefaultMaxClaims
	}
	if options.Limits.MaxAnswerBytes <= 0 {
		options.Limits.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if options.witnessGrace == 0 {
		options.witnessGrace = witnessGraceTerms * options.Timing.LeaseTerm
	}
	c := &Core{
		node:          options.Node,
		incarnation:   options.Incarnation,
		timing:        options.Timing,
		limits:        options.Limits,
		disabledRules: options.disabledRules,
		witnessGrace:  options.witnessGrace,
		witness:       witness.New(options.Timing.LeaseTerm, options.Now.Monotonic, options.disabledRules),
		random:        options.Random,
		members:       make(map[string]Member),
		lastID:        options.Incarnation,
		heartbeats:    heartbeatSender{next: options.Now.Monotonic, outstanding: make(map[uint64]sentHeartbeat)},
	}
	c.services.Store(&map[string]*service{})
	return c, nil
}

// SetServices replaces the configured services. A removed service for which
// this node has claims is kept: if it were added again, its first tenure would
// have no fence.
func (c *Core) SetServices(specs []ServiceSpec, now ClockReading) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := *c.services.Load()
	services := make(map[string]*service, len(specs))
	for _, spec := range specs {
		if spec.ResendWindow <= 0 {
			spec.ResendWindow = timing.DefaultResendWindow
		}
		spec.Partitions = min(max(spec.Partitions, 1), assignment.MaxPartitions)
		s := old[spec.ID]
		if s == nil {
			s = &service{id: spec.ID, addedAt: now.Monotonic}
		}
		s.setSpec(spec, now)
		services[spec.ID] = s
	}
	for id, s := range old {
		if services[id] == nil && s.hasClaims() {
			services[id] = s
		}
	}
	c.services.Store(&services)
	c.serviceIDs = sortedKeys(services)
}

// SetMembers replaces the members, which include this node.
func (c *Core) SetMembers(members []Member, now ClockReading) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byName := make(map[string]Member, len(members))
	for _, m := range members {
		byName[m.Node] = m
	}
	c.members = byName
	c.updateCandidates()
	c.markAllForReview()
}

// markAllForReview makes the next startDue review all services.
func (c *Core) markAllForReview() {
	for _, s := range *c.services.Load() {
		s.needsReview = true
	}
}

// OwnerOf returns the last known owner of the key. It returns false if this
// node has not received the ownership object of the service.
func (c *Core) OwnerOf(service, key string) (node string, ok bool) {
	s := (*c.services.Load())[service]
	if s == nil {
		return "", false
	}
	v := s.view.Load()
	if v == nil {
		return "", false
	}
	return v.Partitions[assignment.PartitionOf(key, len(v.Partitions))].Owner, true
}

// nextID returns a number that no incarnation of this node has returned before.
func (c *Core) nextID() uint64 {
	c.lastID++
	return c.lastID
}

// jitter returns a random duration below bound.
func (c *Core) jitter(bound time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(max(bound, 1))))
}

// updateCandidates computes the candidates for owners and witnesses from the
// members.
func (c *Core) updateCandidates() {
	c.ownerCandidates = make(map[string][]assignment.Candidate)
	c.witnessCandidates = nil
	for _, name := range sortedKeys(c.members) {
		m := c.members[name]
		if !c.isCandidate(m) {
			continue
		}
		c.witnessCandidates = append(c.witnessCandidates, candidateOf(m))
		for _, id := range m.Services {
			c.ownerCandidates[id] = append(c.ownerCandidates[id], candidateOf(m))
		}
	}
}

// candidates returns the nodes that may own partitions of a service.
func (c *Core) candidates(service string) []assignment.Candidate {
	return c.ownerCandidates[service]
}

// isCandidate reports whether a member may own partitions or be a witness.
func (c *Core) isCandidate(m Member) bool {
	return m.Alive && m.Eligible && (m.Node != c.node || !c.leaving)
}

func candidateOf(m Member) assignment.Candidate {
	return assignment.Candidate{Node: m.Node, Incarnation: m.Incarnation, DataCentre: m.DataCentre}
}
