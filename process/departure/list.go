package departure

import (
	"math"
	"slices"
)

// MaxListed bounds the departures of the targets beside one node that are kept. It is far
// above the number of processes that run there before the last delayed report of the first
// one has arrived.
const MaxListed = 8

// AnyStart is the Departure.StartedMillis of a process whose start is not known. It covers all
// processes of the instance until Narrow replaces it.
const AnyStart int64 = math.MaxInt64

// Departure is the departure of a process of a target, and of all earlier processes of the
// same instance.
type Departure struct {
	// Instance is the id under which the process reports.
	Instance string `json:"instance"`
	// StartedMillis is when the process started by its own clock, in Unix milliseconds, or
	// AnyStart.
	StartedMillis int64 `json:"started_ms"`
}

// List holds the latest departures beside a node, the oldest first and one for each
// instance. The zero value is empty.
type List []Departure

// Includes reports whether a process has departed: the one of an instance that started at
// startedMillis.
func (l List) Includes(instance string, startedMillis int64) bool {
	return slices.ContainsFunc(l, func(d Departure) bool { return d.Instance == instance && startedMillis <= d.StartedMillis })
}

// IncludesAll reports whether all departures of another list are known.
func (l List) IncludesAll(other List) bool {
	return !slices.ContainsFunc(other, func(d Departure) bool { return !l.Includes(d.Instance, d.StartedMillis) })
}

// Add returns the list with a departure as its latest one. If the list is full, the oldest
// one is dropped. The list itself does not change, so a copy of it may be shared.
func (l List) Add(d Departure) List {
	if l.Includes(d.Instance, d.StartedMillis) {
		return l
	}
	others := slices.DeleteFunc(slices.Clone(l), func(known Departure) bool { return known.Instance == d.Instance })
	added := append(others, d)
	return added[max(0, len(added)-MaxListed):]
}

// Narrow returns the list with a departure of an instance whose start was not known, as one of
// the processes that started up to startedMillis. The list itself does not change.
func (l List) Narrow(instance string, startedMillis int64) List {
	narrowed := slices.Clone(l)
	for i := range narrowed {
		if narrowed[i].Instance == instance && narrowed[i].StartedMillis == AnyStart {
			narrowed[i].StartedMillis = startedMillis
		}
	}
	return narrowed
}

// Merge returns the list with the departures of one that is older, at the front: they are
// the first to be dropped.
func (l List) Merge(older List) List {
	merged := slices.Clone(older)
	for _, d := range l {
		merged = merged.Add(d)
	}
	return merged[max(0, len(merged)-MaxListed):]
}
