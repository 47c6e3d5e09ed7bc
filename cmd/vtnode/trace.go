package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// traceCommand prints the log lines of one request in chronological order.
type traceCommand struct{}

// Name implements subcommands.Command.
func (*traceCommand) Name() string { return "trace" }

// Synopsis implements subcommands.Command.
func (*traceCommand) Synopsis() string { return "print the log lines of a request, of several nodes" }

// Usage implements subcommands.Command.
func (*traceCommand) Usage() string { return "trace ID FILE...\n" }

// SetFlags implements subcommands.Command.
func (*traceCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*traceCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		fmt.Fprintln(os.Stderr, "vtnode: trace takes an id and at least one file")
		return subcommands.ExitUsageError
	}
	found, err := trace(f.Arg(0), f.Args()[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "vtnode:", err)
		return subcommands.ExitFailure
	}
	for _, line := range found {
		fmt.Println(line.text)
	}
	return subcommands.ExitSuccess
}

// logLine is a log line with its RFC 3339 time, which sorts as text.
type logLine struct {
	time, text string
}

// trace returns the lines about a request in all files, in chronological order.
func trace(id string, files []string) ([]logLine, error) {
	var found []logLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "trace")
		}
		lines, err := requestLines(id, file)
		_ = file.Close() // the file was only read
		if err != nil {
			return nil, errors.Wrapf(err, "trace: read %s", name)
		}
		found = append(found, lines...)
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	return found, nil
}

// requestLines returns the lines about a request. It skips lines that are not JSON,
// and anything that a log collector wrote before the JSON of a line.
func requestLines(id string, r io.Reader) ([]logLine, error) {
	var found []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		if at := strings.IndexByte(text, '{'); at > 0 {
			text = text[at:]
		}
		var fields struct {
			Time    string `json:"time"`
			Request string `json:"request"`
		}
		if !strings.Contains(text, id) || json.Unmarshal([]byte(text), &fields) != nil || fields.Request != id {
			continue
		}
		found = append(found, logLine{time: fields.Time, text: text})
	}
	return found, scanner.Err()
}
