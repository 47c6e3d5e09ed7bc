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
	// callTimeout bounds one call to a target or node.
	callTimeout = 5 * time.Second
	// afterRound is how long after the round's end the counters are read.
	afterRound = 200 * time.Millisecond
	// statFile has the machine's processor times.
	statFile = "/proc/stat"
)

// Runner disturbs the targets of a fleet for a round and reads its counters.
type Runner struct {
	Scenario Scenario
	Seed     uint64
	Duration time.Duration
	Targets  []Target
	// Nodes are the admin addresses of the nodes, "IP:port".
	Nodes []string
	// Token is the bearer token of the administration API.
	Token string
	// Capacity is the operations per second that all slots bear.
	Capacity float64
}

// RoundStats is what a round left in the counters.
type RoundStats struct {
	Targets []target.Stats `json:"targets"`
	// Counters holds the sums over all nodes of what each counter grew by.
	Counters map[string]float64 `json:"counters"`
	// CPUBusy is the share of the machine's processor time that was in use.
	CPUBusy float64 `json:"busy"`
	// Seconds is the time over which the counters grew.
	Seconds float64 `json:"seconds"`
	// Capacity is the operations per second that all slots bear.
	Capacity float64 `json:"capacity"`
}

// Run watches one round, which begins now.
func (w *Runner) Run(ctx context.Context) (*RoundStats, error) {
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	if err := w.tellAll(ctx, client, control{ResetStats: true}); err != nil {
		return nil, err
	}
	began := time.Now()
	before, err := w.counters(ctx, client)
	if err != nil {
		return nil, err
	}
	busyBefore, totalBefore, err := processorTimes()
	if err != nil {
		return nil, err
	}
	if err := w.disturb(ctx, client, began); err != nil {
		return nil, err
	}
	busyAfter, totalAfter, err := processorTimes()
	if err != nil {
		return nil, err
	}
	watched := &RoundStats{Capacity: w.Capacity, CPUBusy: (busyAfter - busyBefore) / max(totalAfter-totalBefore, 1)}
	sleepUntil(ctx, began.Add(w.Duration+afterRound))
	err = w.read(ctx, client, watched, before)
	watched.Seconds = time.Since(began).Seconds()
	return watched, err
}

// disturb plays the schedule until the round ends, and then calms all targets.
func (w *Runner) disturb(ctx context.Context, client *http.Client, began time.Time) error {
	for _, e := range schedule(w.Scenario, w.Targets, w.Duration, w.Seed) {
		sleepUntil(ctx, began.Add(e.at))
		if err := tell(ctx, client, w.Targets[e.target].Address, e.change); err != nil {
			return err
		}
	}
	sleepUntil(ctx, began.Add(w.Duration))
	return w.tellAll(ctx, client, control{SlowFactor: new(1.0), FailFast: new(false)})
}

// read adds to watched what targets and nodes counted.
func (w *Runner) read(ctx context.Context, client *http.Client, watched *RoundStats, before map[string]float64) error {
	for _, p := range w.Targets {
		var stats target.Stats
		body, err := get(ctx, client, "http://"+p.Address+"/stats", "")
		if err != nil {
			return err
		}
		if err := json.Unmarshal(body, &stats); err != nil {
			return errors.Wrapf(err, "decode stats of target %s", p.Address)
		}
		watched.Targets = append(watched.Targets, stats)
	}
	after, err := w.counters(ctx, client)
	for name := range after {
		after[name] -= before[name]
	}
	watched.Counters = after
	return err
}

func (w *Runner) tellAll(ctx context.Context, client *http.Client, c control) error {
	return tellAll(ctx, client, w.Targets, c)
}

// SetServiceTime sets the mean service time of targets.
func SetServiceTime(ctx context.Context, places []Target, mean time.Duration) error {
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	return tellAll(ctx, client, places, control{ServiceMs: new(mean.Seconds() * 1e3)})
}

func tellAll(ctx context.Context, client *http.Client, places []Target, c control) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range places {
		group.Go(func() error { return tell(ctx, client, p.Address, c) })
	}
	return group.Wait()
}

// counters returns the sums of the nodes' counters by name.
func (w *Runner) counters(ctx context.Context, client *http.Client) (map[string]float64, error) {
	sums := make(map[string]float64)
	for _, node := range w.Nodes {
		body, err := get(ctx, client, "http://"+node+"/metrics", w.Token)
		if err != nil {
			return nil, err
		}
		addMetrics(sums, body)
	}
	return sums, nil
}

// addMetrics adds the values of metrics in the Prometheus text form.
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

func tell(ctx context.Context, client *http.Client, address string, c control) error {
	body, err := json.Marshal(c)
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
		return nil, errors.Wrapf(err, "read answer of %s", r.URL)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s %s: status %d: %s", r.Method, r.URL, resp.StatusCode, body)
	}
	return body, nil
}

// processorTimes returns the machine's busy and whole processor time, in ticks.
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
		if i != idleField && i != waitField {
			busy += ticks
		}
	}
	return busy, total, nil
}

// idleField and waitField are the places of idle times in the first line of
// statFile.
const (
	idleField = 3
	waitField = 4
)

func sleepUntil(ctx context.Context, t time.Time) {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
