package main

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"

	"verbenatrestle/internal/bench"
)

// tuneCommand sets the service time of targets.
type tuneCommand struct {
	targets     string
	serviceTime time.Duration
}

func (*tuneCommand) Name() string     { return "tune" }
func (*tuneCommand) Synopsis() string { return "set the service time of targets" }
func (*tuneCommand) Usage() string {
	return "tune -targets IP:PORT/SERVICE/DATACENTRE,... -service-time DURATION\n"
}

func (c *tuneCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.targets, "targets", "", "targets, `IP:port/service/data centre,...`")
	f.DurationVar(&c.serviceTime, "service-time", 0, "mean service time")
}

func (c *tuneCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	targets, err := parseTargets(c.targets)
	if err != nil {
		return exitStatus(err)
	}
	return exitStatus(bench.SetServiceTime(ctx, targets, c.serviceTime))
}
