// Command vtbench is the part of the measurements that is not a shell script:
// it disturbs stand-in targets for a round, and prints tables of the rounds.
// It starts no process; scripts/bench.sh does.
package main

import (
	"fmt"
	"os"

	"github.com/google/subcommands"

	"verbenatrestle/internal/program"
)

func main() {
	program.Run(program.Group{Commands: []subcommands.Command{
		&watchCommand{}, &tuneCommand{}, &tableCommand{}, &roundsCommand{}, &snapshotCommand{}, &capacityCommand{},
	}})
}

// exitStatus tells of an error, if there is one, and returns the exit status.
func exitStatus(err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, "vtbench:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
