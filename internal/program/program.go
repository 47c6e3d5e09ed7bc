// Package program has what the daemons and tools share: the command line and
// the log that goes to standard error.
package program

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/google/subcommands"
)

// Group is a group of commands in the help text. The empty name stands for the
// main one.
type Group struct {
	Name     string
	Commands []subcommands.Command
}

// Run executes the command that the arguments name, and exits with its status.
// SIGTERM and SIGINT end the command's context.
func Run(groups ...Group) {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, group := range groups {
		for _, command := range group.Commands {
			subcommands.Register(command, group.Name)
		}
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// Logger returns a logger of JSON lines on standard error.
func Logger() log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(os.Stderr))
	return log.With(logger, "time", log.DefaultTimestampUTC)
}
