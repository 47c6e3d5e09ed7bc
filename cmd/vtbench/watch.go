package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"verbenatrestle/internal/bench"
)

// watchCommand watches one round.
type watchCommand struct {
	watcher  bench.Runner
	scenario string
	targets  string
	nodes    string
	out      string
}

func (*watchCommand) Name() string     { return "watch" }
func (*watchCommand) Synopsis() string { return "disturb targets for a round and read the counters" }
func (*watchCommand) Usage() string {
	return "watch -scenario NAME -targets IP:PORT/SERVICE/DATACENTRE,... -nodes IP:PORT,... -out FILE [flags]\n" +
		"The environment variable VT_TOKEN holds the token of the administration API.\n"
}

func (c *watchCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.scenario, "scenario", string(bench.Steady), "`name` of the scenario")
	f.StringVar(&c.targets, "targets", "", "targets with their service and data centre, `IP:port/service/data centre,...`")
	f.StringVar(&c.nodes, "nodes", "", "admin addresses of the nodes, `IP:port,...`")
	f.Uint64Var(&c.watcher.Seed, "seed", 1, "seed of the schedule")
	f.DurationVar(&c.watcher.Duration, "duration", 0, "length of the round")
	f.Float64Var(&c.watcher.Capacity, "capacity", 1, "operations per second that all slots bear")
	f.StringVar(&c.out, "out", "", "`file` for what the round left, in JSON")
}

func (c *watchCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exit(c.run(ctx))
}

func (c *watchCommand) run(ctx context.Context) error {
	c.watcher.Scenario = bench.Scenario(c.scenario)
	c.watcher.Nodes = strings.Split(c.nodes, ",")
	c.watcher.Token = os.Getenv("VT_TOKEN")
	var err error
	if c.watcher.Targets, err = parsePlaces(c.targets); err != nil {
		return err
	}
	watched, err := c.watcher.Run(ctx)
	if err != nil {
		return err
	}
	data, err := json.Marshal(watched)
	if err != nil {
		return errors.Wrap(err, "encode what the round left")
	}
	return errors.Wrap(os.WriteFile(c.out, data, 0o644), "write what the round left")
}

// parsePlaces reads targets as "IP:port/service/data centre,...".
func parsePlaces(list string) ([]bench.Target, error) {
	var places []bench.Target
	for _, text := range strings.Split(list, ",") {
		parts := strings.Split(text, "/")
		if len(parts) != 3 {
			return nil, errors.Errorf("target %q is not IP:port/service/data centre", text)
		}
		places = append(places, bench.Target{Address: parts[0], Service: parts[1], DataCentre: parts[2]})
	}
	return places, nil
}
