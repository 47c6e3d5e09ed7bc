package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"verbenatrestle/internal/soak"
	"verbenatrestle/platform/standin"
)

// soakCommand is one of the programs of the fault soak. They differ in their
// flags and what they run.
type soakCommand struct {
	name, synopsis string
	flags          func(f *flag.FlagSet)
	run            func(ctx context.Context) error
}

// Name implements subcommands.Command.
func (c *soakCommand) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *soakCommand) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *soakCommand) Usage() string { return c.name + " FLAGS\n" }

// SetFlags implements subcommands.Command.
func (c *soakCommand) SetFlags(f *flag.FlagSet) { c.flags(f) }

// Execute implements subcommands.Command.
func (c *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "vtstandin:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// soakCommands returns the programs of the fault soak.
func soakCommands() []subcommands.Command {
	return []subcommands.Command{storeCommand(), serverCommand(), proxyCommand(), callersCommand(), judgeCommand(), controlCommand(), operatorCommand()}
}

// storeCommand runs a metadata store; POST /faults on the control address
// changes how it misbehaves.
func storeCommand() *soakCommand {
	var address, control string
	return &soakCommand{
		name: "store", synopsis: "run a stand-in of the metadata store, for the soak",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&address, "listen", "", "`IP:port` of the store")
			f.StringVar(&control, "control", "", "`IP:port` for faults")
		},
		run: func(ctx context.Context) error {
			store := standin.NewStore()
			faults := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var f standin.Faults
				if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
					http.Error(w, err.Error(), http.StatusBadRequest)
					return
				}
				store.SetFaults(f)
			})
			return serveBoth(ctx, address, store, control, faults)
		},
	}
}

func serveBoth(ctx context.Context, address string, handler http.Handler, control string, controls http.Handler) error {
	if err := standin.StartServer(ctx, address, handler); err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	if err := standin.StartServer(ctx, control, controls); err != nil {
		return errors.Wrapf(err, "listen on %s", control)
	}
	<-ctx.Done()
	return nil
}

// drainTime is how long a target serves on after its leave was acknowledged.
const drainTime = 2500 * time.Millisecond

// serverCommand runs a target that writes each run as a line before it starts.
func serverCommand() *soakCommand {
	var options standin.TargetOptions
	var address string
	return &soakCommand{
		name: "server", synopsis: "run a stand-in of a target that reports to its node, for the soak",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&address, "listen", "", "`IP:port` of the target")
			f.StringVar(&options.Instance, "instance", "", "`name` of this life")
			f.StringVar(&options.Service, "service", "", "service `name`")
			f.StringVar(&options.DataCentre, "dc", "", "data centre `name`")
			f.StringVar(&options.ReportAddress, "node", "", "`IP:port` of the node's listener for reports")
			f.IntVar(&options.Slots, "slots", 8, "requests at once")
			f.DurationVar(&options.RunTime, "work", 20*time.Millisecond, "time of a run")
			f.DurationVar(&options.ReportInterval, "every", 500*time.Millisecond, "time between reports")
		},
		run: func(ctx context.Context) error { return runServer(ctx, options, address) },
	}
}

func runServer(ctx context.Context, options standin.TargetOptions, address string) error {
	target := standin.NewTarget(options)
	encoder := json.NewEncoder(os.Stdout)
	target.OnRun(func(run standin.Run, acked time.Time) {
		line := soak.RunRecord{ID: run.ID, Instance: options.Instance, Service: options.Service, Request: run.RequestURI, StartMillis: run.StartTime.UnixMilli()}
		line.Request = "POST " + run.RequestURI + " " + run.Body
		if !acked.IsZero() {
			line.DrainAckedMillis = acked.UnixMilli()
		}
		_ = encoder.Encode(line) // a run that is not written shows as a made-up answer
	})
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	if err := standin.StartServer(serving, address, target); err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	reporting, end := context.WithCancel(ctx)
	defer end()
	target.ReportPeriodically(reporting, address)
	if err := target.SendReport(address, true); err != nil {
		return errors.Wrap(err, "report the leave")
	}
	time.Sleep(drainTime)
	return errors.Wrap(target.Deregister(), "leave")
}

// proxyCommand runs a proxy; the path of a request to the control address sets
// its mode.
func proxyCommand() *soakCommand {
	var address, to, control string
	return &soakCommand{
		name: "proxy", synopsis: "run a proxy that harms connections, for the soak",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&address, "listen", "", "`IP:port` of the proxy")
			f.StringVar(&to, "to", "", "`IP:port` behind it")
			f.StringVar(&control, "control", "", "`IP:port` for modes")
		},
		run: func(ctx context.Context) error {
			proxy := soak.NewProxy(to)
			listener, err := net.Listen("tcp4", address)
			if err != nil {
				return errors.Wrap(err, "listen")
			}
			go func() { _ = proxy.Serve(listener) }() // ends with the process
			if err := standin.StartServer(ctx, control, proxy); err != nil {
				return errors.Wrap(err, "listen")
			}
			<-ctx.Done()
			return nil
		},
	}
}

