package main

import (
	"context"
	"flag"
	"net"
	"net/http"

	"github.com/go-kit/log/level"
	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"verbenatrestle/internal/standin/oracle"
)

// oracleCommand runs the server that holds the true load of all targets.
type oracleCommand struct {
	address string
}

func (*oracleCommand) Name() string { return "oracle" }
func (*oracleCommand) Synopsis() string {
	return "serve the true load of all targets, for measurements"
}
func (*oracleCommand) Usage() string {
	return "oracle -address IP:PORT\n" +
		"Receives reports of targets (target -oracle) by UDP and serves GET / on the same address.\n"
}

func (c *oracleCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "127.0.0.1:9001", "address for UDP and HTTP, `IP:port`")
}

func (c *oracleCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		level.Error(newLogger("oracle")).Log("msg", "oracle", "err", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *oracleCommand) run(ctx context.Context) error {
	conn, err := net.ListenPacket("udp", c.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", c.address)
	}
	server := oracle.NewServer()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Receive(ctx, conn) })
	group.Go(func() error { return serve(ctx, &http.Server{Addr: c.address, Handler: server}) })
	return group.Wait()
}
