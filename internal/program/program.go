// Package program provides what all programs share: the command line and a logger
// to standard error.
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

// Group is a group of commands in the help text.
type Group struct {
	// Name is the heading of the group. Empty means the main group.
	Name string
	// Commands lists the commands of the group.
	Commands []subcommands.Command
}

// Run executes the command that the command line names, and exits with its
// status. SIGTERM and SIGINT cancel the context of the command. Only main may
// call it.
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

// Logger returns a logger that writes JSON lines to standard error. It is safe for
// concurrent use.
func Logger() log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(os.Stderr))
	return log.With(logger, "time", log.DefaultTimestampUTC)
}
