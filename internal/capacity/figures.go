package capacity

import (
	"strings"

	"github.com/pkg/errors"
)

// Series is one figure of one role over the sizes of fleet.
type Series struct {
	// Role is the part of the system, such as "membership".
	Role string
	// Name names the figure and its unit.
	Name string
	// Points are the figure's values, by rising size.
	Points []Point
}

// messageRoles are the roles by the start of their messages' names in metrics.
var messageRoles = map[string]string{
	"membership_": "membership",
	"message_":    "owner-and-witness",
	"node_":       "configuration",
}

// figures gathers points by role and name, in the order of their coming.
type figures struct {
	list  []*Series
	index map[[2]string]*Series
}

func (f *figures) add(role, name string, size int, value float64) {
	key := [2]string{role, name}
	figure := f.index[key]
	if figure == nil {
		figure = &Series{Role: role, Name: name}
		f.index[key] = figure
		f.list = append(f.list, figure)
	}
	figure.Points = append(figure.Points, Point{NodeCount: size, Value: value})
}

// ComputeSeries returns the figures of snapshots: two following ones of the same size
// and phase are the start and the end of a phase. Sizes must rise, and "idle"
// comes before the other phases of a size, since they are told without it.
func ComputeSeries(snapshots []Snapshot) ([]Series, error) {
	gathered := figures{index: make(map[[2]string]*Series)}
	idle := make(map[int]span)
	for i := 0; i < len(snapshots); i += 2 {
		if i+1 == len(snapshots) || !sameSpan(snapshots[i], snapshots[i+1]) {
			return nil, errors.Errorf("snapshot %d, phase %s of %d nodes: no end", i+1, snapshots[i].Phase, snapshots[i].NodeCount)
		}
		s := span{begin: snapshots[i], end: snapshots[i+1]}
		if s.begin.Phase == "idle" {
			idle[s.begin.NodeCount] = s
		}
		gathered.addSpan(s, idle[s.begin.NodeCount])
	}
	out := make([]Series, 0, len(gathered.list))
	for _, f := range gathered.list {
		out = append(out, *f)
	}
	return out, nil
}

func sameSpan(a, b Snapshot) bool {
	return a.NodeCount == b.NodeCount && a.Phase == b.Phase && len(a.Nodes) == len(b.Nodes) && b.UnixSeconds > a.UnixSeconds
}

func (f *figures) addSpan(s, idle span) {
	switch phase := s.begin.Phase; phase {
	case "idle", "load", "idle-120-services":
		f.addSteady(s)
	case "lookups", "filings":
		f.addRequests(s, idle)
	case "lost", "back":
		f.addEvent(s)
	default:
		f.addChanges(s, idle)
	}
}

// addSteady adds what nodes and the platform bear all the time.
func (f *figures) addSteady(s span) {
	size, phase := s.begin.NodeCount, s.begin.Phase
	put := func(role, name string, value float64) { f.add(role, phase+"_"+name, size, value) }
	cpu := s.perNode(func(n NodeUsage) float64 { return n.CPUSeconds })
	put("node", "cpu_percent", 100*mean(cpu)/s.seconds())
	put("node", "cpu_percent_most", 100*most(cpu)/s.seconds())
	resident := values(s.end, func(n NodeUsage) float64 { return n.RSSBytes / (1 << 20) })
	put("node", "rss_mib", mean(resident))
	put("node", "rss_mib_most", most(resident))
	bytes := s.perNode(wireBytes)
	put("node", "control_bytes_per_s", mean(bytes)/s.seconds())
	put("node", "control_bytes_per_s_most", most(bytes)/s.seconds())
	for _, prefix := range []string{"membership_", "message_", "node_"} {
		role := messageRoles[prefix]
		put(role, "messages_per_s", mean(s.perNode(matching("messages", prefix)))/s.seconds())
		put(role, "bytes_per_s", mean(s.perNode(matching("bytes", prefix)))/s.seconds())
	}
	put("node", "links", mean(values(s.end, links)))
	for _, kind := range []string{"reads", "writes", "watches"} {
		put("platform", kind+"_per_s", (s.end.Platform[kind]-s.begin.Platform[kind])/s.seconds())
	}
	put("platform", "waiting_watches", s.end.Platform["waiting_watches"])
	f.addValues(s, phase)
}

