package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"

	"verbenatrestle/gateway"
	"verbenatrestle/platform"
)

// serveCommand runs a node on a platform that provides the settings file.
type serveCommand struct {
	settings string
}

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run a node on a prepared platform" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string { return "serve [-settings FILE]\n" }

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", settingsPath(), "YAML `file` of the node's settings")
}

// settingsPath returns the path at which the platform provides the settings file.
func settingsPath() string {
	if path := os.Getenv(platform.SettingsPathVariable); path != "" {
		return path
	}
	return platform.DefaultSettingsPath
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := gateway.LoadSettings(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "vtnode:", err)
		return subcommands.ExitUsageError
	}
	debug.SetMemoryLimit(settings.Limits.HeapLimit())
	n, err := gateway.New(settings, os.Stdout)
	if err == nil {
		changed := make(chan os.Signal, 1)
		signal.Notify(changed, syscall.SIGHUP)
		go n.WatchSettings(ctx, c.settings, changed)
		err = n.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "vtnode:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// checkServe checks a settings file of serveCommand.
func checkServe(path string) subcommands.ExitStatus {
	settings, err := gateway.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "vtnode:", err)
		return subcommands.ExitUsageError
	}
	fmt.Printf("%s: settings of node %s are valid\n", path, settings.Name)
	return subcommands.ExitSuccess
}
