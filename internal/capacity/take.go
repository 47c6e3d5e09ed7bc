package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// ticksPerSecond is the unit of processor times in /proc on Linux.
	ticksPerSecond = 100
	// takeTimeout bounds the reading of one node's metrics.
	takeTimeout = 10 * time.Second
	// takeAtOnce bounds how many nodes are read at once.
	takeAtOnce = 8
	// Places of fields in /proc/PID/stat after the command's name.
	userTicks, systemTicks, residentPages = 11, 12, 21
)

// NodeProcess says where to read one node.
type NodeProcess struct {
	// Name is the node's name.
	Name string
	// PID is the node's process.
	PID int
	// Admin is the admin address, "IP:port".
	Admin string
}

// ReadNodeProcesses reads places, one a line: name, PID and admin address.
func ReadNodeProcesses(r io.Reader) ([]NodeProcess, error) {
	var out []NodeProcess
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		var p NodeProcess
		if _, err := fmt.Sscan(scanner.Text(), &p.Name, &p.PID, &p.Admin); err != nil {
			return nil, errors.Wrapf(err, "line %d", len(out)+1)
		}
		out = append(out, p)
	}
	return out, errors.Wrap(scanner.Err(), "read places")
}

// Sampler takes snapshots of one fleet.
type Sampler struct {
	// Processes are the nodes.
	Processes []NodeProcess
	// Platform is the stand-in platform's address, "IP:port".
	Platform string
	// Token is the bearer token of the administration API.
	Token string
}

// Snapshot takes a snapshot. All processor times are read first and close together.
func (t Sampler) Snapshot(ctx context.Context) (Snapshot, error) {
	s := Snapshot{NodeCount: len(t.Processes), UnixSeconds: float64(time.Now().UnixMicro()) / 1e6}
	for _, p := range t.Processes {
		n, err := readProcess(p)
		if err != nil {
			return s, err
		}
		s.Nodes = append(s.Nodes, n)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(takeAtOnce)
	for i, p := range t.Processes {
		group.Go(func() error {
			body, err := t.get(ctx, p.Admin, "/metrics")
			s.Nodes[i].Metrics = parseMetrics(body)
			return errors.Wrapf(err, "read metrics of %s", p.Name)
		})
	}
	if err := group.Wait(); err != nil {
		return s, err
	}
	stats, err := t.get(ctx, t.Platform, "/stats")
	if err != nil {
		return s, errors.Wrap(err, "read the platform's counters")
	}
	return s, errors.Wrap(json.Unmarshal([]byte(stats), &s.Platform), "decode the platform's counters")
}

func (t Sampler) get(ctx context.Context, address, path string) (string, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), takeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+t.Token)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d", answer.StatusCode)
	}
	return string(body), err
}

// readProcess reads the processor time and the memory of one process.
func readProcess(p NodeProcess) (NodeUsage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID))
	if err != nil {
		return NodeUsage{}, errors.Wrapf(err, "read process of %s", p.Name)
	}
	cpu, resident, err := parseStat(string(data), os.Getpagesize())
	return NodeUsage{Name: p.Name, CPUSeconds: cpu, RSSBytes: resident}, errors.Wrapf(err, "read process of %s", p.Name)
}

// parseStat returns processor time in seconds and memory in bytes.
func parseStat(text string, pageBytes int) (cpu, resident float64, err error) {
	_, after, _ := strings.Cut(text, ") ")
	fields := strings.Fields(after)
	if len(fields) <= residentPages {
		return 0, 0, errors.New("too few fields")
	}
	values := make([]float64, 0, 3)
	for _, i := range []int{userTicks, systemTicks, residentPages} {
		v, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return 0, 0, errors.Wrapf(err, "field %d", i)
		}
		values = append(values, v)
	}
	return (values[0] + values[1]) / ticksPerSecond, values[2] * float64(pageBytes), nil
}

// parseMetrics returns the lines "name value"; it passes over others.
func parseMetrics(text string) map[string]float64 {
	out := make(map[string]float64)
	for line := range strings.Lines(text) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if !ok || strings.HasPrefix(name, "#") {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			out[name] = v
		}
	}
	return out
}
