package capacity

import (
	"math"
	"strings"
	"testing"
)

func TestFit(t *testing.T) {
	points := []Point{{16, 7}, {32, 9}, {64, 11}}
	l := FitLogarithmic(points)
	if math.Abs(l.Slope-2) > 1e-9 || math.Abs(l.At(10)-19) > 1e-9 {
		t.Errorf("logarithmic line %+v, want slope 2 and 19 at ten doublings", l)
	}
	straight := FitLinear([]Point{{13, 13.5}, {26, 26.5}, {52, 52.5}})
	if math.Abs(straight.Slope-1) > 1e-9 || math.Abs(straight.Intercept-0.5) > 1e-9 {
		t.Errorf("line %+v, want 0.5 + x", straight)
	}
	if flat := FitLinear([]Point{{13, 4}, {13, 6}}); flat != (Line{Intercept: 5}) {
		t.Errorf("line of one size %+v, want flat at 5", flat)
	}
}

func TestParseStat(t *testing.T) {
	text := "7 (a ) b) S 1 1 1 0 -1 0 0 0 0 0 250 50 0 0 20 0 1 0 5 1000 3 1"
	cpu, resident, err := parseStat(text, 4096)
	if err != nil || cpu != 3 || resident != 3*4096 {
		t.Errorf("got %g s, %g bytes, %v; want 3 s, 12288 bytes", cpu, resident, err)
	}
	if _, _, err := parseStat("7 (x) S 1", 4096); err == nil {
		t.Error("a short line was accepted")
	}
}

func TestParseMetrics(t *testing.T) {
	got := parseMetrics("# TYPE a counter\na 3\nb{quantile=\"0.5\"} 0.25\nbad x\n")
	if len(got) != 2 || got["a"] != 3 {
		t.Errorf("got %v", got)
	}
}

func twoNodes(phase string, at, cpu, bytes float64) Snapshot {
	node := func(times float64) NodeUsage {
		return NodeUsage{CPUSeconds: cpu * times, Metrics: map[string]float64{
			"vt_peerlink_wire_bytes_in":                    bytes * times,
			"vt_peerlink_bytes_out_membership_Heartbeat":   bytes,
			"vt_peerlink_messages_in_membership_Heartbeat": 4,
		}}
	}
	return Snapshot{NodeCount: 2, Phase: phase, UnixSeconds: at, Nodes: []NodeUsage{node(1), node(3)}, Platform: map[string]float64{"reads": at}}
}

func TestFigures(t *testing.T) {
	end := twoNodes("lookups", 40, 11, 0)
	end.Values = map[string]float64{"requests": 2000}
	got, err := ComputeSeries([]Snapshot{
		twoNodes("idle", 0, 0, 0), twoNodes("idle", 10, 1, 500),
		twoNodes("lookups", 20, 1, 0), end,
	})
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]float64{
		"node idle_cpu_percent":              20,
		"node idle_cpu_percent_most":         30,
		"node idle_control_bytes_per_s":      100,
		"membership idle_bytes_per_s":        50,
		"platform idle_reads_per_s":          1,
		"ingress lookups_cpu_s_per_1000":     4,
		"guard lookups_cpu_s_per_1000":       12,
		"owner-and-witness idle_bytes_per_s": 0,
		"membership idle_messages_per_s":     0,
		"node idle_control_bytes_per_s_most": 150,
	}
	for _, f := range got {
		if w, ok := want[f.Role+" "+f.Name]; ok && math.Abs(f.Points[0].Value-w) > 1e-9 {
			t.Errorf("%s %s is %g, want %g", f.Role, f.Name, f.Points[0].Value, w)
		}
		delete(want, f.Role+" "+f.Name)
	}
	if len(want) > 0 {
		t.Errorf("missing series: %v", want)
	}
}

func TestEventFiguresAreTotals(t *testing.T) {
	got, err := ComputeSeries([]Snapshot{twoNodes("lost", 0, 0, 0), twoNodes("lost", 10, 1, 1024)})
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]float64{"lost_seconds": 10, "lost_control_kib": 2, "lost_control_kib_most": 3, "lost_cpu_ms": 2000, "lost_reads": 10}
	for _, f := range got {
		if w, ok := want[f.Name]; ok && f.Points[0].Value != w {
			t.Errorf("%s is %g, want %g", f.Name, f.Points[0].Value, w)
		}
		delete(want, f.Name)
	}
	if len(want) > 0 {
		t.Errorf("missing series: %v", want)
	}
}

func TestPhaseWithoutEndIsRejected(t *testing.T) {
	if _, err := ComputeSeries([]Snapshot{twoNodes("idle", 0, 0, 0)}); err == nil {
		t.Error("a phase without an end was accepted")
	}
}

func TestBoundsTableMarksExceededBounds(t *testing.T) {
	over := Series{Role: "node", Name: "idle_cpu_percent", Points: []Point{{13, 1}, {26, 2}}}
	if table := BoundsTable([]Series{over}); !strings.Contains(table, "OVER") {
		t.Errorf("100%% of a core is within the bound:\n%s", table)
	}
}
