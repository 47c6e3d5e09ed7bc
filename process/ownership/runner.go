package ownership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"verbenatrestle/internal/wait"
	"verbenatrestle/process/ownership/claim"
	"verbenatrestle/process/ownership/timing"
)

const (
	// tickPeriod is the time between two ticks of the core.
	tickPeriod = 25 * time.Millisecond
	// stopPoll is the time between two looks at whether all is handed over.
	stopPoll = 10 * time.Millisecond
	// stopLinger is how long a stopping node goes on after it has handed over,
	// so that its last messages go out and late questions get an answer.
	stopLinger = 200 * time.Millisecond
)

// Options are what a Runner needs.
type Options struct {
	// Node is the name of this node.
	Node string
	// Incarnation identifies this life of the process. It must be higher than
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
	// Logger gets what operators should know. Nil means nobody.
	Logger log.Logger
	// Metrics is the registry for the runner's metrics. Nil means none.
	Metrics metrics.Registry
	// Random spreads attempts of nodes over time. The runner has it for itself.
	Random *rand.Rand
}

// Runner keeps a node's part in ownership going: it owns the goroutines, the
// clock and the calls to platform and peers, and leaves decisions to Core.
type Runner struct {
	core     *Core
	node     string
	platform Platform
	sender   Sender
	logger   log.Logger
	meters   *meters
	clock    func() ClockReading

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	calls  chan func()
	// random is used by the watch alone.
	random *rand.Rand
}

// NewRunner returns a runner that is not yet started.
func NewRunner(options Options) (*Runner, error) {
	if options.Platform == nil || options.Sender == nil || options.Random == nil {
		return nil, errors.New("create ownership runner: platform, sender or random source is missing")
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	core, err := NewCore(CoreOptions{
		Node:        options.Node,
		Incarnation: options.Incarnation,
		Timing:      options.Timing,
		Limits:      options.Limits,
		Random:      rand.New(rand.NewPCG(options.Random.Uint64(), options.Random.Uint64())),
		Now:         readClock(),
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{
		core:     core,
		node:     options.Node,
		platform: options.Platform,
		sender:   options.Sender,
		logger:   options.Logger,
		meters:   newMeters(options.Metrics),
		clock:    readClock,
		ctx:      ctx,
		cancel:   cancel,
		calls:    make(chan func(), callQueue),
		random:   options.Random,
	}, nil
}

// Start starts the runner's goroutines.
func (r *Runner) Start() {
	r.wg.Go(r.tick)
	r.wg.Go(r.watch)
	for range callWorkers {
		r.wg.Go(r.work)
	}
}

// Stop hands all partitions of this node over to others, then ends the
// runner's goroutines. When ctx ends first it stops without waiting longer.
func (r *Runner) Stop(ctx context.Context) error {
	r.do(r.core.Leave(r.clock()))
	err := r.waitIdle(ctx)
	r.cancel()
	r.wg.Wait()
	return err
}

func (r *Runner) waitIdle(ctx context.Context) error {
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for !r.core.Idle() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "hand over partitions of node %s", r.node)
		case <-ticker.C:
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(stopLinger):
	}
	return nil
}

func (r *Runner) tick() {
	wait.Every(r.ctx, tickPeriod, func(time.Time) { r.do(r.core.Tick(r.clock())) })
}

// SetServices tells which services this deployment has.
func (r *Runner) SetServices(services []ServiceSpec) {
	r.core.SetServices(services, r.clock())
}

// SetMembers tells the present members, this node among them.
func (r *Runner) SetMembers(members []Member) {
	r.core.SetMembers(members, r.clock())
}

// Handle takes in a message from another node. It reports false for a message
// of another package.
func (r *Runner) Handle(from string, message any) bool {
	out, ok := r.core.Handle(from, message, r.clock())
	r.do(out)
	return ok
}

// Claim decides on a request.
func (r *Runner) Claim(request Request) Decision {
	d := r.core.Claim(request, r.clock())
	r.meters.count(d.Verdict)
	return d
}

// Complete ends a run whose answer is known.
func (r *Runner) Complete(ticket ClaimHandle, answer *claim.Answer) {
	r.do(r.core.Complete(ticket, answer))
}

// MarkUnknown ends a run whose end is unknown: it is never run again.
func (r *Runner) MarkUnknown(ticket ClaimHandle) {
	r.do(r.core.MarkUnknown(ticket))
}

// Abort takes back a claim whose operation was proved not run.
func (r *Runner) Abort(ticket ClaimHandle) {
	r.do(r.core.Abort(ticket))
}

// OwnerOf returns the node that owns the key, as far as this node knows.
func (r *Runner) OwnerOf(service, key string) (node string, ok bool) {
	return r.core.OwnerOf(service, key)
}

// OwnerFailed reports that the owner of a key could not be reached or had no
// lease; OwnerAnswered that it answered. They help to find dead owners.
func (r *Runner) OwnerFailed(service, key string) {
	r.do(r.core.OwnerFailed(service, key, r.clock()))
}

// OwnerAnswered reports that the owner of a key answered.
func (r *Runner) OwnerAnswered(service, key string) {
	r.core.OwnerAnswered(service, key)
}

// State returns a dump of the node's ownership state for JSON.
func (r *Runner) State() any {
	return r.core.State(r.clock())
}

// do carries out what the core wants. Messages to this node itself are handled
// here, with all that follows from them.
func (r *Runner) do(out Output) {
	for {
		var local []any
		for _, envelope := range out.Messages {
			if envelope.To == r.node {
				local = append(local, envelope.Message)
				continue
			}
			if err := r.sender.Send(envelope.To, envelope.Message); err != nil {
				r.meters.lost.Inc(1)
			}
		}
		r.call(out)
		if len(local) == 0 {
			return
		}
		out = Output{}
		for _, message := range local {
			next, _ := r.core.Handle(r.node, message, r.clock())
			out.Messages = append(out.Messages, next.Messages...)
			out.Writes = append(out.Writes, next.Writes...)
			out.Reads = append(out.Reads, next.Reads...)
		}
	}
}

// warn logs an error.
func (r *Runner) warn(step string, err error) {
	if err != nil && r.ctx.Err() == nil {
		_ = level.Warn(r.logger).Log("msg", step, "node", r.node, "err", err)
	}
}
