// Command vtnode runs one node of verbenatrestle, the load balancer: a small
// process beside each target.
//
// Usage:
//
//	vtnode run -settings node.yaml
//	vtnode serve
//	vtnode check -settings node.yaml [-serve]
//	vtnode trace ID FILE...
//	vtnode status ADDRESS...
//
// SIGTERM and SIGINT start a planned stop: the node hands over its ownerships,
// finishes the requests in flight, and exits with 0.
package main

import (
	"github.com/google/subcommands"

	"verbenatrestle/internal/program"
)

func main() {
	program.Run(program.Group{Commands: []subcommands.Command{
		&runCommand{}, &serveCommand{}, &checkCommand{}, &traceCommand{}, &statusCommand{},
	}})
}
