package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"verbenatrestle/internal/capacity"
)

// snapshotCommand appends a snapshot of a fleet to a file. See package capacity.
type snapshotCommand struct {
	processes string
	platform  string
	phase     string
	values    string
	out       string
	size      int
}

func (*snapshotCommand) Name() string     { return "snapshot" }
func (*snapshotCommand) Synopsis() string { return "read the resource usage of the nodes of a fleet" }
func (*snapshotCommand) Usage() string {
	return "snapshot -places FILE -platform IP:PORT -phase NAME -out FILE [-values NAME=NUMBER,...]\n" +
		"The file of -places holds one node per line: name, PID and administration address.\n" +
		"The environment variable VT_TOKEN holds the token of the administration API.\n"
}

func (c *snapshotCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.processes, "places", "", "`file` with the nodes")
	f.StringVar(&c.platform, "platform", "", "`IP:port` of the stand-in platform")
	f.StringVar(&c.phase, "phase", "", "`name` of the phase")
	f.StringVar(&c.values, "values", "", "additional measured values, `name=number,...`")
	f.IntVar(&c.size, "size", 0, "number of nodes of the fleet, if -places lists only some of them")
	f.StringVar(&c.out, "out", "", "`file` to append the snapshot to")
}

func (c *snapshotCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(c.run(ctx))
}

func (c *snapshotCommand) run(ctx context.Context) error {
	file, err := os.Open(c.processes)
	if err != nil {
		return errors.Wrap(err, "open file of nodes")
	}
	defer file.Close()
	processes, err := capacity.ReadNodeProcesses(file)
	if err != nil {
		return err
	}
	values, err := parseValues(c.values)
	if err != nil {
		return err
	}
	sampler := capacity.Sampler{Processes: processes, Platform: c.platform, Token: os.Getenv("VT_TOKEN")}
	s, err := sampler.Snapshot(ctx)
	if err != nil {
		return err
	}
	s.Phase = c.phase
	if c.size > 0 {
		s.NodeCount = c.size
	}
	s.Values = values
	return appendJSON(c.out, s)
}

func parseValues(list string) (map[string]float64, error) {
	out := make(map[string]float64)
	for _, item := range strings.FieldsFunc(list, func(r rune) bool { return r == ',' }) {
		name, text, _ := strings.Cut(item, "=")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "value %s", name)
		}
		out[name] = value
	}
	return out, nil
}

func appendJSON(path string, value any) error {
	out, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open snapshots")
	}
	if err := json.NewEncoder(out).Encode(value); err != nil {
		_ = out.Close()
		return errors.Wrap(err, "write snapshot")
	}
	return errors.Wrap(out.Close(), "write snapshot")
}

// capacityCommand prints the series of the snapshots in a file.
type capacityCommand struct{}

func (*capacityCommand) Name() string { return "capacity" }
func (*capacityCommand) Synopsis() string {
	return "print the resource usage of nodes by the size of the fleet"
}
func (*capacityCommand) Usage() string {
	return "capacity FILE\nThe file holds snapshots (vtbench snapshot).\n"
}
func (*capacityCommand) SetFlags(_ *flag.FlagSet) {}

func (*capacityCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(printCapacity(f.Arg(0)))
}

func printCapacity(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open snapshots")
	}
	defer file.Close()
	snapshots, err := capacity.ReadSnapshots(file)
	if err != nil {
		return err
	}
	series, err := capacity.ComputeSeries(snapshots)
	if err != nil {
		return err
	}
	for _, s := range series {
		fmt.Println(s)
	}
	fmt.Print(capacity.BoundsTable(series))
	return nil
}
