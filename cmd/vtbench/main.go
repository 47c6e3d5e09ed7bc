// Command vtbench supports the shell scripts that measure verbenatrestle: it
// injects faults into stand-in targets, takes snapshots of fleets, and prints
// tables of the results. It starts no processes; the scripts do.
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

// exitStatus writes an error, if there is one, to standard error and returns the
// exit status.
func exitStatus(err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, "vtbench:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
