package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"verbenatrestle/connection/load"
	"verbenatrestle/internal/neterr"
	"verbenatrestle/internal/wait"
	"verbenatrestle/process/admission"
	"verbenatrestle/version"
)

const (
	// targetInterval is the interval at which the node checks the state of its
	// target and its connections to it.
	targetInterval = 20 * time.Millisecond
	// loadPollInterval is the interval of load polls of the target.
	loadPollInterval = time.Second
	// loadPollTimeout is the timeout of a load poll.
	loadPollTimeout = 500 * time.Millisecond
	// announceTimeout is the time without an announcement after which a target
	// counts as lost.
	announceTimeout = 4 * time.Second
	// crashCheckDelay is the delay between a broken connection and the check for
	// a crash, so that all requests that broke together count as in flight at
	// the same crash.
	crashCheckDelay = 10 * time.Millisecond
	// maxLoadReportBytes bounds the response to a load poll.
	maxLoadReportBytes = 4 << 10
)

// localTarget is the target beside the node. It keeps the last announcement,
// maintains the connections to the target and detects crashes.
type localTarget struct {
	self   string
	proxy  *targetProxy
	logger log.Logger
	// measurement bounds the load polls.
	measurement *measurementBudget
	// onChange is called with the last announcement, within the configured limits, when
	// it or the state has changed.
	onChange func(announcement, load.State)

	// checkTimeout bounds the check of the instance on a new connection.
	checkTimeout time.Duration

	// announcing is held while an announcement replaces the one before, so that the
	// connections are those of the announcement that is kept.
	announcing sync.Mutex

	mu        sync.Mutex
	announced announcement
	// connections is the number of connections that the client may open.
	connections   int
	lastSeen      time.Time
	lastState     load.State
	lastPublished announcement
	config        *version.Snapshot
	checkingCrash bool
}

// announce processes an announcement and returns the state of the target. A new
// service, instance, address or number of connections, also one from a changed limit,
// replaces the connections. Outdated announcements are ignored.
func (t *localTarget) announce(a announcement) load.State {
	crash, now := t.replaceAnnouncement(a)
	t.proxy.reportCrash(crash, now)
	return t.publish()
}

// replaceAnnouncement keeps an announcement and the connections that belong to it. It returns
// the crash that follows from it, or nil, and the time of that.
func (t *localTarget) replaceAnnouncement(a announcement) (*admission.Crash, time.Time) {
	t.announcing.Lock()
	defer t.announcing.Unlock()
	now := time.Now()
	t.mu.Lock()
	target := t.withinLimits(a)
	if t.proxy.admission.Outdated(target) {
		current := t.announced.Instance
		t.mu.Unlock()
		_ = level.Info(t.logger).Log("msg", "outdated announcement", "service", a.service(), "instance", a.Instance,
			"started_ms", a.StartedMillis, "current", current)
		return nil, now
	}
	changed := t.announced.service() != a.service() || t.announced.Instance != a.Instance ||
		t.announced.Address != a.Address || t.connections != target.Connections
	t.announced = a
	t.connections = target.Connections
	t.lastSeen = now
	t.mu.Unlock()
	if changed {
		_ = level.Info(t.logger).Log("msg", "target announced", "service", a.service(), "address", a.Address, "instance", a.Instance)
		t.connect(a, target.Connections)
	}
	return t.proxy.admission.Announce(target, now), now
}

// withinLimits returns the announced target, reduced to the configured limits of its
// service. The caller holds mu.
func (t *localTarget) withinLimits(a announcement) admission.Target {
	var limits version.TargetLimits
	if t.config != nil {
		if service := t.config.Service(a.service()); service != nil {
			limits = service.TargetLimits
		}
	}
	within := func(announced, limit int) int {
		if limit > 0 {
			return min(announced, limit)
		}
		return announced
	}
	slots := within(a.Slots, limits.Slots)
	return admission.Target{
		Instance:      a.Instance,
		StartedMillis: a.StartedMillis,
		Slots:         slots,
		Connections:   within(a.Connections, limits.Connections),
		ColdLimit:     min(within(a.ColdLimit, limits.ColdLimit), slots),
	}
}

// connect replaces the connections by those to a new instance of the target.
func (t *localTarget) connect(a announcement, connections int) {
	client := newTargetClient(a.service(), a.Address, connections, t.proxy.admission.SetOpenConnections)
	client.instance, client.checkTimeout = a.Instance, t.checkTimeout
	client.onOtherInstance = func() { t.otherInstance(client) }
	if old := t.proxy.client.Swap(client); old != nil {
		old.close()
	}
	t.proxy.admission.SetOpenConnections(0)
}

