package soak

import (
	"bytes"
	"os"

	"github.com/pkg/errors"

	"verbenatrestle/platform/standin"
)

// logLine holds the fields of a node's log line that are checked.
type logLine struct {
	Event    string `json:"event"`
	Config   uint64 `json:"config"`
	Previous uint64 `json:"was"`
}

// CheckLogs checks the log files of nodes, one file for each node: the version of
// the configuration never decreases within one incarnation, and all nodes end
// with the same version. It returns an error if a file cannot be read.
func (r *Result) CheckLogs(names []string) error {
	newest := make(map[string]uint64)
	highest := uint64(0)
	for _, name := range names {
		lines, err := readLines[logLine](name)
		if err != nil {
			return errors.Wrap(err, "check logs")
		}
		for _, line := range lines {
			switch line.Event {
			case "start":
				newest[name] = 0
			case "config":
				if line.Config < line.Previous {
					r.addViolation("reverted: %s went from version %d to %d", name, line.Previous, line.Config)
				}
				newest[name] = line.Config
				highest = max(highest, line.Config)
			}
		}
	}
	for name, version := range newest {
		if version < highest {
			r.addViolation("behind: %s ends with version %d, others with %d", name, version, highest)
		}
	}
	return nil
}

// CheckForKeys checks that no line of the log files holds an API key. The violations do not
// hold it either. It returns an error if a file cannot be read.
func (r *Result) CheckForKeys(names []string) error {
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return errors.Wrap(err, "check logs for keys")
		}
		number := 0
		for line := range bytes.Lines(text) {
			number++
			if bytes.Contains(line, []byte(standin.KeyMark)) {
				r.addViolation("key: line %d of %s holds a key", number, name)
			}
		}
	}
	return nil
}
