package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"verbenatrestle/node/admin"
	"verbenatrestle/version"
)

// formatTime formats a time for display, in UTC with milliseconds.
func formatTime(at time.Time) string {
	return at.UTC().Format("2006-01-02T15:04:05.000Z")
}

// history lists all changes of the configuration.
type history struct{}

func (*history) describe() (name, synopsis, arguments string) {
	return "history", "list all changes, oldest first", ""
}

func (*history) flags(*flag.FlagSet) {}

func (*history) run(ctx context.Context, o *options, args []string) error {
	if len(args) > 0 {
		return usageError("history takes no arguments")
	}
	var entries []version.HistoryEntry
	if err := newClient(o).do(ctx, call{method: http.MethodGet, path: "/v1/history"}, &entries); err != nil {
		return err
	}
	return o.print(entries, func(out *bytes.Buffer) {
		rows := [][]string{{"VERSION", "AT", "ACTOR", "OPERATION", "CHANGE"}}
		for _, e := range entries {
			number := strconv.FormatUint(e.Version, 10)
			rows = append(rows, []string{number, formatTime(e.At), e.Actor, e.OperationID, e.Summary})
		}
		table(out, rows)
	})
}

// state dumps the state of the first node that responds.
type state struct {
	part string
}

func (*state) describe() (name, synopsis, arguments string) {
	return "state", "dump the state of the first node that responds, as JSON", ""
}

func (s *state) flags(f *flag.FlagSet) {
	f.StringVar(&s.part, "part", "", "show only the part with this `name`")
}

func (s *state) run(ctx context.Context, o *options, args []string) error {
	if len(args) > 0 {
		return usageError("state takes no arguments")
	}
	path := "/v1/state"
	if s.part != "" {
		path += "?part=" + url.QueryEscape(s.part)
	}
	var dump map[string]json.RawMessage
	if err := newClient(o).do(ctx, call{method: http.MethodGet, path: path}, &dump); err != nil {
		return err
	}
	asJSON := *o
	asJSON.format = formatJSON
	return asJSON.print(dump, nil)
}

// status shows the active version of the configuration on each node.
type status struct{}

func (*status) describe() (name, synopsis, arguments string) {
	return "status", "show the active version on each node, and how long it took to get there", ""
}

func (*status) flags(*flag.FlagSet) {}

func (*status) run(ctx context.Context, o *options, args []string) error {
	if len(args) > 0 {
		return usageError("status takes no arguments")
	}
	var response admin.StatusResponse
	if err := newClient(o).do(ctx, call{method: http.MethodGet, path: "/v1/status"}, &response); err != nil {
		return err
	}
	return o.print(response, func(out *bytes.Buffer) { printStatus(out, response) })
}

func printStatus(out *bytes.Buffer, response admin.StatusResponse) {
	fmt.Fprintf(out, "version %d in force at %s, accepted %s, in force there after %d ms\n",
		response.Version, response.Node, formatTime(response.AcceptedAt), response.DelayMS)
	rows := [][]string{{"NODE", "DATA CENTRE", "STATE", "VERSION", "DELAY MS"}}
	for _, n := range response.Nodes {
		delay := "unknown"
		if n.DelayMS >= 0 {
			delay = strconv.FormatInt(n.DelayMS, 10)
		}
		rows = append(rows, []string{n.Node, n.DataCentre, n.State, strconv.FormatUint(n.Version, 10), delay})
	}
	table(out, rows)
}
