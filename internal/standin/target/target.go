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

// Stats holds the state and the counters of a target.
type Stats struct {
	// Instance and State describe the present. State is cold, warm, draining or
	// failing.
	Instance string `json:"instance"`
	State    string `json:"state"`
	// InFlight is the number of admitted requests that have not ended, and
	// PeakInFlight its maximum.
	InFlight     int `json:"in_flight"`
	PeakInFlight int `json:"peak_in_flight"`
	// PeakColdInFlight is the maximum of InFlight while the target was cold.
	PeakColdInFlight int `json:"peak_cold"`
	// Overruns counts how often the cold target collapsed from overload.
	Overruns int `json:"overruns"`
	// Shed counts the requests that were refused, except those that caused an
	// overrun.
	Shed int `json:"shed"`
	// Runs counts the requests whose work began, and Answered those whose
	// response was written.
	Runs     int `json:"runs"`
	Answered int `json:"answered"`
	// Cancelled counts admitted requests that were abandoned because the caller
	// had disconnected, the deadline had passed or the instance had ended.
	Cancelled int `json:"cancelled"`
	// Failed counts the requests that fail_fast answered with 500.
	Failed int `json:"failed"`
	// Crashes counts the crashes after which the process continued.
	Crashes int `json:"crashes"`
	// PeakConnections is the maximum number of open connections, and
	// RefusedConnections counts the connections beyond MaxConnections.
	PeakConnections    int `json:"peak_connections"`
	RefusedConnections int `json:"refused_connections"`
	// LastNewWorkMs is the Unix time in milliseconds at which the last admitted
	// request arrived.
	LastNewWorkMs int64 `json:"last_new_work_ms"`
	// LastRequestMs is the same for all requests, including refused ones.
	LastRequestMs int64 `json:"last_any_ms"`
}

// Target is a stand-in target. It is safe for concurrent use.
type Target struct {
	options   Options
	journal   *Journal
	collector *collector
	slots     chan struct{}
	listener  *listener
	server    *http.Server
	client    *http.Client

	mu             sync.Mutex
	rng            *rand.Rand
	instance       string
	started        time.Time
	capacity       capacity
	stats          Stats
	faults         faults
	draining       bool
	lastLoadReport loadReport
	// oracleConn is the socket for reports to the oracle, nil without one, and
	// oracleSequence the sequence number of the last report.
	oracleConn     net.Conn
	oracleSequence int64
	// instanceCtx ends when the instance crashes or the target stops.
	instanceCtx context.Context
	endInstance context.CancelFunc
}

// New returns a target that does not listen yet. It returns an error if the
// options are inconsistent.
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
		started:  time.Now(),
		faults:   faults{slowFactor: 1, loadReportFactor: 1, changed: make(chan struct{})},
		capacity: capacity{
			slots:           options.Slots,
			queueLength:     options.QueueLength,
			coldLimit:       options.ColdLimit,
			warmupResponses: options.WarmupResponses,
			stallTime:       options.StallTime,
		},
	}
	if options.StartWarm {
		t.capacity.responses = options.WarmupResponses
	}
	if options.CollectorURL != "" {
		t.collector = newCollector(options.CollectorURL)
	}
	t.instanceCtx, t.endInstance = context.WithCancel(context.Background())
	return t, nil
}

// Run listens and serves until the context ends. Then it requests a drain from
// the node, waits until the node reports that no requests are left, and shuts
// the server down.
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
	group.Go(func() { t.sampleLoadReport(background) })
	group.Go(func() { t.reportToOraclePeriodically(background) })
	if t.collector != nil {
		group.Go(func() { t.collector.run(background) })
	}
	served := make(chan error, 1)
	go func() { served <- t.server.Serve(t.listener) }()
	select {
	case err = <-served:
		err = errors.Wrapf(err, "serve on %s", t.options.Address)
	case <-ctx.Done():
		err = t.drainAndShutDown()
	}
	stop()
	group.Wait()
	t.currentCancel()()
	return err
}

func (t *Target) listen(inner net.Listener) {
	t.listener = &listener{
		Listener:  inner,
		limit:     t.options.MaxConnections,
		setupTime: t.options.ConnectionSetupTime,
		count:     t.count,
		open:      make(map[*conn]struct{}),
	}
	t.server = &http.Server{Handler: t.Handler()}
}

// drainAndShutDown performs a planned stop. A drain that fails is only logged.
func (t *Target) drainAndShutDown() error {
	ctx, cancel := context.WithTimeout(context.Background(), t.options.DrainTimeout)
	defer cancel()
	if err := t.drain(ctx); err != nil {
		level.Warn(t.options.Logger).Log("msg", "drain", "err", err)
	}
	err := t.server.Shutdown(ctx)
	return errors.Wrapf(err, "shut down %s", t.options.Address)
}

// crash ends the instance. It calls Options.OnCrash, or by default replaces the
// instance within the process.
func (t *Target) crash() {
	if t.options.OnCrash != nil {
		t.options.OnCrash()
		return
	}
	t.mu.Lock()
	t.endInstance()
	t.instanceCtx, t.endInstance = context.WithCancel(context.Background())
	t.instance = uuid.NewString()
	t.started = time.Now()
	t.capacity.responses = 0
	t.stats.Crashes++
	t.mu.Unlock()
	if t.listener != nil {
		t.listener.closeAll()
	}
}

// Journal returns the journal of all instances.
func (t *Target) Journal() *Journal {
	return t.journal
}

// Stats returns the current state and counters.
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

// currentInstance returns the ID and the context of the current instance.
func (t *Target) currentInstance() (string, context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instance, t.instanceCtx
}

func (t *Target) currentCancel() context.CancelFunc {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endInstance
}
