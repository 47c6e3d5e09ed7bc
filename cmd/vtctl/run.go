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
	// defaultTimeout bounds the talk with one address. A node waits for the
	// platform for less.
	defaultTimeout = 10 * time.Second

	formatText = "text"
	formatJSON = "json"
)

// options are the flags that all commands share, and where output goes.
type options struct {
	addresses string
	token     string
	// envToken is the token that counts without -token. It is no default of
	// the flag, since help would then show it.
	envToken string
	actor    string
	format   string
	timeout  time.Duration
	stdout   io.Writer
	stderr   io.Writer
}

// register defines the shared flags. What was set before stays the default.
func (o *options) register(f *flag.FlagSet) {
	f.StringVar(&o.addresses, "a", o.addresses, "administration `addresses`, comma separated")
	f.StringVar(&o.token, "token", o.token, "bearer `token`; else VT_TOKEN")
	f.StringVar(&o.actor, "actor", o.actor, "`name` of who makes a change; else USER")
	f.StringVar(&o.format, "o", o.format, "output `format`, text or json")
	f.DurationVar(&o.timeout, "timeout", o.timeout, "bound of the talk with one address")
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

// action is what one command does.
type action interface {
	// describe returns the command's name, a line on what it does, and its
	// arguments.
	describe() (name, synopsis, arguments string)
	// flags defines the flags that only this command has.
	flags(f *flag.FlagSet)
	// run runs the command. The error is a *failure or means a failure.
	run(ctx context.Context, o *options, args []string) error
}

// command makes an action a subcommands.Command.
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
