package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"verbenatrestle/gateway"
)

const (
	// statusTimeout bounds the call of one node.
	statusTimeout = 3 * time.Second
	// maxStateBytes bounds a state dump.
	maxStateBytes = 4 << 20
)

// statusCommand prints the state of running nodes of vtnode serve.
type statusCommand struct{}

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string { return "print the state of running nodes, a line each" }

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return "status ADDRESS...\n\nADDRESS is listen.metrics of a node, IP:port. With one address, the targets\nof each service that the node knows follow.\n"
}

// SetFlags implements subcommands.Command.
func (*statusCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "vtnode: status takes at least one address")
		return subcommands.ExitUsageError
	}
	result := subcommands.ExitSuccess
	var states []gateway.State
	for _, address := range f.Args() {
		state, err := fetchState(ctx, address)
		if err != nil {
			fmt.Fprintln(os.Stderr, "vtnode:", err)
			result = subcommands.ExitFailure
			continue
		}
		states = append(states, state)
	}
	if err := printStates(os.Stdout, states); err != nil {
		fmt.Fprintln(os.Stderr, "vtnode:", err)
		return subcommands.ExitFailure
	}
	return result
}

// fetchState reads the state dump of the node with the metrics address.
func fetchState(ctx context.Context, address string) (gateway.State, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+gateway.StatePath, nil)
	if err != nil {
		return gateway.State{}, errors.Wrapf(err, "state of %s", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return gateway.State{}, errors.Wrapf(err, "state of %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return gateway.State{}, errors.Errorf("state of %s: status %d", address, response.StatusCode)
	}
	var state gateway.State
	err = json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&state)
	return state, errors.Wrapf(err, "state of %s", address)
}

// printStates prints one line for each node, and the services of a single one.
func printStates(out io.Writer, states []gateway.State) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tDATA CENTRE\tUP S\tCONFIG\tAGE S\tROUTES\tOUT\tPEERS\tREACHABLE\tOTHER CONFIG\tMSG/S\tBYTES/S\tSTORE\tWATCHES\tRUNNING\tWAITING")
	for _, s := range states {
		store := "lost"
		if s.Store.Reachable {
			store = "ok"
		}
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%d\t%.0f\t%d\t%d\t%d of %d\t%d\t%d\t%.0f\t%.0f\t%s\t%t\t%d of %d\t%d\n",
			s.Node, s.DataCentre, s.UptimeS, s.Config.Number, s.Config.AgeS, s.Config.Routes, len(s.Config.DataCentresOut),
			s.Peers.Heartbeat, s.Peers.Known, s.Peers.Reachable, s.Peers.OtherConfig,
			s.Messages.HeartbeatRate+s.Messages.StatusRate, s.Messages.ByteRate, store, s.Store.Watching,
			s.Target.Running, s.Target.Slots, s.Target.Waiting)
	}
	if len(states) == 1 {
		fmt.Fprintln(w, "\nSERVICE\tKNOWN\tCANDIDATES")
		services := states[0].Peers.Services
		for _, name := range slices.Sorted(maps.Keys(services)) {
			fmt.Fprintf(w, "%s\t%d\t%d\n", name, services[name].Known, services[name].Candidates)
		}
	}
	return errors.Wrap(w.Flush(), "print states")
}
