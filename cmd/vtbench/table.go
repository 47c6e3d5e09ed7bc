package main

import (
	"context"
	"flag"
	"os"
	"strings"

	"github.com/google/subcommands"

	"verbenatrestle/internal/bench"
)

// tableCommand prints the tables of a measurement.
type tableCommand struct {
	dir      string
	policies string
	fleet    bench.Fleet
}

func (*tableCommand) Name() string     { return "table" }
func (*tableCommand) Synopsis() string { return "print the tables and ratios of a measurement" }
func (*tableCommand) Usage() string {
	return "table -dir DIRECTORY -policies NAME,... -slots N\n" +
		"Each figure is the mean of a policy's rounds; peaks are the highest, overruns the sum.\n"
}

func (c *tableCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", "", "`directory` with the files of the rounds")
	f.StringVar(&c.policies, "policies", "", "`names` of the policies in the order of the rows")
	f.IntVar(&c.fleet.Slots, "slots", 0, "requests that one target runs at once")
	f.Float64Var(&c.fleet.MeasuringBudget, "measuring-budget", 0, "bytes a second that a node may spend on measuring")
}

func (c *tableCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	rounds, err := bench.ReadRounds(c.dir)
	if err != nil {
		return exit(err)
	}
	bench.PrintTables(os.Stdout, bench.Summarise(rounds), strings.Split(c.policies, ","), c.fleet)
	return subcommands.ExitSuccess
}
