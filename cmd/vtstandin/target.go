package main

import (
	"context"
	"flag"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"verbenatrestle/internal/standin/target"
)

// crashStatus is the exit status of a target process that crashed.
const crashStatus = 3

// targetCommand runs one or several stand-in targets.
type targetCommand struct {
	options target.Options
	count   int
}

func (*targetCommand) Name() string     { return "target" }
func (*targetCommand) Synopsis() string { return "run a target" }
func (*targetCommand) Usage() string {
	return "target -address IP:PORT -organisation NAME -service NAME [-announce URL] [flags]\n" +
		"POST /control injects faults, GET /stats and /journal return counters and runs.\n" +
		"On SIGTERM it requests a drain from the node, and ends when no requests are left.\n"
}

func (c *targetCommand) SetFlags(f *flag.FlagSet) {
	o := &c.options
	f.StringVar(&o.Address, "address", "127.0.0.1:8000", "address to listen on, `IP:port`")
	f.StringVar(&o.Organisation, "organisation", "", "`name` of the organisation")
	f.StringVar(&o.Service, "service", "", "`name` of the service")
	f.StringVar(&o.AnnounceURL, "announce", "", "base `URL` of the node's announce listener")
	f.IntVar(&o.Slots, "slots", target.DefaultSlots, "number of requests that it runs at once")
	f.IntVar(&o.QueueLength, "queue", 0, "maximum number of requests that wait for a slot; 0 means four times the slots, -1 none")
	f.IntVar(&o.MaxConnections, "connections", target.DefaultMaxConnections, "maximum number of open connections")
	f.IntVar(&o.ColdLimit, "cold-limit", 0, "number of requests that it can run at once when cold; 0 means 4, or the slots if fewer")
	f.IntVar(&o.WarmupResponses, "warm-answers", target.DefaultWarmupResponses, "number of responses after which it is warm")
	f.BoolVar(&o.StartWarm, "start-warm", false, "start warm")
	f.Float64Var(&o.ColdFactor, "cold-factor", target.DefaultColdFactor, "factor of the service time when cold")
	f.DurationVar(&o.ColdGrace, "cold-grace", target.DefaultColdGrace, "time after becoming cold by /control in which it sheds excess requests instead of collapsing")
	f.DurationVar(&o.StallTime, "stall", target.DefaultStallTime, "time for which it stalls after a collapse")
	f.DurationVar(&o.ServiceTime, "service-time", target.DefaultServiceTime, "mean service time")
	f.DurationVar(&o.ConnectionSetupTime, "open-cost", target.DefaultConnectionSetupTime, "time that accepting a connection takes")
	f.DurationVar(&o.LoadReportLag, "lag", 0, "period at which the response of /load is updated; 0 means always current")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the service times")
	f.StringVar(&o.CollectorURL, "journal", "", "`URL` of a collector that each run is posted to before it begins")
	f.StringVar(&o.OracleAddress, "oracle", "", "`IP:port` of an oracle to report the true load to")
	f.StringVar(&o.NodeName, "node", "", "`name` of the node beside the target, for the oracle")
	f.DurationVar(&o.DrainTimeout, "drain-wait", target.DefaultDrainTimeout, "timeout of the drain by the node")
	f.IntVar(&c.count, "count", 1, "number of targets, on consecutive IP addresses; the announce URLs advance likewise")
}

func (c *targetCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	logger := newLogger("target")
	group, ctx := errgroup.WithContext(ctx)
	for i := range c.count {
		t, err := c.newTarget(i, logger)
		if err != nil {
			level.Error(logger).Log("msg", "target", "err", err)
			return subcommands.ExitUsageError
		}
		group.Go(func() error { return t.Run(ctx) })
	}
	if err := group.Wait(); err != nil {
		level.Error(logger).Log("msg", "target", "err", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// newTarget returns the target whose IP address is i after the first one. A crash
// ends the process if it runs only this target.
func (c *targetCommand) newTarget(i int, logger log.Logger) (*target.Target, error) {
	options := c.options
	address, err := addToIP(options.Address, i)
	if err != nil {
		return nil, err
	}
	options.Address = address
	if options.AnnounceURL != "" {
		if options.AnnounceURL, err = addToURL(options.AnnounceURL, i); err != nil {
			return nil, err
		}
	}
	options.Seed += uint64(i)
	options.Logger = log.With(logger, "address", address)
	if c.count == 1 {
		options.OnCrash = func() { os.Exit(crashStatus) }
	}
	return target.New(options)
}

// addToIP adds a number to the IP address in "IP:port".
func addToIP(address string, by int) (string, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", errors.Wrap(err, "parse address")
	}
	ip := parsed.Addr()
	for range by {
		ip = ip.Next()
	}
	return netip.AddrPortFrom(ip, parsed.Port()).String(), nil
}

func addToURL(text string, by int) (string, error) {
	parsed, err := url.Parse(strings.TrimSuffix(text, "/"))
	if err != nil {
		return "", errors.Wrap(err, "parse announce URL")
	}
	parsed.Host, err = addToIP(parsed.Host, by)
	return parsed.String(), err
}
