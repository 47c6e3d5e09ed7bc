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
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&serveCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	subcommands.Register(&traceCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}

// newLogger returns a logger of JSON lines on standard error.
func newLogger() log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(os.Stderr))
	return log.With(logger, "time", log.DefaultTimestampUTC)
}
