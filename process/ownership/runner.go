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
	// tickPeriod is the time between two calls of Core.Tick.
	tickPeriod = 25 * time.Millisecond
	// idlePollPeriod is the time between two checks whether a stopping node has
	// handed over all partitions.
	idlePollPeriod = 10 * time.Millisecond
	// stopLinger is how long a stopping node keeps running after its last
	// handover, so that its last messages are sent and late requests are
	// answered.
	stopLinger = 200 * time.Millisecond
)

// Options configures a Runner.
type Options struct {
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
	// Platform is the platform's object API.
	Platform Platform
	// Sender sends messages to other nodes.
	Sender Sender
	// Logger receives log messages for operators. Nil means no logging.
	Logger log.Logger
	// Metrics is the registry for the runner's metrics. Nil means that they are
	// not exported.
	Metrics metrics.Registry
	// Random is the source of the random delays that spread the attempts of
	// several nodes. Nothing else may use it.
	Random *rand.Rand
}

// Runner runs a Core: it owns the goroutines and the clock, and it does the I/O
// that the Core's outputs ask for. It is safe for concurrent use.
type Runner struct {
	core     *Core
	node     string
	platform Platform
	sender   Sender
	logger   log.Logger
	counters *counters
	clock    func() ClockReading

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// calls is the queue of calls of the platform.
	calls chan func()
	// random is used by the goroutine of watch only.
	random *rand.Rand
}

// NewRunner returns a runner that is not started yet. It returns an error if an
// option is missing or the timing settings are invalid.
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
		counters: newCounters(options.Metrics),
		clock:    readClock,
		ctx:      ctx,
		cancel:   cancel,
		calls:    make(chan func(), callQueueSize),
		random:   options.Random,
	}, nil
}

// Start starts the runner's goroutines.
func (r *Runner) Start() {
	r.wg.Go(r.tick)
	r.wg.Go(r.watch)
	for range callWorkers {
		r.wg.Go(r.runCalls)
	}
}

// Stop hands over all partitions of this node to others, waits for running
// operations, and then stops the runner's goroutines. If ctx ends before that,
// Stop stops the goroutines without waiting longer and returns an error.
func (r *Runner) Stop(ctx context.Context) error {
	r.execute(r.core.Leave(r.clock()))
	err := r.waitIdle(ctx)
	r.cancel()
	r.wg.Wait()
	return err
}

// waitIdle waits until the core is idle, and then for stopLinger.
func (r *Runner) waitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePollPeriod)
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
	wait.Every(r.ctx, tickPeriod, func(time.Time) { r.execute(r.core.Tick(r.clock())) })
}

// SetServices replaces the configured services.
func (r *Runner) SetServices(services []ServiceSpec) {
	r.core.SetServices(services, r.clock())
}

// SetMembers replaces the members, which include this node.
func (r *Runner) SetMembers(members []Member) {
	r.core.SetMembers(members, r.clock())
}

// Handle handles a message from another node. It returns false for a type of
// message that doesn't belong to ownership.
func (r *Runner) Handle(from string, message any) bool {
	out, ok := r.core.Handle(from, message, r.clock())
	r.execute(out)
	return ok
}

// Claim decides on a request and records a claim for its key if the verdict is
// Run.
func (r *Runner) Claim(request Request) Decision {
	d := r.core.Claim(request, r.clock())
	r.counters.countVerdict(d.Verdict)
	return d
}

// Complete records the answer of a run.
func (r *Runner) Complete(handle ClaimHandle, answer *claim.Answer) {
	r.execute(r.core.Complete(handle, answer))
}

// MarkUnknown records that the outcome of a run is unknown. The key is not run
// again.
func (r *Runner) MarkUnknown(handle ClaimHandle) {
	r.execute(r.core.MarkUnknown(handle))
}

// Abort removes a claim whose operation is known not to have been run, so that
// the key can be run when it is sent again.
func (r *Runner) Abort(handle ClaimHandle) {
	r.execute(r.core.Abort(handle))
}

// OwnerOf returns the last known owner of the key. It returns false if this
// node has not received the ownership object of the service.
func (r *Runner) OwnerOf(service, key string) (node string, ok bool) {
	return r.core.OwnerOf(service, key)
}

// OwnerFailed reports that the owner of a key could not be reached or had no
// lease. A call for each failed request helps to find failed owners that
// membership reports as alive.
func (r *Runner) OwnerFailed(service, key string) {
	r.execute(r.core.OwnerFailed(service, key, r.clock()))
}

// OwnerAnswered reports that the owner of a key answered a request. Earlier
// reports of failure no longer count.
func (r *Runner) OwnerAnswered(service, key string) {
	r.core.OwnerAnswered(service, key)
}

// State returns a dump of the node's ownership state, a *State, for encoding as
// JSON.
func (r *Runner) State() any {
	return r.core.State(r.clock())
}

// execute does the I/O of an output. Messages to this node itself are handled at
// once, and the outputs of their handling are executed too.
func (r *Runner) execute(out Output) {
	for {
		var local []any
		for _, envelope := range out.Messages {
			if envelope.To == r.node {
				local = append(local, envelope.Message)
				continue
			}
			if err := r.sender.Send(envelope.To, envelope.Message); err != nil {
				r.counters.messagesLost.Inc(1)
			}
		}
		r.enqueueCalls(out)
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

// warn logs an error unless it is nil or the runner is stopping.
func (r *Runner) warn(step string, err error) {
	if err != nil && r.ctx.Err() == nil {
		_ = level.Warn(r.logger).Log("msg", step, "node", r.node, "err", err)
	}
}
