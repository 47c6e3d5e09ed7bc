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

// snapshotCommand appends a snapshot of a fleet to a file.
type snapshotCommand struct {
	places   string
	platform string
	phase    string
	values   string
	out      string
	size     int
}

func (*snapshotCommand) Name() string     { return "snapshot" }
func (*snapshotCommand) Synopsis() string { return "read what the nodes of a fleet have used" }
func (*snapshotCommand) Usage() string {
	return "snapshot -places FILE -platform IP:PORT -phase NAME -out FILE [-values NAME=NUMBER,...]\n" +
		"The places are lines of name, PID and admin address. The environment variable\n" +
		"VT_TOKEN holds the token of the administration API.\n"
}

func (c *snapshotCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.places, "places", "", "`file` with the nodes")
	f.StringVar(&c.platform, "platform", "", "`IP:port` of the stand-in platform")
	f.StringVar(&c.phase, "phase", "", "`name` of the phase")
	f.StringVar(&c.values, "values", "", "figures measured elsewhere, `name=number,...`")
	f.IntVar(&c.size, "size", 0, "number of nodes of the fleet, if the places are not all of it")
	f.StringVar(&c.out, "out", "", "`file` that the snapshot is appended to")
}

func (c *snapshotCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exit(c.run(ctx))
}

func (c *snapshotCommand) run(ctx context.Context) error {
	file, err := os.Open(c.places)
	if err != nil {
		return errors.Wrap(err, "open places")
	}
	defer file.Close()
	places, err := capacity.ReadNodeProcesses(file)
	if err != nil {
		return err
	}
	values, err := parseValues(c.values)
	if err != nil {
		return err
	}
	taker := capacity.Sampler{Processes: places, Platform: c.platform, Token: os.Getenv("VT_TOKEN")}
	s, err := taker.Snapshot(ctx)
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

// capacityCommand prints what snapshots of fleets of several sizes say.
type capacityCommand struct{}

func (*capacityCommand) Name() string             { return "capacity" }
func (*capacityCommand) Synopsis() string         { return "print what nodes cost against the fleet's size" }
func (*capacityCommand) Usage() string            { return "capacity FILE\nReads snapshots.\n" }
func (*capacityCommand) SetFlags(_ *flag.FlagSet) {}

func (*capacityCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exit(printCapacity(f.Arg(0)))
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
	figures, err := capacity.ComputeSeries(snapshots)
	if err != nil {
		return err
	}
	for _, f := range figures {
		fmt.Println(f)
	}
	fmt.Print(capacity.BoundsTable(figures))
	return nil
}
