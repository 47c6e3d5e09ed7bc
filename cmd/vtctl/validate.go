package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"

	"github.com/pkg/errors"

	"verbenatrestle/version"
)

// validate checks files without a node.
type validate struct{}

// validateAnswer is the JSON output of validate.
type validateAnswer struct {
	// Valid means that there are no problems.
	Valid bool `json:"valid"`
	// Problems lists the problems in the files.
	Problems []version.Problem `json:"problems"`
}

func (*validate) describe() (name, synopsis, arguments string) {
	return "validate", "check files as if they were the whole configuration", "FILE..."
}

func (*validate) flags(*flag.FlagSet) {}

func (*validate) run(_ context.Context, o *options, args []string) error {
	files, err := readFiles(args)
	if err != nil {
		return err
	}
	err = version.Validate(files)
	var invalid *version.InvalidError
	if err != nil && !errors.As(err, &invalid) {
		return err
	}
	answer := validateAnswer{Valid: err == nil, Problems: []version.Problem{}}
	if invalid == nil {
		return o.print(answer, func(out *bytes.Buffer) { fmt.Fprintf(out, "valid: %d files\n", len(files)) })
	}
	answer.Problems = invalid.Problems
	if err := o.print(answer, func(*bytes.Buffer) {}); err != nil {
		return err
	}
	return &failure{code: exitRefused, message: "not valid\n" + invalid.Error()}
}
