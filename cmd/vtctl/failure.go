package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"verbenatrestle/node/admin"
	"verbenatrestle/request"
	"verbenatrestle/version"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnreachable = 4
	exitRefused     = 5
)

// failure is an error with the exit code of vtctl.
type failure struct {
	code    int
	message string
	// problem is the problem document of a node, nil without one.
	problem *admin.Problem
}

// Error implements error.
func (f *failure) Error() string { return f.message }

func usageError(format string, args ...any) error {
	return &failure{code: exitUsage, message: fmt.Sprintf(format, args...)}
}

// problemFailure converts the problem document of a node to a failure.
func problemFailure(address string, p *admin.Problem) *failure {
	f := &failure{code: exitFailed, problem: p}
	switch p.Status {
	case http.StatusConflict, http.StatusPreconditionFailed:
		f.code = exitConflict
	case http.StatusServiceUnavailable:
		f.code = exitUnreachable
	default:
		if p.Status >= 400 && p.Status < 500 {
			f.code = exitRefused
		}
	}
	f.message = fmt.Sprintf("%s at %s (%s): %s", p.Step, p.Peer, address, p.Detail)
	if len(p.Problems) > 0 {
		f.message = fmt.Sprintf("%s at %s (%s): refused\n%s", p.Step, p.Peer, address, problemLines(p.Problems))
	}
	if p.Outcome == request.Unknown {
		f.code = exitFailed
	}
	return f
}

func problemLines(problems []version.Problem) string {
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// report writes an error, if there is one, to stderr and returns the exit code.
func (o *options) report(err error) int {
	if err == nil {
		return exitOK
	}
	f := &failure{code: exitFailed, message: err.Error()}
	errors.As(err, &f)
	if o.format == formatJSON && f.problem != nil {
		if text, err := json.Marshal(f.problem); err == nil {
			fmt.Fprintln(o.stderr, string(text))
			return f.code
		}
	}
	fmt.Fprintln(o.stderr, "vtctl:", f.message)
	return f.code
}
