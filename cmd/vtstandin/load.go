package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/go-kit/log/level"
	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"verbenatrestle/internal/standin/load"
)

// loadCommand generates load and checks the responses.
type loadCommand struct {
	config      load.Config
	ingresses   string
	journals    string
	mix         string
	mixFile     string
	collect     string
	reportFile  string
	minAnswered float64
	overhead    bool
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "generate load and check every response" }
func (*loadCommand) Usage() string {
	return "load -ingress IP:PORT,... -mix NAME -rate N -duration D -journals IP:PORT,... [flags]\n" +
		"Prints progress to standard error and finally a summary line to standard output.\n" +
		"Exit status: 0; 1 if an invariant was violated, a journal could not be read, or too\n" +
		"few operations were answered; 2 if the load could not be generated.\n"
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.ingresses, "ingress", "", "addresses on which nodes accept callers, `IP:port,...`, used in rotation")
	f.StringVar(&c.mix, "mix", "kodumala", "predefined `mix`: kodumala or flavour-trials")
	f.StringVar(&c.mixFile, "mix-file", "", "YAML `file` with a mix, instead of -mix")
	f.Float64Var(&c.config.Rate, "rate", 500, "operations per second")
	f.DurationVar(&c.config.Duration, "duration", 0, "time during which operations are started")
	f.Uint64Var(&c.config.Seed, "seed", 1, "seed of the schedule and the operations")
	f.DurationVar(&c.config.Timeout, "timeout", load.DefaultTimeout, "timeout of one attempt")
	f.IntVar(&c.config.MaxAttempts, "max-sends", load.DefaultMaxAttempts, "maximum number of attempts of an operation")
	f.DurationVar(&c.config.RetryAfterCap, "retry-after-cap", load.DefaultRetryAfterCap, "maximum delay that a Retry-After header can cause")
	f.Float64Var(&c.config.Duplicates, "duplicates", load.DefaultDuplicates, "share of filings sent twice at the same time; -1 means none")
	f.StringVar(&c.journals, "journals", "", "addresses of the targets whose journals are read, `IP:port,...`")
	f.StringVar(&c.collect, "collect", "", "`IP:port` on which targets post their runs, instead of -journals")
	f.StringVar(&c.reportFile, "report", "", "`file` for the report in JSON")
	f.BoolVar(&c.overhead, "added", false, "print the overhead of each class: latency less the target's own time")
	f.Float64Var(&c.minAnswered, "min-answered", 0, "lowest share of operations that must be answered")
}

func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	logger := newLogger("load")
	report, err := c.run(ctx)
	if err != nil {
		level.Error(logger).Log("msg", "load", "err", err)
		return subcommands.ExitUsageError
	}
	for _, reason := range slices.Sorted(maps.Keys(report.FailureReasons)) {
		fmt.Printf("sends without an answer: %d %s\n", report.FailureReasons[reason], reason)
	}
	for _, reason := range report.UnreadJournals {
		fmt.Println("unread journal:", reason)
	}
	if report.FalseNotRun > 0 {
		fmt.Printf("lied=%d keys=%s\n", report.FalseNotRun, strings.Join(report.FalseNotRunKeys, ","))
	}
	if report.DuplicateExecutions > 0 {
		fmt.Printf("doubled keys=%s\n", strings.Join(report.DuplicateExecutionKeys, ","))
	}
	if c.overhead {
		fmt.Print(report.OverheadTable(c.config.Mix))
	}
	fmt.Println(report.SummaryLine())
	if report.HasViolations() || report.AnsweredShare() < c.minAnswered {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *loadCommand) run(ctx context.Context) (*load.Report, error) {
	if err := c.complete(); err != nil {
		return nil, err
	}
	if c.collect != "" {
		c.config.Collector = load.NewCollector()
		server := &http.Server{Addr: c.collect, Handler: c.config.Collector}
		served := make(chan error, 1)
		go func() { served <- serve(context.Background(), server) }()
		defer func() {
			_ = server.Close()
			<-served
		}()
	}
	report, err := load.Run(ctx, c.config)
	if err != nil {
		return nil, err
	}
	return report, c.save(report)
}

func (c *loadCommand) complete() error {
	var err error
	c.config.Progress = os.Stderr
	c.config.Ingresses = split(c.ingresses)
	c.config.Journals = split(c.journals)
	if c.mixFile != "" {
		c.config.Mix, err = load.ReadMix(c.mixFile)
		return err
	}
	c.config.Mix, err = load.PredefinedMix(c.mix)
	return err
}

func (c *loadCommand) save(report *load.Report) error {
	if c.reportFile == "" {
		return nil
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	return errors.Wrap(os.WriteFile(c.reportFile, append(data, '\n'), 0o644), "write report")
}

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