// controlTimeout bounds a call to a control address.
const controlTimeout = 2 * time.Second

// controlCommand makes one call to a program of the soak.
func controlCommand() *soakCommand {
	var method, url, body string
	return &soakCommand{
		name: "control", synopsis: "make one call to a program of the soak",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&method, "method", http.MethodPost, "HTTP `method`")
			f.StringVar(&url, "url", "", "`URL` to call")
			f.StringVar(&body, "body", "", "`text` of the body")
		},
		run: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, controlTimeout)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
			if err != nil {
				return errors.Wrap(err, "control")
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return errors.Wrap(err, "control")
			}
			return errors.Wrap(response.Body.Close(), "control")
		},
	}
}

// operatorCommand makes one change as the operator.
func operatorCommand() *soakCommand {
	var operator standin.Operator
	var services, out, back string
	var version int
	return &soakCommand{
		name: "operator", synopsis: "make one change at the store as the operator, for the soak",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&operator.StoreAddress, "store", "", "`IP:port` of the store")
			f.StringVar(&services, "services", "", "`name,...` of the services of a configuration")
			f.IntVar(&version, "version", 0, "`number` of the configuration to write")
			f.StringVar(&out, "out", "", "`data centre` to take out")
			f.StringVar(&back, "back", "", "`data centre` to take back")
		},
		run: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, controlTimeout)
			defer cancel()
			switch {
			case version > 0:
				return operator.PutConfiguration(ctx, version, strings.Split(services, ","))
			case out != "":
				return operator.TakeOutOfService(ctx, out)
			case back != "":
				return operator.ReturnToService(ctx, back)
			}
			return errors.New("operator: nothing to do")
		},
	}
}

// callersCommand drives load and writes what callers were told.
func callersCommand() *soakCommand {
	var nodes, services, prefix string
	var rate float64
	var timeout time.Duration
	return &soakCommand{
		name: "callers", synopsis: "drive load at nodes and note what was told, for the soak",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&nodes, "nodes", "", "`IP:port,...` of the nodes' listeners for callers")
			f.StringVar(&services, "services", "", "`name,...` of the services")
			f.StringVar(&prefix, "prefix", "r", "`text` at the start of each id")
			f.Float64Var(&rate, "rate", 100, "requests a second")
			f.DurationVar(&timeout, "timeout", 2*time.Second, "how long a caller waits")
		},
		run: func(ctx context.Context) error {
			callers := &soak.Callers{
				Nodes: strings.Split(nodes, ","), Services: strings.Split(services, ","),
				RequestsPerSecond: rate, Timeout: timeout, IDPrefix: prefix,
			}
			callers.Run(ctx, os.Stdout)
			return nil
		},
	}
}

// judgeCommand holds what was told against what ran.
func judgeCommand() *soakCommand {
	var dir string
	var calmFrom int64
	return &soakCommand{
		name: "judge", synopsis: "judge the records of a soak",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&dir, "dir", "", "`directory` with told-*, ran-* and node-* files")
			f.Int64Var(&calmFrom, "calm", 0, "Unix `millisecond` from which on nothing was disturbed")
		},
		run: func(context.Context) error { return judge(dir, calmFrom) },
	}
}

func judge(dir string, calmFrom int64) error {
	told, _ := filepath.Glob(filepath.Join(dir, "told-*")) // the pattern is well formed
	ran, _ := filepath.Glob(filepath.Join(dir, "ran-*"))
	logs, _ := filepath.Glob(filepath.Join(dir, "node-*"))
	verdict, err := soak.CheckFiles(told, ran, calmFrom)
	if err != nil {
		return err
	}
	if err := verdict.CheckLogs(logs); err != nil {
		return err
	}
	fmt.Printf("sent=%d answered=%d not_run=%d unknown=%d calm_served=%.3f broken=%d\n",
		verdict.Sent, verdict.Answered, verdict.NotRun, verdict.Unknown, verdict.AnsweredAfterFaults, len(verdict.Violations))
	for _, broken := range verdict.Violations {
		fmt.Println("BROKEN", broken)
	}
	if len(verdict.Violations) > 0 {
		return errors.Errorf("%d promises broken", len(verdict.Violations))
	}
	return nil
}
