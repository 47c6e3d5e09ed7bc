package soak

import "github.com/pkg/errors"

// logLine holds the fields of a node's log line that are judged.
type logLine struct {
	Event  string `json:"event"`
	Config uint64 `json:"config"`
	Was    uint64 `json:"was"`
}

// CheckLogs judges what nodes wrote: a configuration never reverts within the
// life of a process, and all nodes end with the same one.
func (v *Result) CheckLogs(names []string) error {
	newest := make(map[string]uint64)
	highest := uint64(0)
	for _, name := range names {
		lines, err := readLines[logLine](name)
		if err != nil {
			return errors.Wrap(err, "judge logs")
		}
		for _, line := range lines {
			switch line.Event {
			case "start":
				newest[name] = 0
			case "config":
				if line.Config < line.Was {
					v.broke("reverted: %s went from version %d to %d", name, line.Was, line.Config)
				}
				newest[name] = line.Config
				highest = max(highest, line.Config)
			}
		}
	}
	for name, version := range newest {
		if version < highest {
			v.broke("behind: %s ends with version %d, others with %d", name, version, highest)
		}
	}
	return nil
}
