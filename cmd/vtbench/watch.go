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

// watchCommand runs one round: it injects faults and records counters. Another
// program generates the load.
type watchCommand struct {
	runner   bench.Runner
	scenario string
	targets  string
	nodes    string
	out      string
}

func (*watchCommand) Name() string { return "watch" }
func (*watchCommand) Synopsis() string {
	return "inject faults into targets for a round and read the counters"
}
func (*watchCommand) Usage() string {
	return "watch -scenario NAME -targets IP:PORT/SERVICE/DATACENTRE,... -nodes IP:PORT,... -out FILE [flags]\n" +
		"The environment variable VT_TOKEN holds the token of the administration API.\n"
}

func (c *watchCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.scenario, "scenario", string(bench.Steady), "`name` of the scenario")
	f.StringVar(&c.targets, "targets", "", "targets with their service and data centre, `IP:port/service/data centre,...`")
	f.StringVar(&c.nodes, "nodes", "", "admin addresses of the nodes, `IP:port,...`")
	f.Uint64Var(&c.runner.Seed, "seed", 1, "seed of the schedule")
	f.DurationVar(&c.runner.Duration, "duration", 0, "length of the round")
	f.Float64Var(&c.runner.Capacity, "capacity", 1, "capacity of all slots in operations per second")
	f.StringVar(&c.out, "out", "", "`file` for the counters of the round, in JSON")
}

func (c *watchCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(c.run(ctx))
}

func (c *watchCommand) run(ctx context.Context) error {
	c.runner.Scenario = bench.Scenario(c.scenario)
	c.runner.Nodes = strings.Split(c.nodes, ",")
	c.runner.Token = os.Getenv("VT_TOKEN")
	var err error
	if c.runner.Targets, err = parseTargets(c.targets); err != nil {
		return err
	}
	stats, err := c.runner.Run(ctx)
	if err != nil {
		return err
	}
	data, err := json.Marshal(stats)
	if err != nil {
		return errors.Wrap(err, "encode counters of the round")
	}
	return errors.Wrap(os.WriteFile(c.out, data, 0o644), "write counters of the round")
}

// parseTargets reads targets as "IP:port/service/data centre,...".
func parseTargets(list string) ([]bench.Target, error) {
	var targets []bench.Target
	for _, text := range strings.Split(list, ",") {
		parts := strings.Split(text, "/")
		if len(parts) != 3 {
			return nil, errors.Errorf("target %q is not IP:port/service/data centre", text)
		}
		targets = append(targets, bench.Target{Address: parts[0], Service: parts[1], DataCentre: parts[2]})
	}
	return targets, nil
}
