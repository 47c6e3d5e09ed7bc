package ownership

import (
	"context"
	"math/rand/v2"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"verbenatrestle/process/ownership/claim"
	"verbenatrestle/process/ownership/timing"
)

// Options are what a Runner needs.
type Options struct {
	// Node is the name of this node.
	Node string
	// Incarnation identifies this life of the process. It must differ from
	// those of all earlier lives of the node.
	Incarnation uint64
	// Timing holds the lease term, its margin and the skew.
	Timing timing.Settings
	// Limits bounds the memory for claims.
	Limits Limits
	// Platform is the platform's object API.
	Platform Platform
	// Sender sends messages to other nodes.
	Sender Sender
	// Logger gets what operators should know.
	Logger log.Logger
	// Metrics is the registry for the runner's metrics. Nil means none.
	Metrics metrics.Registry
	// Random spreads attempts of nodes over time.
	Random *rand.Rand
}

// Runner keeps a node's part in ownership going: it owns the goroutines, the
// clock and the calls to platform and peers, and leaves decisions to Core.
type Runner struct{}

// NewRunner returns a runner that is not yet started.
func NewRunner(options Options) (*Runner, error) { return &Runner{}, nil }

// Start starts the runner's goroutines.
func (r *Runner) Start() {}

// Stop hands all partitions of this node over to others, then ends the
// runner's goroutines. When ctx ends first it stops without waiting longer.
func (r *Runner) Stop(ctx context.Context) error { return nil }

// SetServices tells which services this deployment has.
func (r *Runner) SetServices(services []ServiceSpec) {}

// SetMembers tells the present members, this node among them.
func (r *Runner) SetMembers(members []Member) {}

// Handle takes in a message from another node. It reports false for a message
// of another package.
func (r *Runner) Handle(from string, message any) bool { return false }

// Claim decides on a request.
func (r *Runner) Claim(request Request) Decision { return Decision{} }

// Complete ends a run whose answer is known.
func (r *Runner) Complete(ticket Ticket, answer *claim.Answer) {}

// Lost ends a run whose end is unknown: it is never run again.
func (r *Runner) Lost(ticket Ticket) {}

// Abort takes back a claim whose operation was proved not run.
func (r *Runner) Abort(ticket Ticket) {}

// OwnerOf returns the node that owns the key, as far as this node knows.
func (r *Runner) OwnerOf(service, key string) (node string, ok bool) { return "", false }

// OwnerFailed reports that the owner of a key could not be reached or had no
// lease; OwnerAnswered that it answered. They help to find dead owners.
func (r *Runner) OwnerFailed(service, key string) {}

// OwnerAnswered reports that the owner of a key answered.
func (r *Runner) OwnerAnswered(service, key string) {}

// State returns a dump of the node's ownership state for JSON.
func (r *Runner) State() any { return nil }
