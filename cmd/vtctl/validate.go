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

// validateResult is the JSON output of validate.
type validateResult struct {
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
	result := validateResult{Valid: err == nil, Problems: []version.Problem{}}
	if invalid == nil {
		return o.print(result, func(out *bytes.Buffer) { fmt.Fprintf(out, "valid: %d files\n", len(files)) })
	}
	result.Problems = invalid.Problems
	if err := o.print(result, func(*bytes.Buffer) {}); err != nil {
		return err
	}
	return &failure{code: exitRefused, message: "not valid\n" + invalid.Error()}
}
