// Command vtstandin runs stand-ins for what surrounds verbenatrestle: the
// platform, targets, and the load of callers. They serve the demo, tests and
// measurements.
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
	subcommands.Register(&platformCommand{}, "")
	subcommands.Register(&targetCommand{}, "")
	subcommands.Register(&loadCommand{}, "")
	subcommands.Register(&oracleCommand{}, "")
	for _, command := range soakCommands() {
		subcommands.Register(command, "soak")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// newLogger returns a logger of JSON lines to the standard error.
func newLogger(component string) log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(os.Stderr))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "component", component)
}
