package quota

import "time"

const (
	// exclusionTime is how long a node is not asked after it was found silent, or last
	// probed. maxExclusion bounds that in all.
	exclusionTime = 10 * time.Second
	maxExclusion  = 10 * time.Minute
	// probeInterval is the interval of messages that find out whether it answers again.
	probeInterval = 500 * time.Millisecond
	// silentPasses is how many messages that were passed on to a node may stay unanswered,
	// and silentPassTime for how long, before it counts as silent.
	silentPasses   = 2
	silentPassTime = 100 * time.Millisecond
)

// Exclusions holds the nodes that are not asked for any organisation, since they do not answer
// and their loss is noticed late. It is not safe for concurrent use.
type Exclusions struct {
	nodes map[string]*exclusion
	// passed holds the nodes that messages were passed on to since their latest answer.
	passed map[string]*unanswered
}

type exclusion struct {
	// organisation is one that the node coordinated.
	organisation          string
	since, until, probeAt time.Time
}

type unanswered struct {
	since time.Time
	count int
}

// Probe is a message to a node that is not asked otherwise.
type Probe struct {
	Node string
	Ask  Ask
}

// NewExclusions returns an empty Exclusions.
func NewExclusions() *Exclusions {
	return &Exclusions{nodes: make(map[string]*exclusion), passed: make(map[string]*unanswered)}
}

// Exclude excludes a node that was silent about an organisation.
func (e *Exclusions) Exclude(node, organisation string, now time.Time) {
	delete(e.passed, node)
	if !e.Excluded(node, now) {
		e.nodes[node] = &exclusion{organisation: organisation, since: now, until: now.Add(exclusionTime), probeAt: now}
	}
}

// Excluded reports whether a node is excluded.
func (e *Exclusions) Excluded(node string, now time.Time) bool {
	x := e.nodes[node]
	return x != nil && now.Before(x.until)
}

// Answered ends the exclusion of a node that has sent an answer, and reports whether there was
// one.
func (e *Exclusions) Answered(node string) bool {
	_, was := e.nodes[node]
	delete(e.nodes, node)
	delete(e.passed, node)
	return was
}

// PassedOn records that a message is passed on to a node, and reports whether the node counts as
// silent, since earlier ones are unanswered.
func (e *Exclusions) PassedOn(node string, now time.Time) (silent bool) {
	u := e.passed[node]
	if u == nil || now.Sub(u.since) >= exclusionTime {
		u = &unanswered{since: now}
		e.passed[node] = u
	}
	u.count++
	return u.count > silentPasses && now.Sub(u.since) >= silentPassTime
}

// Probes returns the messages of a process that probe the excluded nodes now. While it is
// called, the exclusions go on.
func (e *Exclusions) Probes(incarnation uint64, now time.Time) []Probe {
	var probes []Probe
	for node, x := range e.nodes {
		switch {
		case !now.Before(x.until):
			delete(e.nodes, node)
		case !now.Before(x.probeAt):
			x.probeAt = now.Add(probeInterval)
			if now.Sub(x.since) < maxExclusion {
				x.until = now.Add(exclusionTime)
			}
			probes = append(probes, Probe{Node: node, Ask: Ask{Incarnation: incarnation, Organisation: x.organisation, Passes: maxPasses}})
		}
	}
	return probes
}
