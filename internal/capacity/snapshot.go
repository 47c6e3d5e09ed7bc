package capacity

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// NodeUsage is what one node has used since its process started.
type NodeUsage struct {
	// Name is the node's name.
	Name string `json:"name"`
	// CPUSeconds is the processor time, user and system, in seconds.
	CPUSeconds float64 `json:"cpu_s"`
	// RSSBytes is the memory that the process holds now, in bytes.
	RSSBytes float64 `json:"rss_bytes"`
	// Metrics are the node's metrics by name.
	Metrics map[string]float64 `json:"metrics"`
}

// Snapshot is a fleet at one moment of a phase.
type Snapshot struct {
	// NodeCount is the number of nodes of the fleet.
	NodeCount int `json:"size"`
	// Phase names what the fleet goes through.
	Phase string `json:"phase"`
	// UnixSeconds is the time of the snapshot, in Unix seconds.
	UnixSeconds float64 `json:"at"`
	// Nodes are the nodes, in the same order in each snapshot of a fleet.
	Nodes []NodeUsage `json:"nodes"`
	// Platform are the platform's counters by name.
	Platform map[string]float64 `json:"platform"`
	// Values are figures that the script measured itself, by name.
	Values map[string]float64 `json:"values,omitempty"`
}

// ReadSnapshots reads snapshots, one JSON document after the other.
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
