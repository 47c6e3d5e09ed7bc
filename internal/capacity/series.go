package capacity

import (
	"strings"

	"github.com/pkg/errors"
)

// Series is one metric of one role at several sizes of the fleet.
type Series struct {
	// Role is the part of the system that the metric belongs to, such as
	// "membership".
	Role string
	// Name is the name of the metric, with its unit.
	Name string
	// Points holds the values, in ascending order of the fleet's size.
	Points []Point
}

// messageRoles maps the prefixes of message types in metric names to roles.
var messageRoles = map[string]string{
	"membership_": "membership",
	"message_":    "owner-and-witness",
	"node_":       "configuration",
}

// seriesSet collects series. Their order is that of their first points.
type seriesSet struct {
	list  []*Series
	index map[[2]string]*Series
}

func (set *seriesSet) add(role, name string, size int, value float64) {
	key := [2]string{role, name}
	series := set.index[key]
	if series == nil {
		series = &Series{Role: role, Name: name}
		set.index[key] = series
		set.list = append(set.list, series)
	}
	series.Points = append(series.Points, Point{NodeCount: size, Value: value})
}

// ComputeSeries computes the series of snapshots. Each two consecutive snapshots
// are the start and the end of a phase. Sizes must be in ascending order, and
// "idle" must precede the other phases of a size, because idle usage is
// subtracted from them. An error is returned if a phase has no end.
func ComputeSeries(snapshots []Snapshot) ([]Series, error) {
	collected := seriesSet{index: make(map[[2]string]*Series)}
	idle := make(map[int]span)
	for i := 0; i < len(snapshots); i += 2 {
		if i+1 == len(snapshots) || !isPhase(snapshots[i], snapshots[i+1]) {
			return nil, errors.Errorf("snapshot %d, phase %s of %d nodes: no end", i+1, snapshots[i].Phase, snapshots[i].NodeCount)
		}
		s := span{begin: snapshots[i], end: snapshots[i+1]}
		if s.begin.Phase == "idle" {
			idle[s.begin.NodeCount] = s
		}
		collected.addSpan(s, idle[s.begin.NodeCount])
	}
	out := make([]Series, 0, len(collected.list))
	for _, f := range collected.list {
		out = append(out, *f)
	}
	return out, nil
}

// isPhase reports whether two snapshots are the start and the end of one phase.
func isPhase(a, b Snapshot) bool {
	return a.NodeCount == b.NodeCount && a.Phase == b.Phase && len(a.Nodes) == len(b.Nodes) && b.UnixSeconds > a.UnixSeconds
}

func (set *seriesSet) addSpan(s, idle span) {
	switch phase := s.begin.Phase; phase {
	case "idle", "load", "idle-120-services":
		set.addSteady(s)
	case "lookups", "filings":
		set.addRequests(s, idle)
	case "lost", "back":
		set.addEvent(s)
	default:
		set.addChanges(s, idle)
	}
}

// addSteady adds the continuous usage of nodes and the platform in a phase.
func (set *seriesSet) addSteady(s span) {
	size, phase := s.begin.NodeCount, s.begin.Phase
	put := func(role, name string, value float64) { set.add(role, phase+"_"+name, size, value) }
	cpu := s.perNode(func(n NodeUsage) float64 { return n.CPUSeconds })
	put("node", "cpu_percent", 100*mean(cpu)/s.seconds())
	put("node", "cpu_percent_most", 100*maximum(cpu)/s.seconds())
	resident := values(s.end, func(n NodeUsage) float64 { return n.RSSBytes / (1 << 20) })
	put("node", "rss_mib", mean(resident))
	put("node", "rss_mib_most", maximum(resident))
	bytes := s.perNode(wireBytes)
	put("node", "control_bytes_per_s", mean(bytes)/s.seconds())
	put("node", "control_bytes_per_s_most", maximum(bytes)/s.seconds())
	for _, prefix := range []string{"membership_", "message_", "node_"} {
		role := messageRoles[prefix]
		put(role, "messages_per_s", mean(s.perNode(messageSum("messages", prefix)))/s.seconds())
		put(role, "bytes_per_s", mean(s.perNode(messageSum("bytes", prefix)))/s.seconds())
	}
	put("node", "links", mean(values(s.end, linkCount)))
	for _, kind := range []string{"reads", "writes", "watches"} {
		put("platform", kind+"_per_s", (s.end.Platform[kind]-s.begin.Platform[kind])/s.seconds())
	}
	put("platform", "waiting_watches", s.end.Platform["waiting_watches"])
	set.addValues(s, phase)
}