// otherInstance reports the target as lost until the next announcement, because another
// process has taken its address.
func (t *localTarget) otherInstance(c *targetClient) {
	t.announcing.Lock()
	current := t.proxy.client.Load() == c
	if current {
		t.proxy.admission.TargetLost(false, time.Now())
	}
	t.announcing.Unlock()
	if current {
		_ = level.Warn(t.logger).Log("msg", "another instance at the target's address", "address", c.address, "instance", c.instance)
		t.publish()
	}
}

// service returns the announced service, or "" before the first announcement.
func (t *localTarget) service() version.ServiceID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announced.Service == "" {
		return ""
	}
	return t.announced.service()
}

// setConfig stores the configuration, whose limits of the target's service apply from
// the next announcement.
func (t *localTarget) setConfig(s *version.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.config = s
}

// drain makes the admission controller refuse new requests until another instance
// of the target announces itself. An empty instance stands for the current one.
func (t *localTarget) drain(instance string) {
	if t.proxy.admission.Drain(instance) {
		_ = level.Info(t.logger).Log("msg", "target draining", "instance", instance)
	}
	t.publish()
}

// waitIdle waits until no request is in flight at the target. It returns false if
// the context ends first.
func (t *localTarget) waitIdle(ctx context.Context) bool {
	for !t.proxy.admission.Idle() {
		if !wait.For(ctx, drainPoll) {
			return t.proxy.admission.Idle()
		}
	}
	return true
}

// publish returns the target's state and calls onChange if it or the announcement
// within the limits has changed.
func (t *localTarget) publish() load.State {
	state := t.proxy.admission.Sample(time.Now()).State
	t.mu.Lock()
	a := t.announced
	target := t.withinLimits(a)
	a.Slots, a.Connections, a.ColdLimit = target.Slots, target.Connections, target.ColdLimit
	changed := state != t.lastState || a != t.lastPublished
	t.lastState = state
	t.lastPublished = a
	t.mu.Unlock()
	if changed {
		t.onChange(a, state)
	}
	return state
}

// run maintains the connections and polls the load until the context ends.
func (t *localTarget) run(ctx context.Context) {
	nextPoll := time.Now().Add(loadPollInterval)
	wait.Every(ctx, targetInterval, func(now time.Time) {
		t.maintain(ctx, now)
		if now.After(nextPoll) {
			nextPoll = now.Add(loadPollInterval)
			go t.pollLoad(ctx)
		}
	})
}

// maintain publishes the state, opens and closes connections, and reports the
// target as lost if its announcements have stopped.
func (t *localTarget) maintain(ctx context.Context, now time.Time) {
	t.publish()
	client := t.proxy.client.Load()
	if client == nil {
		return
	}
	client.closeStale()
	client.preopen(ctx, t.proxy.admission.PlanConnections(now))
	t.mu.Lock()
	silent := now.Sub(t.lastSeen) > announceTimeout
	t.mu.Unlock()
	if silent {
		t.proxy.reportCrash(t.proxy.admission.TargetLost(false, now), now)
	}
}

// pollLoad requests the target's load report, which may only lower limits.
func (t *localTarget) pollLoad(ctx context.Context) {
	client := t.proxy.client.Load()
	if client == nil || !t.measurement.allowPoll(time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadPollTimeout)
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
	body, err := readUpTo(resp.Body, maxLoadReportBytes, -1)
	if err != nil || resp.StatusCode != http.StatusOK {
		return
	}
	if report, ok := parseReport(body); ok {
		t.proxy.admission.Report(report, time.Now())
	}
}

// parseReport parses the target's load report. It returns false if the report is
// malformed.
func parseReport(body []byte) (admission.Report, bool) {
	var report struct {
		Slots    int    `json:"slots"`
		State    string `json:"state"`
		Instance string `json:"instance"`
	}
	if err := json.Unmarshal(body, &report); err != nil {
		return admission.Report{}, false
	}
	state, ok := load.ParseState(report.State)
	return admission.Report{Instance: report.Instance, State: state, Slots: report.Slots}, ok
}

// checkCrash checks in a goroutine whether the target's process has ended. It
// does nothing while an earlier check is running.
func (t *localTarget) checkCrash(address string) {
	t.mu.Lock()
	running := t.checkingCrash
	t.checkingCrash = true
	t.mu.Unlock()
	if running {
		return
	}
	go func() {
		time.Sleep(crashCheckDelay)
		t.probe(address)
		t.mu.Lock()
		t.checkingCrash = false
		t.mu.Unlock()
	}()
}

// probe dials the target. If the connection is refused, the process has ended,
// and its loss is reported.
func (t *localTarget) probe(address string) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	if !neterr.IsRefused(err) {
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
