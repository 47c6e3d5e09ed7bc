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

// loadCommand drives load and checks the answers.
type loadCommand struct {
	config      load.Config
	ingresses   string
	journals    string
	mix         string
	mixFile     string
	collect     string
	reportFile  string
	minAnswered float64
	added       bool
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "drive load and check every answer" }
func (*loadCommand) Usage() string {
	return "load -ingress IP:PORT,... -mix NAME -rate N -duration D -journals IP:PORT,... [flags]\n" +
		"Prints progress to the standard error and, last, one line to the standard output.\n" +
		"Exit status: 0; 1 if a promise was broken, a journal could not be read, or too few\n" +
		"were answered; 2 if it could not be driven.\n"
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.ingresses, "ingress", "", "callers' addresses of nodes, `IP:port,...`, used in rotation")
	f.StringVar(&c.mix, "mix", "kodumala", "ready `mix`: kodumala or flavour-trials")
	f.StringVar(&c.mixFile, "mix-file", "", "YAML `file` with a mix, instead of -mix")
	f.Float64Var(&c.config.Rate, "rate", 500, "operations per second")
	f.DurationVar(&c.config.Duration, "duration", 0, "how long operations start")
	f.Uint64Var(&c.config.Seed, "seed", 1, "seed of the schedule and the operations")
	f.DurationVar(&c.config.Timeout, "timeout", load.DefaultTimeout, "bound on one send")
	f.IntVar(&c.config.MaxAttempts, "max-sends", load.DefaultMaxAttempts, "bound on the sends of an operation")
	f.DurationVar(&c.config.RetryAfterCap, "retry-after-cap", load.DefaultRetryAfterCap, "bound on the wait for Retry-After")
	f.Float64Var(&c.config.Duplicates, "duplicates", load.DefaultDuplicates, "share of filings sent twice at once; -1 means none")
	f.StringVar(&c.journals, "journals", "", "addresses of targets whose journals are read, `IP:port,...`")
	f.StringVar(&c.collect, "collect", "", "`IP:port` to take runs from targets on, instead of -journals")
	f.StringVar(&c.reportFile, "report", "", "`file` for the report in JSON")
	f.BoolVar(&c.added, "added", false, "print what each class took beyond the targets' own time")
	f.Float64Var(&c.minAnswered, "min-answered", 0, "share of operations that must be answered")
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
	for _, unread := range report.UnreadJournals {
		fmt.Println("unread journal:", unread)
	}
	if report.FalseNotRun > 0 {
		fmt.Printf("lied=%d keys=%s\n", report.FalseNotRun, strings.Join(report.FalseNotRunKeys, ","))
	}
	if report.DuplicateExecutions > 0 {
		fmt.Printf("doubled keys=%s\n", strings.Join(report.DuplicateExecutionKeys, ","))
	}
	if c.added {
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
