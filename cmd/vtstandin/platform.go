package main

import (
	"context"
	"flag"
	"net/http"

	"github.com/go-kit/log/level"
	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"verbenatrestle/internal/standin/platform"
)

// platformCommand runs the stand-in platform.
type platformCommand struct {
	address string
	options platform.Options
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "run the platform's object API in memory" }
func (*platformCommand) Usage() string {
	return "platform -address IP:PORT [flags]\n" +
		"POST /control switches misbehaviour, GET /stats counts calls.\n"
}

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "127.0.0.1:9000", "address to listen on, `IP:port`")
	f.Float64Var(&c.options.ReadsPerSecond, "reads", platform.DefaultReadsPerSecond, "rate of reads and watches per `second`")
	f.Float64Var(&c.options.WritesPerSecond, "writes", platform.DefaultWritesPerSecond, "rate of writes per `second`")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	logger := newLogger("platform")
	server := &http.Server{Addr: c.address, Handler: platform.NewServer(c.options).Handler()}
	if err := serve(ctx, server); err != nil {
		level.Error(logger).Log("msg", "platform", "err", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// serve serves until the context ends. It does not wait for calls in flight.
func serve(ctx context.Context, server *http.Server) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.ListenAndServe()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "listen on %s", server.Addr)
}
