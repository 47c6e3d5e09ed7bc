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
	// ticksPerSecond converts processor times in /proc on Linux (USER_HZ).
	ticksPerSecond = 100
	// readTimeout limits the reading of one node's metrics.
	readTimeout = 10 * time.Second
	// maxConcurrentReads is the maximum number of nodes whose metrics are read at
	// once.
	maxConcurrentReads = 8
	// Positions of fields in /proc/PID/stat after the name of the command.
	userTicks, systemTicks, residentPages = 11, 12, 21
)

// NodeProcess identifies the process and the administration API of a node.
type NodeProcess struct {
	// Name is the node's name.
	Name string
	// PID is the ID of the node's process.
	PID int
	// Admin is the address of the administration API, "IP:port".
	Admin string
}

// ReadNodeProcesses reads one node per line: name, PID and administration
// address, separated by spaces.
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
	return out, errors.Wrap(scanner.Err(), "read node processes")
}

// Sampler takes snapshots of a fleet.
type Sampler struct {
	// Processes lists the nodes.
	Processes []NodeProcess
	// Platform is the address of the stand-in platform, "IP:port".
	Platform string
	// Token is the bearer token of the administration API.
	Token string
}

// Snapshot takes a snapshot without a phase. It first reads the processor times of
// all nodes, so that they belong to nearly the same time. It returns an error if
// any node or the platform cannot be read.
func (sampler Sampler) Snapshot(ctx context.Context) (Snapshot, error) {
	s := Snapshot{NodeCount: len(sampler.Processes), UnixSeconds: float64(time.Now().UnixMicro()) / 1e6}
	for _, p := range sampler.Processes {
		n, err := readProcess(p)
		if err != nil {
			return s, err
		}
		s.Nodes = append(s.Nodes, n)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for i, p := range sampler.Processes {
		group.Go(func() error {
			body, err := sampler.get(ctx, p.Admin, "/metrics")
			s.Nodes[i].Metrics = parseMetrics(body)
			return errors.Wrapf(err, "read metrics of %s", p.Name)
		})
	}
	if err := group.Wait(); err != nil {
		return s, err
	}
	stats, err := sampler.get(ctx, sampler.Platform, "/stats")
	if err != nil {
		return s, errors.Wrap(err, "read the platform's counters")
	}
	return s, errors.Wrap(json.Unmarshal([]byte(stats), &s.Platform), "decode the platform's counters")
}

func (sampler Sampler) get(ctx context.Context, address, path string) (string, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+sampler.Token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d", response.StatusCode)
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

// parseStat returns the processor time in seconds and the resident memory in bytes
// from the text of /proc/PID/stat.
func parseStat(text string, pageBytes int) (cpu, resident float64, err error) {
	// The name of the program stands in parentheses and may contain some itself.
	fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
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

// parseMetrics returns the values of the lines of the form "name value". It skips
// all other lines.
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
