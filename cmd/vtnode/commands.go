package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/subcommands"

	"verbenatrestle/internal/program"
	"verbenatrestle/node"
)

// runCommand runs a node until SIGTERM or SIGINT.
type runCommand struct {
	settings string
	debug    bool
}

// Name implements subcommands.Command.
func (*runCommand) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*runCommand) Synopsis() string { return "run a node until SIGTERM" }

// Usage implements subcommands.Command.
func (*runCommand) Usage() string { return "run -settings FILE [-debug]\n" }

// SetFlags implements subcommands.Command.
func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "YAML `file` of the node's settings")
	f.BoolVar(&c.debug, "debug", false, "log debug lines as well")
}

// Execute implements subcommands.Command.
func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, ok := load(c.settings)
	if !ok {
		return subcommands.ExitUsageError
	}
	logger := c.logger(settings.Name)
	n, err := node.New(settings, logger)
	if err == nil {
		err = n.Run(ctx)
	}
	if err != nil {
		_ = level.Error(logger).Log("msg", "node ended", "err", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *runCommand) logger(name string) log.Logger {
	allowed := level.AllowInfo()
	if c.debug {
		allowed = level.AllowDebug()
	}
	return log.With(level.NewFilter(program.Logger(), allowed), "node", name)
}

// checkCommand checks a settings file.
type checkCommand struct {
	settings string
	serve    bool
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check a settings file" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string { return "check -settings FILE [-serve]\n" }

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.serve, "serve", false, "check settings for vtnode serve")
	f.StringVar(&c.settings, "settings", "", "YAML `file` of the node's settings")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.serve {
		return checkServe(c.settings)
	}
	settings, ok := load(c.settings)
	if !ok {
		return subcommands.ExitUsageError
	}
	fmt.Printf("%s: settings of node %s are valid\n", c.settings, settings.Name)
	return subcommands.ExitSuccess
}

// load reads and checks the settings. If it returns false, it has written the error
// to standard error.
func load(path string) (node.Settings, bool) {
	if path == "" {
		fmt.Fprintln(os.Stderr, "vtnode: -settings must name a file")
		return node.Settings{}, false
	}
	settings, err := node.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "vtnode:", err)
		return node.Settings{}, false
	}
	return settings, true
}
