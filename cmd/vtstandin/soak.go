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
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"verbenatrestle/internal/soak"
	"verbenatrestle/platform/standin"
)

// soakCommand is one of the commands of the fault soak. They differ in their flags
// and in the function that they run.
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

// soakCommands returns the commands of the fault soak.
func soakCommands() []subcommands.Command {
	return []subcommands.Command{storeCommand(), serverCommand(), proxyCommand(), callersCommand(), checkCommand(), controlCommand(), operatorCommand()}
}

// pathGoBack is the path at the store's control address that makes the store come back from
// an older copy, followed by the age of the copy in milliseconds.
const pathGoBack = "/go-back/"

// storeCommand runs a metadata store. A request to the control address with
// standin.Faults in JSON replaces its faults, or one to pathGoBack replaces its state.
func storeCommand() *soakCommand {
	var address, control string
	return &soakCommand{
		name: "store", synopsis: "run a stand-in of the metadata store, for the soak",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&address, "listen", "", "`IP:port` of the store")
			f.StringVar(&control, "control", "", "`IP:port` of the control address, which sets the faults")
		},
		run: func(ctx context.Context) error {
			store := standin.NewStore()
			faults := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if age, ok := strings.CutPrefix(r.URL.Path, pathGoBack); ok {
					millis, err := strconv.Atoi(age)
					if err != nil {
						http.Error(w, err.Error(), http.StatusBadRequest)
						return
					}
					store.GoBack(time.Duration(millis) * time.Millisecond)
					return
				}
				var f standin.Faults
				if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
					http.Error(w, err.Error(), http.StatusBadRequest)
					return
				}
				store.SetFaults(f)
			})
			return serveWithControl(ctx, address, store, control, faults)
		},
	}
}

func serveWithControl(ctx context.Context, address string, handler http.Handler, control string, controls http.Handler) error {
	if err := standin.StartServer(ctx, address, handler); err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	if err := standin.StartServer(ctx, control, controls); err != nil {
		return errors.Wrapf(err, "listen on %s", control)
	}
	<-ctx.Done()
	return nil
}

const (
	// drainTime is the time for which a target continues to serve after its drain was
	// acknowledged. It is longer than the 2 seconds in which nodes may still send
	// requests to it.
	drainTime = 4 * time.Second
	// drainAttempts bounds the reports of a drain that is not acknowledged, and
	// drainRetryInterval is the time between them.
	drainAttempts      = 8
	drainRetryInterval = 500 * time.Millisecond
	// lateReportDelay is the time from the acknowledgement of a drain to a report that the
	// target had made before, and lateReportRetryInterval the time between attempts to send it.
	lateReportDelay         = 700 * time.Millisecond
	lateReportRetryInterval = 100 * time.Millisecond
)

// serverCommand runs a target that writes a soak.RunRecord as a line of JSON when
// a run begins.
func serverCommand() *soakCommand {
	var options standin.TargetOptions
	var address string
	var deregisterFirst bool
	return &soakCommand{
		name: "server", synopsis: "run a stand-in of a target that reports to its node, for the soak",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&address, "listen", "", "`IP:port` of the target")
			f.StringVar(&options.Instance, "instance", "", "`name` of this instance")
			f.StringVar(&options.Service, "service", "", "service `name`")
			f.StringVar(&options.DataCentre, "dc", "", "data centre `name`")
			f.StringVar(&options.ReportAddress, "node", "", "`IP:port` of the node's listener for reports")
			f.IntVar(&options.Slots, "slots", 8, "number of requests that it runs at once")
			f.DurationVar(&options.RunTime, "work", 20*time.Millisecond, "duration of a run")
			f.DurationVar(&options.ColdDuration, "cold", 0, "time for which it is cold after its start")
			f.DurationVar(&options.ReportInterval, "every", 500*time.Millisecond, "time between reports")
			f.DurationVar(&options.ClockOffset, "clock", 0, "how far the time of day is ahead at its start")
			f.BoolVar(&deregisterFirst, "deregister-first", false, "leave by a deregistration alone, without a report of the drain")
		},
		run: func(ctx context.Context) error { return runServer(ctx, options, address, deregisterFirst) },
	}
}