// addEvent adds the total cost of an event to the nodes that observed it and to
// the platform.
func (set *seriesSet) addEvent(s span) {
	size, phase := s.begin.NodeCount, s.begin.Phase
	bytes := s.perNode(wireBytes)
	set.add("node", phase+"_seconds", size, s.seconds())
	set.add("node", phase+"_control_kib", size, mean(bytes)/1024)
	set.add("node", phase+"_control_kib_most", size, maximum(bytes)/1024)
	set.add("node", phase+"_cpu_ms", size, 1000*mean(s.perNode(func(n NodeUsage) float64 { return n.CPUSeconds })))
	for _, kind := range []string{"reads", "writes", "watches", "conflicts"} {
		set.add("platform", phase+"_"+kind, size, s.end.Platform[kind]-s.begin.Platform[kind])
	}
}

// addChanges adds the cost of one change to a node, without its idle usage. The
// value "changes" of the snapshot is the number of changes.
func (set *seriesSet) addChanges(s, idle span) {
	size, phase := s.begin.NodeCount, s.begin.Phase
	changes := s.end.Values["changes"]
	if changes > 0 && idle.valid() {
		cpu := mean(s.perNode(func(n NodeUsage) float64 { return n.CPUSeconds })) - s.seconds()*mean(idle.perNode(func(n NodeUsage) float64 { return n.CPUSeconds }))/idle.seconds()
		set.add("configuration", phase+"_cpu_ms_per_change", size, 1000*cpu/changes)
		bytes := mean(s.perNode(messageSum("bytes", "node_config")))
		set.add("configuration", phase+"_bytes_per_change", size, bytes/changes)
		reads := s.end.Platform["reads"] - s.begin.Platform["reads"]
		set.add("platform", phase+"_reads_per_change", size, reads/changes)
		set.add("node", phase+"_links", size, mean(values(s.end, linkCount)))
	}
	set.addValues(s, phase)
}

// addRequests adds the processor time of 1,000 requests at the ingress and at all
// other nodes together, without their idle usage. The value "requests" of the
// snapshot is the number of requests.
func (set *seriesSet) addRequests(s, idle span) {
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
	set.add("ingress", s.begin.Phase+"_cpu_s_per_1000", s.begin.NodeCount, 1000*used[0]/requests)
	set.add(role, s.begin.Phase+"_cpu_s_per_1000", s.begin.NodeCount, 1000*others/requests)
}

func (set *seriesSet) addValues(s span, phase string) {
	for _, name := range sortedNames(s.end.Values) {
		if name != "changes" && name != "requests" {
			set.add("configuration", phase+"_"+name, s.begin.NodeCount, s.end.Values[name])
		}
	}
}

func linkCount(n NodeUsage) float64 { return n.Metrics["vt_peerlink_links"] }

// wireBytes returns the number of bytes on peer links, in both directions.
func wireBytes(n NodeUsage) float64 {
	return n.Metrics["vt_peerlink_wire_bytes_in"] + n.Metrics["vt_peerlink_wire_bytes_out"]
}

// messageSum returns a function that sums a counter, "messages" or "bytes", over
// the message types with a prefix, in both directions.
func messageSum(counter, prefix string) func(NodeUsage) float64 {
	in, out := "vt_peerlink_"+counter+"_in_"+prefix, "vt_peerlink_"+counter+"_out_"+prefix
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
