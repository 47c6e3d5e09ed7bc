package capacity

import (
	"fmt"
	"strings"
)

// PlannedNodeCount is the fleet that is planned for, in nodes.
const PlannedNodeCount = 1300

// budgets are the users' bounds at the target size, by role and figure. The
// bound of processor time is for control, so it is held against idle fleets:
// under load the time of the requests themselves comes on top.
var budgets = []struct {
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

// String prints the figure in one line: its values, the slopes for one node
// more and for twice the nodes, and what both lines give at the target size.
func (f Series) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "capacity %s %s", f.Role, f.Name)
	for _, p := range f.Points {
		fmt.Fprintf(&b, " n=%d:%.4g", p.NodeCount, p.Value)
	}
	if len(f.Points) > 1 {
		linear, logarithmic := f.atTarget()
		fmt.Fprintf(&b, " slope=%.4g per_doubling=%.4g at_%d_linear=%.4g log=%.4g",
			FitLinear(f.Points).Slope, FitLogarithmic(f.Points).Slope, PlannedNodeCount, linear, logarithmic)
	}
	return b.String()
}

// atTarget returns the figure at the target size by both lines.
func (f Series) atTarget() (linear, logarithmic float64) {
	linear = FitLinear(f.Points).At(PlannedNodeCount)
	logarithmic = FitLogarithmic(f.Points).At(log2(PlannedNodeCount))
	return linear, logarithmic
}

// BoundsTable sets the figures at the target size against the users' bounds.
func BoundsTable(all []Series) string {
	var b strings.Builder
	fmt.Fprintf(&b, "at %d nodes, extrapolated: figure linear log bound\n", PlannedNodeCount)
	for _, budget := range budgets {
		for _, f := range all {
			if f.Role != budget.role || f.Name != budget.name || len(f.Points) < 2 {
				continue
			}
			linear, logarithmic := f.atTarget()
			verdict := "within"
			if max(linear, logarithmic) > budget.bound {
				verdict = "OVER"
			}
			fmt.Fprintf(&b, "  %s %s: %.4g %.4g of %g %s: %s\n", f.Role, f.Name, linear, logarithmic, budget.bound, budget.unit, verdict)
		}
	}
	return b.String()
}
