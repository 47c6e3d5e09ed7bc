package main

import (
	"context"
	"flag"
	"io"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

const (
	// defaultAddress is the administration address that is used without -a.
	defaultAddress = "127.0.0.1:7003"
	// defaultTimeout limits the call to one address. It is longer than a node waits
	// for the platform.
	defaultTimeout = 10 * time.Second

	formatText = "text"
	formatJSON = "json"
)

// options holds the flags that all commands share, and the output streams.
type options struct {
	addresses string
	token     string
	// envToken is the token that is used without -token. It is not the default of
	// the flag, because the help would show it.
	envToken string
	actor    string
	format   string
	timeout  time.Duration
	stdout   io.Writer
	stderr   io.Writer
}

// register defines the shared flags. Values that are already set become the
// defaults, since the flags can precede and follow the name of the command.
func (o *options) register(f *flag.FlagSet) {
	f.StringVar(&o.addresses, "a", o.addresses, "administration `addresses`, comma separated")
	f.StringVar(&o.token, "token", o.token, "bearer `token`; the default is VT_TOKEN")
	f.StringVar(&o.actor, "actor", o.actor, "`name` of who makes a change; the default is USER")
	f.StringVar(&o.format, "o", o.format, "output `format`, text or json")
	f.DurationVar(&o.timeout, "timeout", o.timeout, "timeout of the call to one address")
}

// run runs one command line and returns the exit code.
func run(ctx context.Context, args []string, getenv func(string) string, stdout, stderr io.Writer) int {
	o := &options{
		addresses: defaultAddress,
		envToken:  getenv("VT_TOKEN"),
		actor:     getenv("USER"),
		format:    formatText,
		timeout:   defaultTimeout,
		stdout:    stdout,
		stderr:    stderr,
	}
	flags := flag.NewFlagSet("vtctl", flag.ContinueOnError)
	flags.SetOutput(stderr)
	o.register(flags)
	commander := newCommander(flags, o)
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		return exitUsage
	}
	return int(commander.Execute(ctx))
}

func newCommander(flags *flag.FlagSet, o *options) *subcommands.Commander {
	c := subcommands.NewCommander(flags, "vtctl")
	c.Output, c.Error = o.stdout, o.stderr
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	for _, action := range []action{
		&validate{}, &apply{}, &get{}, &history{}, &setAdminState{resource: dataCentre},
		&setAdminState{resource: target}, &state{}, &status{},
	} {
		c.Register(&command{action: action, options: o}, "")
	}
	return c
}

// action implements one command.
type action interface {
	// describe returns the name of the command, a one-line description, and its
	// arguments.
	describe() (name, synopsis, arguments string)
	// flags defines the flags of this command only.
	flags(f *flag.FlagSet)
	// run runs the command. An error that is not a *failure has the exit code
	// exitFailed.
	run(ctx context.Context, o *options, args []string) error
}

// command adapts an action to subcommands.Command.
type command struct {
	action  action
	options *options
}

// Name implements subcommands.Command.
func (c *command) Name() string {
	name, _, _ := c.action.describe()
	return name
}

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string {
	_, synopsis, _ := c.action.describe()
	return synopsis
}

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	name, synopsis, arguments := c.action.describe()
	return "vtctl [flags] " + name + " [flags] " + arguments + "\n  " + synopsis + "\n"
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.options.stderr)
	c.options.register(f)
	c.action.flags(f)
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.options.check()
	if err == nil {
		err = c.action.run(ctx, c.options, f.Args())
	}
	return subcommands.ExitStatus(c.options.report(err))
}

// check checks the shared flags.
func (o *options) check() error {
	if o.format != formatText && o.format != formatJSON {
		return usageError("-o %s is neither %s nor %s", o.format, formatText, formatJSON)
	}
	if o.timeout <= 0 {
		return usageError("-timeout %s is not above zero", o.timeout)
	}
	return nil
}