// addEvent adds what an event cost in all: the nodes that went through it, and
// the platform.
func (f *figures) addEvent(s span) {
	size, phase := s.begin.NodeCount, s.begin.Phase
	bytes := s.perNode(wireBytes)
	f.add("node", phase+"_seconds", size, s.seconds())
	f.add("node", phase+"_control_kib", size, mean(bytes)/1024)
	f.add("node", phase+"_control_kib_most", size, most(bytes)/1024)
	f.add("node", phase+"_cpu_ms", size, 1000*mean(s.perNode(func(n NodeUsage) float64 { return n.CPUSeconds })))
	for _, kind := range []string{"reads", "writes", "watches", "conflicts"} {
		f.add("platform", phase+"_"+kind, size, s.end.Platform[kind]-s.begin.Platform[kind])
	}
}

// addChanges adds what one change costs a node, beside what it costs idle. The
// value "changes" tells how many there were.
func (f *figures) addChanges(s, idle span) {
	size, phase := s.begin.NodeCount, s.begin.Phase
	changes := s.end.Values["changes"]
	if changes > 0 && idle.valid() {
		cpu := mean(s.perNode(func(n NodeUsage) float64 { return n.CPUSeconds })) - s.seconds()*mean(idle.perNode(func(n NodeUsage) float64 { return n.CPUSeconds }))/idle.seconds()
		f.add("configuration", phase+"_cpu_ms_per_change", size, 1000*cpu/changes)
		bytes := mean(s.perNode(matching("bytes", "node_config")))
		f.add("configuration", phase+"_bytes_per_change", size, bytes/changes)
		reads := s.end.Platform["reads"] - s.begin.Platform["reads"]
		f.add("platform", phase+"_reads_per_change", size, reads/changes)
		f.add("node", phase+"_links", size, mean(values(s.end, links)))
	}
	f.addValues(s, phase)
}

// addRequests adds the processor time of 1,000 requests, at the ingress and at
// all other nodes together, beside what they use idle. The value "requests"
// tells how many there were.
func (f *figures) addRequests(s, idle span) {
	requests := s.end.Values["requests"]
	if requests == 0 || !idle.valid() {
		return
	}
	used := s.perNode(func(n NodeUsage) float64 { return n.CPUSeconds })
	before := idle.perNode(func(n NodeUsage) float64 { return n.CPUSeconds })
	var others float64
	for i := range used {
		used[i] -= before[i] * s.seconds() / idle.seconds()
		if i > 0 {
			others += used[i]
		}
	}
	role := "guard"
	if s.begin.Phase == "filings" {
		role = "owner-and-guard"
	}
	f.add("ingress", s.begin.Phase+"_cpu_s_per_1000", s.begin.NodeCount, 1000*used[0]/requests)
	f.add(role, s.begin.Phase+"_cpu_s_per_1000", s.begin.NodeCount, 1000*others/requests)
}

func (f *figures) addValues(s span, phase string) {
	for _, name := range sortedNames(s.end.Values) {
		if name != "changes" && name != "requests" {
			f.add("configuration", phase+"_"+name, s.begin.NodeCount, s.end.Values[name])
		}
	}
}

func links(n NodeUsage) float64 { return n.Metrics["vt_peerlink_links"] }

// wireBytes returns all bytes on peer links, in both directions.
func wireBytes(n NodeUsage) float64 {
	return n.Metrics["vt_peerlink_wire_bytes_in"] + n.Metrics["vt_peerlink_wire_bytes_out"]
}

// matching returns a sum over message types, in both directions. What is
// "messages" or "bytes".
func matching(what, prefix string) func(NodeUsage) float64 {
	in, out := "vt_peerlink_"+what+"_in_"+prefix, "vt_peerlink_"+what+"_out_"+prefix
	return func(n NodeUsage) float64 {
		var sum float64
		for name, v := range n.Metrics {
			if strings.HasPrefix(name, in) || strings.HasPrefix(name, out) {
				sum += v
			}
		}
		return sum
	}
}
