package load

import (
	"fmt"
	"strings"
)

// OverheadTable is a table of what the classes of a mix took beyond the targets'
// own time, in milliseconds, and of the differences to their baselines.
func (r *Report) OverheadTable(mix Mix) string {
	var table strings.Builder
	fmt.Fprintf(&table, "%-28s %8s %8s %8s %8s %8s   %s\n",
		"path", "answers", "p50_ms", "p90_ms", "p99_ms", "p99.9_ms", "more than the baseline: p50_ms p90_ms p99_ms p99.9_ms")
	for i := range mix.Classes {
		class := &mix.Classes[i]
		count := r.Classes[class.Name]
		a := count.Overhead
		fmt.Fprintf(&table, "%-28s %8d %8.3f %8.3f %8.3f %8.3f", class.Name, count.Answered, a.P50, a.P90, a.P99, a.P999)
		if base, ok := r.Classes[class.Baseline]; ok {
			b := base.Overhead
			fmt.Fprintf(&table, "   %+8.3f %+8.3f %+8.3f %+8.3f", a.P50-b.P50, a.P90-b.P90, a.P99-b.P99, a.P999-b.P999)
		}
		table.WriteByte('\n')
	}
	return table.String()
}
