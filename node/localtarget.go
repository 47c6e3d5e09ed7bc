package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"verbenatrestle/connection/load"
	"verbenatrestle/internal/wait"
	"verbenatrestle/process/admission"
	"verbenatrestle/version"
)

const (
	// targetPoll is how often the node looks after its target's state and
	// connections.
	targetPoll = 20 * time.Millisecond
	// reportPoll is how often the node asks the target for its load.
	reportPoll = time.Second
	// reportTimeout bounds one such question.
	reportTimeout = 500 * time.Millisecond
	// announceTimeout is how long a target may be silent before it is lost.
	announceTimeout = 4 * time.Second
	// crashCheckDelay lets requests that broke together be counted together.
	crashCheckDelay = 10 * time.Millisecond
	// maxReportBytes bounds a target's answer about its load.
	maxReportBytes = 4 << 10
)

// localTarget is the target beside the node: what it announced, its
// connections, and the loops that look after it.
type localTarget struct {
	self   string
	proxy  *targetProxy
	logger log.Logger
	// measurement bounds the questions about the target's load.
	measurement *measurementBudget
	// changed tells membership of the target's announcement and state.
	changed func(announcement, load.State)

	mu        sync.Mutex
	last      announcement
	lastSeen  time.Time
	lastState load.State
	limits    version.TargetLimits
	checking  bool
}

// announce takes in an announcement and returns the target's state.
func (t *localTarget) announce(a announcement) load.State {
	now := time.Now()
	t.mu.Lock()
	renewed := t.last.Instance != a.Instance || t.last.Address != a.Address || t.last.Connections != a.Connections
	t.last = a
	t.lastSeen = now
	target := t.bounded(a)
	t.mu.Unlock()
	if renewed {
		_ = level.Info(t.logger).Log("msg", "target announced", "service", a.service(), "address", a.Address, "instance", a.Instance)
		t.connect(a.Address, target.Connections)
	}
	crash := t.proxy.admission.Announce(target, now)
	t.proxy.reportCrash(crash, now)
	return t.publish()
}

// bounded returns what the target announced within the configured limits.
func (t *localTarget) bounded(a announcement) admission.Target {
	within := func(announced, limit int) int {
		if limit > 0 {
			return min(announced, limit)
		}
		return announced
	}
	slots := within(a.Slots, t.limits.Slots)
	return admission.Target{
		Instance:    a.Instance,
		Slots:       slots,
		Connections: within(a.Connections, t.limits.Connections),
		ColdLimit:   min(within(a.ColdLimit, t.limits.ColdLimit), slots),
	}
}

// connect replaces the connections by ones to a new life of the target.
func (t *localTarget) connect(address string, connections int) {
	client := newTargetClient(address, connections, t.proxy.admission.SetOpenConnections)
	if old := t.proxy.client.Swap(client); old != nil {
		old.close()
	}
	t.proxy.admission.SetOpenConnections(0)
}

// service returns the service that the target announced, "" before that.
func (t *localTarget) service() version.ServiceID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last.Service == "" {
		return ""
	}
	return t.last.service()
}

// setLimits puts the configured limits of the target's service in force.
func (t *localTarget) setLimits(s *version.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = version.TargetLimits{}
	if service := s.Service(t.last.service()); service != nil {
		t.limits = service.TargetLimits
	}
}

// drain makes the guard refuse new requests for good.
func (t *localTarget) drain(instance string) {
	if t.proxy.admission.Drain(instance) {
		_ = level.Info(t.logger).Log("msg", "target drains", "instance", instance)
	}
	t.publish()
}

// waitIdle returns true once nothing runs at the target.
func (t *localTarget) waitIdle(ctx context.Context) bool {
	for !t.proxy.admission.Idle() {
		if !wait.For(ctx, drainPoll) {
			return t.proxy.admission.Idle()
		}
	}
	return true
}

// publish tells membership when the target's state has changed.
func (t *localTarget) publish() load.State {
	state := t.proxy.admission.Sample(time.Now()).State
	t.mu.Lock()
	a := t.last
	changed := state != t.lastState
	t.lastState = state
	t.mu.Unlock()
	if changed {
		t.changed(a, state)
	}
	return state
}

// run looks after the target until the context ends.
func (t *localTarget) run(ctx context.Context) {
	nextReport := time.Now().Add(reportPoll)
	wait.Every(ctx, targetPoll, func(now time.Time) {
		t.tend(ctx, now)
		if now.After(nextReport) {
			nextReport = now.Add(reportPoll)
			go t.askReport(ctx)
		}
	})
}

// tend opens connections, publishes the state, and notices a silent target.
func (t *localTarget) tend(ctx context.Context, now time.Time) {
	t.publish()
	client := t.proxy.client.Load()
	if client == nil {
		return
	}
	client.refresh()
	client.prepare(ctx, t.proxy.admission.PlanConnections(now))
	t.mu.Lock()
	silent := now.Sub(t.lastSeen) > announceTimeout
	t.mu.Unlock()
	if silent {
		t.proxy.reportCrash(t.proxy.admission.TargetLost(false, now), now)
	}
}

// askReport asks the target for its load, which may only lower limits.
func (t *localTarget) askReport(ctx context.Context) {
	client := t.proxy.client.Load()
	if client == nil || !t.measurement.allowPoll(time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, client.base+"/load", nil)
	if err != nil {
		return
	}
	resp, err := client.transport.RoundTrip(r)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	body, err := readUpTo(resp.Body, maxReportBytes, -1)
	if err != nil || resp.StatusCode != http.StatusOK {
		return
	}
	if report, ok := parseReport(body); ok {
		t.proxy.admission.Report(report, time.Now())
	}
}

// parseReport reads a target's answer about its load.
func parseReport(body []byte) (admission.Report, bool) {
	var said struct {
		Slots    int    `json:"slots"`
		State    string `json:"state"`
		Instance string `json:"instance"`
	}
	if err := json.Unmarshal(body, &said); err != nil {
		return admission.Report{}, false
	}
	state, ok := load.ParseState(said.State)
	return admission.Report{Instance: said.Instance, State: state, Slots: said.Slots}, ok
}

// checkCrash finds out, once at a time, whether the target's process ended.
func (t *localTarget) checkCrash(address string) {
	t.mu.Lock()
	running := t.checking
	t.checking = true
	t.mu.Unlock()
	if running {
		return
	}
	go func() {
		time.Sleep(crashCheckDelay)
		t.probe(address)
		t.mu.Lock()
		t.checking = false
		t.mu.Unlock()
	}()
}

// probe dials the target. A refused connection proves that its process ended.
func (t *localTarget) probe(address string) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	if !refused(err) {
		return
	}
	now := time.Now()
	crash := t.proxy.admission.TargetLost(true, now)
	if crash != nil {
		_ = level.Warn(t.logger).Log("msg", "target crashed", "address", address, "instance", crash.Instance, "running", len(crash.InFlight))
	}
	t.proxy.reportCrash(crash, now)
	t.publish()
}

// refused reports whether nobody listens at the other end.
func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
