package capacity

import (
	"fmt"
	"strings"
)

// PlannedNodeCount is the number of nodes to which series are extrapolated: the
// size of the fleet that is planned for.
const PlannedNodeCount = 1300

// bounds lists the users' bounds at PlannedNodeCount by role and series. The bound
// of processor time applies to control only, so it is compared with idle fleets:
// under load, the requests themselves take additional time.
var bounds = []struct {
	role, name, unit string
	bound            float64
}{
	{"node", "idle_cpu_percent", "% of a core", 4.8},
	{"node", "idle-120-services_cpu_percent", "% of a core", 4.8},
	{"node", "idle_rss_mib", "MiB", 128},
	{"node", "idle-120-services_rss_mib", "MiB", 128},
	{"node", "load_rss_mib", "MiB", 128},
	{"node", "idle_control_bytes_per_s", "B/s", 17_000},
	{"node", "load_control_bytes_per_s", "B/s", 17_000},
	{"platform", "idle_reads_per_s", "calls/s", 2000},
	{"platform", "idle_watches_per_s", "calls/s", 2000},
	{"platform", "idle_writes_per_s", "calls/s", 300},
}

// String returns one line with the values, the increase for each additional node
// and for each doubling of the nodes, and the extrapolations of both fitted lines
// to PlannedNodeCount.
func (s Series) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "capacity %s %s", s.Role, s.Name)
	for _, p := range s.Points {
		fmt.Fprintf(&b, " n=%d:%.4g", p.NodeCount, p.Value)
	}
	if len(s.Points) > 1 {
		linear, logarithmic := s.atPlannedCount()
		fmt.Fprintf(&b, " slope=%.4g per_doubling=%.4g at_%d_linear=%.4g log=%.4g",
			FitLinear(s.Points).Slope, FitLogarithmic(s.Points).Slope, PlannedNodeCount, linear, logarithmic)
	}
	return b.String()
}

// atPlannedCount returns the extrapolations of both fitted lines to
// PlannedNodeCount.
func (s Series) atPlannedCount() (linear, logarithmic float64) {
	linear = FitLinear(s.Points).At(PlannedNodeCount)
	logarithmic = FitLogarithmic(s.Points).At(log2(PlannedNodeCount))
	return linear, logarithmic
}

// BoundsTable returns a table that compares the extrapolated series with the
// bounds. A series is OVER if either extrapolation is above its bound.
func BoundsTable(all []Series) string {
	var b strings.Builder
	fmt.Fprintf(&b, "at %d nodes, extrapolated: figure linear log bound\n", PlannedNodeCount)
	for _, limit := range bounds {
		for _, f := range all {
			if f.Role != limit.role || f.Name != limit.name || len(f.Points) < 2 {
				continue
			}
			linear, logarithmic := f.atPlannedCount()
			result := "within"
			if max(linear, logarithmic) > limit.bound {
				result = "OVER"
			}
			fmt.Fprintf(&b, "  %s %s: %.4g %.4g of %g %s: %s\n", f.Role, f.Name, linear, logarithmic, limit.bound, limit.unit, result)
		}
	}
	return b.String()
}
