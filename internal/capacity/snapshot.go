package capacity

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// NodeUsage is the resource usage of a node since its process started.
type NodeUsage struct {
	// Name is the node's name.
	Name string `json:"name"`
	// CPUSeconds is the processor time, user and system, in seconds.
	CPUSeconds float64 `json:"cpu_s"`
	// RSSBytes is the resident memory of the process at present, in bytes.
	RSSBytes float64 `json:"rss_bytes"`
	// Metrics holds the node's metrics by name.
	Metrics map[string]float64 `json:"metrics"`
}

// Snapshot is the resource usage of a fleet at the start or the end of a phase.
type Snapshot struct {
	// NodeCount is the number of nodes of the fleet.
	NodeCount int `json:"size"`
	// Phase is the name of the phase.
	Phase string `json:"phase"`
	// UnixSeconds is the time of the snapshot, in Unix seconds.
	UnixSeconds float64 `json:"at"`
	// Nodes holds the usage of each node, in the same order in each snapshot of a
	// fleet.
	Nodes []NodeUsage `json:"nodes"`
	// Platform holds the platform's counters by name.
	Platform map[string]float64 `json:"platform"`
	// Values holds values that the calling script measured, by name.
	Values map[string]float64 `json:"values,omitempty"`
}

// ReadSnapshots reads a sequence of snapshots in JSON.
func ReadSnapshots(r io.Reader) ([]Snapshot, error) {
	var out []Snapshot
	decoder := json.NewDecoder(r)
	for {
		var s Snapshot
		err := decoder.Decode(&s)
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "decode snapshot %d", len(out)+1)
		}
		out = append(out, s)
	}
}
