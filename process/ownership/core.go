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

// Limits bounds the memory for the claims of a partition.
type Limits = claim.Limits

// Defaults of Limits.
const (
	// DefaultMaxClaims is the most claims kept for a partition.
	DefaultMaxClaims = 1 << 16
	// DefaultMaxAnswerBytes is the most bytes of answers kept for a partition.
	DefaultMaxAnswerBytes = 4 << 20
)

// ConditionalWrite is a conditional write that Core wants.
type ConditionalWrite struct {
	// ID identifies the proposal.
	ID uint64
	// Service is the service whose object is to be written.
	Service string
	// Key is the object's key, Value its new content.
	Key   string
	Value []byte
	// IfVersion is the version that the object must have; 0 means no object.
	IfVersion uint64
}

// Output is what Core wants to be done.
type Output struct {
	// Messages are to be sent to other nodes or to this one.
	Messages []wire.Envelope
	// Writes are conditional writes; their ends are told by Settle.
	Writes []ConditionalWrite
	// Reads are services whose objects are to be read from the platform as they
	// are now, not as a stale read shows them; the objects are told by Read.
	Reads []string
}

func (o *Output) send(to string, message any) {
	o.Messages = append(o.Messages, wire.Envelope{To: to, Message: message})
}

// CoreOptions are what a Core needs.
type CoreOptions struct {
	// Node is the name of this node.
	Node string
	// Incarnation identifies this life of the process. It must be higher than
	// those of all earlier lives of the node.
	Incarnation uint64
	// Timing holds the lease term, its margin and the skew.
	Timing timing.Settings
	// Limits bounds the memory for claims.
	Limits Limits
	// Random spreads attempts of nodes over time.
	Random *rand.Rand
	// Now is when the process started.
	Now ClockReading

	// without is the rules that tests take out.
	without rule.Set
	// witnessGrace is the time for which a witness must be missing before it is
	// replaced. Zero means witnessGraceTerms.
	witnessGrace time.Duration
}

// Core decides on all that concerns ownership at one node: as owner, as
// witness and as candidate for takeover. It does no I/O. Claims of different
// partitions don't wait for each other. It is safe for concurrent use.
type Core struct {
	node        string
	incarnation uint64
	timing      timing.Settings
	limits      Limits
	without     rule.Set
	grace       time.Duration
	witness     *witness.Witness

	// services is replaced as a whole under mu, and read without it.
	services atomic.Pointer[map[string]*service]

	// mu guards what follows, and the control fields of services. It is taken
	// before the lock of a partition.
	mu       sync.Mutex
	random   *rand.Rand
	members  map[string]Member
	counter  uint64
	leaving  bool
	beats    beats
	platform platformState
	// order holds the identifiers of the services, sorted.
	order []string
	// owners holds, for each service, the nodes that may own partitions, and
	// witnesses the nodes that may be witnesses. Both follow from members.
	owners    map[string][]assignment.Candidate
	witnesses []assignment.Candidate
}

// NewCore returns the core of a process that has just started.
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
		node:        options.Node,
		incarnation: options.Incarnation,
		timing:      options.Timing,
		limits:      options.Limits,
		without:     options.without,
		grace:       options.witnessGrace,
		witness:     witness.New(options.Timing.LeaseTerm, options.Now.Monotonic, options.without),
		random:      options.Random,
		members:     make(map[string]Member),
		counter:     options.Incarnation,
		beats:       beats{next: options.Now.Monotonic, outstanding: make(map[uint64]sentBeat)},
	}
	c.services.Store(&map[string]*service{})
	return c, nil
}

// SetServices tells which services there are. A service that is gone but has
// claims here stays: if it came back, its first tenure would have no fence.
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
			s = &service{id: spec.ID, since: now.Monotonic}
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
	c.order = sortedKeys(services)
}

// SetMembers tells the present members, this node among them.
func (c *Core) SetMembers(members []Member, now ClockReading) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := make(map[string]Member, len(members))
	for _, m := range members {
		known[m.Node] = m
	}
	c.members = known
	c.sortMembers()
	c.reviewAll()
}

// reviewAll makes the next flush look at all services.
func (c *Core) reviewAll() {
	for _, s := range *c.services.Load() {
		s.review = true
	}
}

// OwnerOf returns the node that owns the key, as far as this node knows.
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

// next returns a number that this node never used before.
func (c *Core) next() uint64 {
	c.counter++
	return c.counter
}

// jitter returns a random duration below bound.
func (c *Core) jitter(bound time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(max(bound, 1))))
}

// sortMembers computes which members may be owners and witnesses.
func (c *Core) sortMembers() {
	c.owners = make(map[string][]assignment.Candidate)
	c.witnesses = nil
	for _, name := range sortedKeys(c.members) {
		m := c.members[name]
		if !c.mayTakePart(m) {
			continue
		}
		c.witnesses = append(c.witnesses, candidateOf(m))
		for _, id := range m.Services {
			c.owners[id] = append(c.owners[id], candidateOf(m))
		}
	}
}

// candidates returns the nodes of a service that may own partitions.
func (c *Core) candidates(service string) []assignment.Candidate {
	return c.owners[service]
}

// mayTakePart reports whether a member may own partitions or be a witness.
func (c *Core) mayTakePart(m Member) bool {
	return m.Alive && m.Eligible && (m.Node != c.node || !c.leaving)
}

func candidateOf(m Member) assignment.Candidate {
	return assignment.Candidate{Node: m.Node, Incarnation: m.Incarnation, DataCentre: m.DataCentre}
}
