// Command vtnode runs one node of verbenatrestle: the small process beside a
// target.
//
// Usage:
//
//	vtnode run -settings node.yaml
//	vtnode serve
//	vtnode check -settings node.yaml [-serve]
//	vtnode trace ID FILE...
//
// SIGTERM and SIGINT start a planned stop: the node hands over what it owns,
// finishes what is in flight, and exits with 0.
package main

import (
	"github.com/google/subcommands"

	"verbenatrestle/internal/program"
)

func main() {
	program.Run(program.Group{Commands: []subcommands.Command{
		&runCommand{}, &serveCommand{}, &checkCommand{}, &traceCommand{},
	}})
}
