package target

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Stats counts what the target did and bore.
type Stats struct {
	// Instance and State are of now. State is cold, warm, draining or failing.
	Instance string `json:"instance"`
	State    string `json:"state"`
	// InFlight is the requests that it has now, and PeakInFlight the most.
	InFlight     int `json:"in_flight"`
	PeakInFlight int `json:"peak_in_flight"`
	// PeakColdInFlight is the most that it had at once while it was cold.
	PeakColdInFlight int `json:"peak_cold"`
	// Overruns counts how often it fell over from more than it bears.
	Overruns int `json:"overruns"`
	// Shed counts refused requests.
	Shed int `json:"shed"`
	// Runs counts the requests whose work began, and Answered those whose
	// answers were written.
	Runs     int `json:"runs"`
	Answered int `json:"answered"`
	// Cancelled counts requests given up because the caller had gone or the
	// deadline had passed.
	Cancelled int `json:"cancelled"`
	// Failed counts requests answered with 500 by fail_fast.
	Failed int `json:"failed"`
	// Crashes counts crashes of a target that stays in its process.
	Crashes int `json:"crashes"`
	// PeakConnections is the most connections at once, and
	// RefusedConnections counts those beyond the bound.
	PeakConnections    int `json:"peak_connections"`
	RefusedConnections int `json:"refused_connections"`
	// LastNewWorkMs is the Unix time in milliseconds at which the last request
	// arrived that was not shed.
	LastNewWorkMs int64 `json:"last_new_work_ms"`
	// LastRequestMs is the same for all requests, shed ones too.
	LastRequestMs int64 `json:"last_any_ms"`
}

// Target is the stand-in target.
type Target struct {
	options   Options
	journal   *Journal
	collector *collector
	slots     chan struct{}
	listener  *listener
	server    *http.Server
	client    *http.Client

	mu       sync.Mutex
	rng      *rand.Rand
	instance string
	capacity capacity
	stats    Stats
	faults   faults
	draining bool
	reported report
	// oracle is the socket to the oracle, nil without one, and sequence the
	// number of the last report to it.
	oracle   net.Conn
	sequence int64
	// life ends when the instance crashes or the target closes.
	life context.Context
	end  context.CancelFunc
}

// New returns a target that does not listen yet.
func New(options Options) (*Target, error) {
	options.complete()
	if err := options.check(); err != nil {
		return nil, err
	}
	t := &Target{
		options:  options,
		journal:  NewJournal(),
		slots:    make(chan struct{}, options.Slots),
		client:   &http.Client{},
		rng:      rand.New(rand.NewPCG(options.Seed, 0)),
		instance: options.Instance,
		faults:   faults{slowFactor: 1, lie: 1, changed: make(chan struct{})},
		capacity: capacity{
			slots:       options.Slots,
			queue:       options.QueueLength,
			coldLimit:   options.ColdLimit,
			warmAnswers: options.WarmupResponses,
			stall:       options.StallTime,
		},
	}
	if options.StartWarm {
		t.capacity.answers = options.WarmupResponses
	}
	if options.CollectorURL != "" {
		t.collector = newCollector(options.CollectorURL)
	}
	t.life, t.end = context.WithCancel(context.Background())
	return t, nil
}

// Run listens and serves until the context ends. Then it asks the node to
// drain it, waits until the node tells that no work is left, and returns nil.
func (t *Target) Run(ctx context.Context) error {
	inner, err := net.Listen("tcp", t.options.Address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", t.options.Address)
	}
	if err := t.dialOracle(); err != nil {
		return err
	}
	t.options.Address = inner.Addr().String()
	t.listen(inner)
	background, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { t.announce(background) })
	group.Go(func() { t.sample(background) })
	group.Go(func() { t.tellPeriodically(background) })
	if t.collector != nil {
		group.Go(func() { t.collector.run(background) })
	}
	served := make(chan error, 1)
	go func() { served <- t.server.Serve(t.listener) }()
	select {
	case err = <-served:
		err = errors.Wrapf(err, "serve on %s", t.options.Address)
	case <-ctx.Done():
		err = t.leave()
	}
	stop()
	group.Wait()
	t.currentEnd()()
	return err
}

func (t *Target) listen(inner net.Listener) {
	t.listener = &listener{
		Listener: inner,
		limit:    t.options.MaxConnections,
		openCost: t.options.ConnectionSetupTime,
		count:    t.count,
		open:     make(map[*conn]struct{}),
	}
	t.server = &http.Server{Handler: t.Handler()}
}

// leave is the planned stop.
func (t *Target) leave() error {
	ctx, cancel := context.WithTimeout(context.Background(), t.options.DrainTimeout)
	defer cancel()
	if err := t.drain(ctx); err != nil {
		level.Warn(t.options.Logger).Log("msg", "drain", "err", err)
	}
	err := t.server.Shutdown(ctx)
	return errors.Wrapf(err, "shut down %s", t.options.Address)
}

// crash ends this life of the target: by Options.Crash, else in place.
func (t *Target) crash() {
	if t.options.OnCrash != nil {
		t.options.OnCrash()
		return
	}
	t.mu.Lock()
	t.end()
	t.life, t.end = context.WithCancel(context.Background())
	t.instance = uuid.NewString()
	t.capacity.answers = 0
	t.stats.Crashes++
	t.mu.Unlock()
	if t.listener != nil {
		t.listener.cut()
	}
}

// Journal returns the target's journal.
func (t *Target) Journal() *Journal {
	return t.journal
}

// Stats returns the counters.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.stats
	stats.Instance = t.instance
	stats.InFlight = t.capacity.inFlight
	stats.State = t.stateLocked(time.Now())
	return stats
}

func (t *Target) stateLocked(now time.Time) string {
	switch {
	case t.draining:
		return "draining"
	case t.faults.failFast || t.capacity.stalled(now):
		return "failing"
	case t.capacity.warm():
		return "warm"
	}
	return "cold"
}

func (t *Target) count(change func(*Stats)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.stats)
}

func (t *Target) current() (string, context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instance, t.life
}

func (t *Target) currentEnd() context.CancelFunc {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.end
}
