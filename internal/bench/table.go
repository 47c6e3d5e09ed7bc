package bench

import (
	"fmt"
	"io"
	"strings"
)

// DefaultPolicy is the name under which the node's default policy is measured.
const DefaultPolicy = "ours"

// Fleet is what the tables need to know of the fleet.
type Fleet struct {
	// Slots is how many requests one target runs at once.
	Slots int
	// MeasuringBudget is the bytes a second that a node may spend on measuring.
	MeasuringBudget float64
}

// PrintTables writes a table for each scenario, with the policies in the given
// order, and then the ratios.
func PrintTables(out io.Writer, summaries []Summary, policies []string, fleet Fleet) {
	for _, scenario := range Scenarios {
		if rows := pick(summaries, scenario, policies); len(rows) > 0 {
			printTable(out, scenario, rows, fleet)
		}
	}
	for _, scenario := range Scenarios {
		printRatio(out, summaries, scenario)
	}
}

func pick(summaries []Summary, scenario Scenario, policies []string) []Summary {
	var rows []Summary
	for _, policy := range policies {
		if i := index(summaries, scenario, policy); i >= 0 {
			rows = append(rows, summaries[i])
		}
	}
	return rows
}

func printTable(out io.Writer, scenario Scenario, rows []Summary, fleet Fleet) {
	fmt.Fprintf(out, "\n%s\n", scenario)
	fmt.Fprintf(out, "%-14s %8s %8s %8s %9s %6s %8s %9s %9s %9s %8s %4s %13s %7s %7s %5s\n",
		"policy", "p50 ms", "p99 ms", "p99.9 ms", "goodput/s", "of cap", "refused", "no end", "refusal99",
		"peak/can", "peakcold", "over", "measuring B/s", "retries", "hedges", "busy")
	for _, s := range rows {
		fmt.Fprintf(out, "%-14s %8.2f %8.2f %8.2f %9.0f %6.3f %7.2f%% %8.3f%% %9.2f %9s %8d %4d %13s %6.2f%% %6.2f%% %4.0f%%\n",
			s.Policy, s.P50, s.P99, s.P999, s.Goodput, s.CapacityShare, 100*s.RefusedShare, 100*s.UnknownShare,
			s.RefusalP99, fmt.Sprintf("%d/%d", s.PeakInFlight, fleet.Slots), s.PeakColdInFlight, s.Overruns,
			fmt.Sprintf("%.0f/%.0f", s.MeasuringBytesPerSecond, fleet.MeasuringBudget),
			100*s.RetryShare, 100*s.HedgeShare, 100*s.CPUBusy)
	}
}

// printRatio writes the line that compares ours with others, if it was run.
func printRatio(out io.Writer, summaries []Summary, scenario Scenario) {
	i := index(summaries, scenario, DefaultPolicy)
	if i < 0 {
		return
	}
	ours := &summaries[i]
	parts := []string{fmt.Sprintf("ratio %s p99", scenario)}
	for _, other := range []string{"roundrobin", "plain", "oracle"} {
		if j := index(summaries, scenario, other); j >= 0 {
			parts = append(parts, fmt.Sprintf("ours/%s=%.2f", other, ours.P99/summaries[j].P99))
		}
	}
	if scenario == Overload {
		parts = append(parts, fmt.Sprintf("goodput/capacity=%.3f refusal_p99_ms=%.2f",
			ours.CapacityShare, ours.RefusalP99))
	}
	parts = append(parts, fmt.Sprintf("overruns=%d", ours.Overruns))
	fmt.Fprintln(out, strings.Join(parts, " "))
}
