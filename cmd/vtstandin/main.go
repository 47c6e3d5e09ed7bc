// Command vtstandin runs stand-ins for the systems around verbenatrestle: the
// platform, the targets, and the callers. They are used by the demo, tests and
// measurements.
package main

import (
	"github.com/go-kit/log"
	"github.com/google/subcommands"

	"verbenatrestle/internal/program"
)

func main() {
	program.Run(
		program.Group{Commands: []subcommands.Command{&platformCommand{}, &targetCommand{}, &loadCommand{}, &oracleCommand{}}},
		program.Group{Name: "soak", Commands: soakCommands()},
	)
}

// newLogger returns the logger of a stand-in. component is the name of its command.
func newLogger(component string) log.Logger {
	return log.With(program.Logger(), "component", component)
}
