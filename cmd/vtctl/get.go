package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"verbenatrestle/node/admin"
	"verbenatrestle/version"
)

// get shows the active configuration.
type get struct{}

// stateView is a data centre or a target with its administrative state.
type stateView struct {
	// Name is the name of the data centre or of the target's node.
	Name string `json:"name"`
	// State is admin.StateIn or admin.StateOut.
	State string `json:"state"`
}

func (*get) describe() (name, synopsis, arguments string) {
	return "get", "show the active configuration", "[organisations|templates|datacentres|targets [NAME]]"
}

func (*get) flags(*flag.FlagSet) {}

func (*get) run(ctx context.Context, o *options, args []string) error {
	if len(args) > 2 {
		return usageError("want get [organisations|templates|datacentres|targets [NAME]]")
	}
	kind, name := "", ""
	if len(args) > 0 {
		kind = args[0]
	}
	if len(args) > 1 {
		name = args[1]
	}
	if !slices.Contains([]string{"", "organisations", "templates", "datacentres", "targets"}, kind) {
		return usageError("there is no kind %q", kind)
	}
	var doc version.Document
	if err := newClient(o).do(ctx, call{method: http.MethodGet, path: "/v1/configuration"}, &doc); err != nil {
		return err
	}
	return show(o, doc, kind, name)
}

// show prints one kind of resources, or all of them if kind is empty.
func show(o *options, doc version.Document, kind, name string) error {
	switch kind {
	case "organisations":
		return showSources(o, doc.Organisations, name)
	case "templates":
		return showSources(o, doc.Templates, name)
	case "datacentres":
		views, err := dataCentreViews(doc)
		if err != nil {
			return err
		}
		return showStates(o, views, name)
	case "targets":
		return showStates(o, outOfServiceViews(doc.TargetsOut), name)
	}
	return showAll(o, doc)
}

func showAll(o *options, doc version.Document) error {
	views, err := dataCentreViews(doc)
	if err != nil {
		return err
	}
	return o.print(doc, func(out *bytes.Buffer) {
		fmt.Fprintf(out, "version %d, accepted %s by %s\n", doc.Version, formatTime(doc.AcceptedAt), doc.AcceptedBy)
		rows := [][]string{{"KIND", "NAME", "STATE OR FILE"}}
		for _, source := range doc.Templates {
			rows = append(rows, []string{"template", source.Name, source.File})
		}
		for _, source := range doc.Organisations {
			rows = append(rows, []string{"organisation", source.Name, source.File})
		}
		for _, view := range views {
			rows = append(rows, []string{"datacentre", view.Name, view.State})
		}
		for _, name := range doc.TargetsOut {
			rows = append(rows, []string{"target", name, admin.StateOut})
		}
		table(out, rows)
	})
}

// showSources lists templates or organisations, or prints the text of the one with
// the given name.
func showSources(o *options, sources []version.Source, name string) error {
	if name == "" {
		return o.print(sources, func(out *bytes.Buffer) {
			rows := [][]string{{"NAME", "FILE"}}
			for _, source := range sources {
				rows = append(rows, []string{source.Name, source.File})
			}
			table(out, rows)
		})
	}
	i := slices.IndexFunc(sources, func(s version.Source) bool { return s.Name == name })
	if i < 0 {
		return errors.Errorf("there is no %q", name)
	}
	return o.print(sources[i], func(out *bytes.Buffer) { out.WriteString(sources[i].Text) })
}

// showStates lists data centres or targets with their states, or the one with the
// given name.
func showStates(o *options, views []stateView, name string) error {
	if name != "" {
		views = slices.DeleteFunc(views, func(v stateView) bool { return v.Name != name })
		if len(views) == 0 {
			return errors.Errorf("there is no %q", name)
		}
	}
	return o.print(views, func(out *bytes.Buffer) {
		rows := [][]string{{"NAME", "STATE"}}
		for _, view := range views {
			rows = append(rows, []string{view.Name, view.State})
		}
		table(out, rows)
	})
}

// dataCentreViews returns all data centres that organisations use or that are out
// of service.
func dataCentreViews(doc version.Document) ([]stateView, error) {
	snapshot, err := version.Compile(doc)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	names := snapshot.DataCentresOut()
	for _, organisation := range snapshot.Organisations() {
		names = append(names, organisation.DataCentres...)
	}
	slices.Sort(names)
	views := []stateView{}
	for _, name := range slices.Compact(names) {
		view := stateView{Name: name, State: admin.StateIn}
		if snapshot.DataCentreOutOfService(name) {
			view.State = admin.StateOut
		}
		views = append(views, view)
	}
	return views, nil
}

func outOfServiceViews(names []string) []stateView {
	views := []stateView{}
	for _, name := range names {
		views = append(views, stateView{Name: name, State: admin.StateOut})
	}
	return views
}
