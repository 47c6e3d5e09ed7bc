package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"verbenatrestle/node/admin"
	"verbenatrestle/version"
)

// changeFlags holds the flags of the commands that make changes.
type changeFlags struct {
	operationID string
	ifVersion   uint64
}

func (c *changeFlags) flags(f *flag.FlagSet) {
	f.StringVar(&c.operationID, "operation-id", "", "`ID` of the change, to repeat it; the default is a new one")
	f.Uint64Var(&c.ifVersion, "if-version", 0, "make the change only to this `version`; 0 means any")
}

// call returns the API call of a change. Without -operation-id it makes a new
// operation ID.
func (c *changeFlags) call(o *options, method, path string, body any) (call, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return call{}, errors.Wrap(err, "encode request")
	}
	id := c.operationID
	if id == "" {
		id = uuid.Must(uuid.NewV7()).String()
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if o.actor != "" {
		header.Set(admin.HeaderActor, o.actor)
	}
	if c.ifVersion != 0 {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(c.ifVersion, 10)))
	}
	return call{method: method, path: path, body: text, header: header, operationID: id}, nil
}

// send makes a change and prints the response.
func (c *changeFlags) send(ctx context.Context, o *options, method, path string, body any) error {
	call, err := c.call(o, method, path, body)
	if err != nil {
		return err
	}
	var response admin.ChangeResponse
	if err := newClient(o).do(ctx, call, &response); err != nil {
		return err
	}
	return o.print(response, func(out *bytes.Buffer) { printChange(out, response) })
}

func printChange(out *bytes.Buffer, response admin.ChangeResponse) {
	switch {
	case response.DryRun:
		fmt.Fprintf(out, "valid on version %d: %s\n", response.Version, response.Summary)
	case response.Repeated:
		fmt.Fprintf(out, "version %d accepted, found in the history: %s\n", response.Version, response.Summary)
	default:
		fmt.Fprintf(out, "version %d accepted: %s\n", response.Version, response.Summary)
	}
}

// apply sets templates and organisations.
type apply struct {
	changeFlags
	dryRun bool
}

func (*apply) describe() (name, synopsis, arguments string) {
	return "apply", "set the templates and organisations in files", "FILE..."
}

func (a *apply) flags(f *flag.FlagSet) {
	a.changeFlags.flags(f)
	f.BoolVar(&a.dryRun, "dry-run", false, "check against the active configuration and change nothing")
}

func (a *apply) run(ctx context.Context, o *options, args []string) error {
	files, err := readFiles(args)
	if err != nil {
		return err
	}
	path := "/v1/apply"
	if a.dryRun {
		path += "?dry_run=1"
	}
	return a.send(ctx, o, http.MethodPost, path, files)
}

func readFiles(names []string) ([]version.File, error) {
	if len(names) == 0 {
		return nil, usageError("name at least one file")
	}
	var files []version.File
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "read file")
		}
		files = append(files, version.File{Name: name, Text: string(text)})
	}
	return files, nil
}

// adminResource is a kind of resource that can be taken out of service and back
// in.
type adminResource struct {
	// command is the name of the command, kind the name of the kind in texts,
	// argument the placeholder in usage texts, and path the prefix of the API path.
	command  string
	kind     string
	argument string
	path     string
}

var (
	dataCentre = adminResource{command: "datacentre", kind: "data centre", argument: "NAME", path: "/v1/datacentres/"}
	target     = adminResource{command: "target", kind: "target", argument: "NODE", path: "/v1/targets/"}
)

// setAdminState takes a data centre or a target out of service or back in.
type setAdminState struct {
	changeFlags
	resource adminResource
}

func (s *setAdminState) describe() (name, synopsis, arguments string) {
	return s.resource.command, "take a " + s.resource.kind + " out of service or back in", "out|in " + s.resource.argument
}

func (s *setAdminState) run(ctx context.Context, o *options, args []string) error {
	if len(args) != 2 || (args[0] != admin.StateOut && args[0] != admin.StateIn) || args[1] == "" {
		return usageError("want %s out|in %s", s.resource.command, s.resource.argument)
	}
	path := s.resource.path + url.PathEscape(args[1])
	return s.send(ctx, o, http.MethodPut, path, admin.AdminStateRequest{State: args[0]})
}
