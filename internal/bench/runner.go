package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"verbenatrestle/internal/standin/target"
)

const (
	// callTimeout limits one call to a target or node.
	callTimeout = 5 * time.Second
	// counterDelay is the time between the end of a round and the reading of the
	// counters.
	counterDelay = 200 * time.Millisecond
	// statFile holds the processor times of the machine.
	statFile = "/proc/stat"
)

// Runner injects the faults of a scenario into the targets of a fleet for one
// round, and reads the counters of the fleet.
type Runner struct {
	// Scenario is the scenario of the round.
	Scenario Scenario
	// Seed determines the targets and times of the faults.
	Seed uint64
	// Duration is the length of the round.
	Duration time.Duration
	// Targets lists the targets of the fleet.
	Targets []Target
	// Nodes lists the administration addresses of the nodes, "IP:port".
	Nodes []string
	// Token is the bearer token of the administration API.
	Token string
	// Capacity is the capacity of all slots in operations per second.
	Capacity float64
}

// RoundStats holds the counters of a fleet for one round.
type RoundStats struct {
	// Targets holds the counters of each target.
	Targets []target.Stats `json:"targets"`
	// Counters holds the increase of each counter during the round, summed over
	// all nodes.
	Counters map[string]float64 `json:"counters"`
	// CPUBusy is the share of the machine's processor time that was in use.
	CPUBusy float64 `json:"busy"`
	// Seconds is the time between the two readings of the counters.
	Seconds float64 `json:"seconds"`
	// Capacity is the capacity of all slots in operations per second.
	Capacity float64 `json:"capacity"`
}

// Run runs one round, which begins when Run is called. It returns an error if a
// target or node does not respond.
func (r *Runner) Run(ctx context.Context) (*RoundStats, error) {
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	if err := r.sendControlToAll(ctx, client, control{ResetStats: true}); err != nil {
		return nil, err
	}
	began := time.Now()
	before, err := r.counters(ctx, client)
	if err != nil {
		return nil, err
	}
	busyBefore, totalBefore, err := processorTimes()
	if err != nil {
		return nil, err
	}
	if err := r.injectFaults(ctx, client, began); err != nil {
		return nil, err
	}
	busyAfter, totalAfter, err := processorTimes()
	if err != nil {
		return nil, err
	}
	stats := &RoundStats{Capacity: r.Capacity, CPUBusy: (busyAfter - busyBefore) / max(totalAfter-totalBefore, 1)}
	sleepUntil(ctx, began.Add(r.Duration+counterDelay))
	err = r.readStats(ctx, client, stats, before)
	stats.Seconds = time.Since(began).Seconds()
	return stats, err
}

// injectFaults follows the schedule until the round ends, and then removes the
// slowdowns and failures of all targets. Targets that became cold stay so.
func (r *Runner) injectFaults(ctx context.Context, client *http.Client, began time.Time) error {
	for _, e := range schedule(r.Scenario, r.Targets, r.Duration, r.Seed) {
		sleepUntil(ctx, began.Add(e.at))
		if err := sendControl(ctx, client, r.Targets[e.target].Address, e.change); err != nil {
			return err
		}
	}
	sleepUntil(ctx, began.Add(r.Duration))
	return r.sendControlToAll(ctx, client, control{SlowFactor: new(1.0), FailFast: new(false)})
}

// readStats adds the counters of targets and nodes to a RoundStats. The argument
// before holds the nodes' counters at the start of the round.
func (r *Runner) readStats(ctx context.Context, client *http.Client, into *RoundStats, before map[string]float64) error {
	for _, t := range r.Targets {
		var stats target.Stats
		body, err := get(ctx, client, "http://"+t.Address+"/stats", "")
		if err != nil {
			return err
		}
		if err := json.Unmarshal(body, &stats); err != nil {
			return errors.Wrapf(err, "decode stats of target %s", t.Address)
		}
		into.Targets = append(into.Targets, stats)
	}
	after, err := r.counters(ctx, client)
	for name := range after {
		after[name] -= before[name]
	}
	into.Counters = after
	return err
}

func (r *Runner) sendControlToAll(ctx context.Context, client *http.Client, change control) error {
	return sendControlToAll(ctx, client, r.Targets, change)
}

// SetServiceTime sets the mean service time of targets. It returns an error if one
// of them does not respond.
func SetServiceTime(ctx context.Context, targets []Target, mean time.Duration) error {
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	return sendControlToAll(ctx, client, targets, control{ServiceMs: new(mean.Seconds() * 1e3)})
}

func sendControlToAll(ctx context.Context, client *http.Client, targets []Target, change control) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, t := range targets {
		group.Go(func() error { return sendControl(ctx, client, t.Address, change) })
	}
	return group.Wait()
}

// counters returns the sums of the nodes' counters by name.
func (r *Runner) counters(ctx context.Context, client *http.Client) (map[string]float64, error) {
	sums := make(map[string]float64)
	for _, node := range r.Nodes {
		body, err := get(ctx, client, "http://"+node+"/metrics", r.Token)
		if err != nil {
			return nil, err
		}
		addMetrics(sums, body)
	}
	return sums, nil
}

// addMetrics adds the values of metrics in the Prometheus text format to sums.
func addMetrics(sums map[string]float64, text []byte) {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		number, err := strconv.ParseFloat(value, 64)
		if ok && err == nil {
			sums[name] += number
		}
	}
}

func sendControl(ctx context.Context, client *http.Client, address string, change control) error {
	body, err := json.Marshal(change)
	if err != nil {
		return errors.Wrap(err, "encode control")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/control", bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "control target %s", address)
	}
	_, err = call(client, r)
	return err
}

func get(ctx context.Context, client *http.Client, url, token string) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "get %s", url)
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	return call(client, r)
}

func call(client *http.Client, r *http.Request) ([]byte, error) {
	resp, err := client.Do(r)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", r.Method, r.URL)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "read response of %s", r.URL)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s %s: status %d: %s", r.Method, r.URL, resp.StatusCode, body)
	}
	return body, nil
}

// processorTimes returns the busy and the total processor time of the machine
// since its start, in clock ticks.
func processorTimes() (busy, total float64, err error) {
	data, err := os.ReadFile(statFile)
	if err != nil {
		return 0, 0, errors.Wrap(err, "read processor times")
	}
	line, _, _ := strings.Cut(string(data), "\n")
	for i, field := range strings.Fields(line)[1:] {
		ticks, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return 0, 0, errors.Wrapf(err, "parse %s", statFile)
		}
		total += ticks
		if i != idleField && i != ioWaitField {
			busy += ticks
		}
	}
	return busy, total, nil
}

// idleField and ioWaitField are the positions of the idle times in the first line
// of statFile.
const (
	idleField   = 3
	ioWaitField = 4
)

func sleepUntil(ctx context.Context, t time.Time) {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
