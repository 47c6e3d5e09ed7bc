// Command vtbench is the part of the measurements that is not a shell script:
// it disturbs stand-in targets for a round, and prints tables of the rounds.
// It starts no process; scripts/bench.sh does.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&watchCommand{}, "")
	subcommands.Register(&tuneCommand{}, "")
	subcommands.Register(&tableCommand{}, "")
	subcommands.Register(&roundsCommand{}, "")
	subcommands.Register(&snapshotCommand{}, "")
	subcommands.Register(&capacityCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}

// exit tells of an error, if there is one, and returns the exit status.
func exit(err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, "vtbench:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