func runServer(ctx context.Context, options standin.TargetOptions, address string, deregisterFirst bool) error {
	options.AnswersEarly, options.BrokenAnswer = soak.AnswersEarly, soak.BrokenAnswer
	target := standin.NewTarget(options)
	var mu sync.Mutex
	encoder := json.NewEncoder(os.Stdout)
	write := func(record soak.RunRecord) {
		mu.Lock()
		defer mu.Unlock()
		_ = encoder.Encode(record) // if the run is answered, a lost record shows up as the violation "made up"
	}
	target.OnRun(func(run standin.Run, drainAckedAt time.Time) {
		write(soak.NewRunRecord(&run, options.Instance, options.Service, drainAckedAt))
		if run.Body == soak.PoisonBody {
			os.Exit(crashStatus)
		}
	})
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	listener, err := soak.ListenTarget(serving, address, func() {
		write(soak.RunRecord{Instance: options.Instance, Service: options.Service, Malformed: true})
	})
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	standin.Serve(serving, listener, target)
	reporting, stopReporting := context.WithCancel(ctx)
	defer stopReporting()
	target.ReportPeriodically(reporting, address)
	late := target.DelayedReport(address)
	leave := func() error { return target.SendReport(address, true) }
	if deregisterFirst {
		leave = target.Deregister
	}
	if err := untilAcknowledged(leave); err != nil {
		return errors.Wrap(err, "report the drain")
	}
	go sendLate(late)
	time.Sleep(drainTime)
	return errors.Wrap(target.Deregister(), "leave")
}

// untilAcknowledged sends a report of the drain until a node acknowledges it.
func untilAcknowledged(send func() error) error {
	var err error
	for range drainAttempts {
		if err = send(); err == nil {
			return nil
		}
		time.Sleep(drainRetryInterval)
	}
	return err
}

// sendLate sends a report after lateReportDelay, until it is accepted.
func sendLate(send func() error) {
	time.Sleep(lateReportDelay)
	for send() != nil {
		time.Sleep(lateReportRetryInterval)
	}
}

// proxyCommand runs a proxy. The path of a request to the control address sets its
// mode.
func proxyCommand() *soakCommand {
	var address, to, control string
	return &soakCommand{
		name: "proxy", synopsis: "run a proxy that injects faults into connections, for the soak",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&address, "listen", "", "`IP:port` of the proxy")
			f.StringVar(&to, "to", "", "`IP:port` to forward connections to")
			f.StringVar(&control, "control", "", "`IP:port` of the control address, which sets the mode")
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

// controlTimeout limits a call to a control address or to the store.
const controlTimeout = 2 * time.Second

// controlCommand sends one request to a control address. It ignores the status of
// the response.
func controlCommand() *soakCommand {
	var method, url, body string
	return &soakCommand{
		name: "control", synopsis: "send one request to a program of the soak",
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
			if err := response.Body.Close(); err != nil {
				return errors.Wrap(err, "control")
			}
			if response.StatusCode >= http.StatusBadRequest {
				return errors.Errorf("control: %s %s: status %d", method, url, response.StatusCode)
			}
			return nil
		},
	}
}

// operatorCommand makes one change to the store in place of the operator.
func operatorCommand() *soakCommand {
	var operator standin.Operator
	var services, out, back, acked string
	var version, filler int
	return &soakCommand{
		name: "operator", synopsis: "make one change to the store as the operator, for the soak",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&operator.StoreAddress, "store", "", "`IP:port` of the store")
			f.StringVar(&services, "services", "", "`name,...` of the services of a configuration")
			f.IntVar(&version, "version", 0, "`number` of the configuration to write")
			f.IntVar(&filler, "filler", 0, "`number` of further routes of the configuration")
			f.StringVar(&acked, "acked", "", "`file` to which the acknowledgement of a configuration is appended")
			f.StringVar(&out, "out", "", "`data centre` to take out of service")
			f.StringVar(&back, "back", "", "`data centre` to return to service")
		},
		run: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, controlTimeout)
			defer cancel()
			switch {
			case version > 0:
				document, err := standin.ConfigWithOrganisations(version, soak.Organisations(version), filler, strings.Split(services, ",")...)
				if err != nil {
					return errors.Wrap(err, "operator")
				}
				sentAt := time.Now()
				if err := operator.PutConfiguration(ctx, document); err != nil || acked == "" {
					return err
				}
				return soak.AppendAckedConfig(acked, soak.AckedConfig{Version: version, SentMillis: sentAt.UnixMilli(), AckedMillis: time.Now().UnixMilli()})
			case out != "":
				return operator.TakeOutOfService(ctx, out)
			case back != "":
				return operator.ReturnToService(ctx, back)
			}
			return errors.New("operator: nothing to do")
		},
	}
}

// callersCommand sends requests and writes a soak.CallerRecord for each.
func callersCommand() *soakCommand {
	var nodes, nodeServices, services, prefix, acked string
	var rate float64
	var timeout, poison time.Duration
	return &soakCommand{
		name: "callers", synopsis: "send requests to nodes and record the responses, for the soak",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&nodes, "nodes", "", "`IP:port,...` of the nodes' listeners for callers")
			f.StringVar(&nodeServices, "node-services", "", "`name,...` of the service of each node")
			f.StringVar(&services, "services", "", "`name,...` of the services")
			f.StringVar(&acked, "acked", "", "`file` of the acknowledged configurations, whose routes are requested from each node")
			f.DurationVar(&poison, "poison", 0, "interval of a request that crashes the targets that run it")
			f.StringVar(&prefix, "prefix", "r", "`text` at the start of each id")
			f.Float64Var(&rate, "rate", 100, "requests per second")
			f.DurationVar(&timeout, "timeout", 2*time.Second, "time for which a caller waits for a response")
		},
		run: func(ctx context.Context) error {
			callers := &soak.Callers{
				Nodes: strings.Split(nodes, ","), NodeServices: strings.Split(nodeServices, ","), Services: strings.Split(services, ","),
				RequestsPerSecond: rate, Timeout: timeout, IDPrefix: prefix, AckedConfigs: acked, PoisonInterval: poison,
			}
			if len(callers.NodeServices) != len(callers.Nodes) {
				return errors.Errorf("callers: %d nodes and %d services of nodes", len(callers.Nodes), len(callers.NodeServices))
			}
			callers.Run(ctx, os.Stdout)
			return nil
		},
	}
}

// checkCommand checks the records of a soak against the invariants.
func checkCommand() *soakCommand {
	var dir, lostNodes string
	var faultsEndMillis int64
	var loss soak.WatcherLoss
	return &soakCommand{
		name: "judge", synopsis: "check the records of a soak",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&dir, "dir", "", "`directory` with told-*, ran-*, node-* and errors files")
			f.Int64Var(&faultsEndMillis, "calm", 0, "Unix `millisecond` from which on no fault was active")
			f.Int64Var(&loss.FromMillis, "loss", 0, "Unix `millisecond` of the loss of all nodes that watched the store")
			f.Int64Var(&loss.UntilMillis, "loss-end", 0, "Unix `millisecond` until which that was the only fault")
			f.StringVar(&lostNodes, "lost-nodes", "", "`IP:port,...` of the nodes that were lost")
		},
		run: func(context.Context) error {
			loss.Nodes = strings.Split(lostNodes, ",")
			return checkSoak(dir, faultsEndMillis, loss)
		},
	}
}

// checkSoak checks the records in a directory and prints the result. It returns an
// error if invariants are violated.
func checkSoak(dir string, faultsEndMillis int64, loss soak.WatcherLoss) error {
	callerFiles, _ := filepath.Glob(filepath.Join(dir, "told-*")) // the pattern is well formed
	runFiles, _ := filepath.Glob(filepath.Join(dir, "ran-*"))
	logFiles, _ := filepath.Glob(filepath.Join(dir, "node-*"))
	errorFiles, _ := filepath.Glob(filepath.Join(dir, "errors"))
	result, err := soak.CheckFiles(callerFiles, runFiles, faultsEndMillis, loss)
	if err != nil {
		return err
	}
	if err := result.CheckLogs(logFiles); err != nil {
		return err
	}
	if err := result.CheckForKeys(append(logFiles, errorFiles...)); err != nil {
		return err
	}
	fmt.Printf("sent=%d answered=%d not_run=%d unknown=%d calm_served=%.3f broken=%d\n",
		result.Sent, result.Answered, result.NotRun, result.Unknown, result.AnsweredAfterFaults, len(result.Violations))
	for _, violation := range result.Violations {
		fmt.Println("BROKEN", violation)
	}
	if len(result.Violations) > 0 {
		return errors.Errorf("%d invariants violated", len(result.Violations))
	}
	return nil
}
