package soak

import (
	"slices"
	"sort"
	"time"
)

// crashesBeforeQuarantine, quarantineDelay and maxLateCrashes bound the runs of a
// request that crashes targets: at most maxLateCrashes later than quarantineDelay
// after crash number crashesBeforeQuarantine. The users of the platform set them.
const (
	crashesBeforeQuarantine = 3
	quarantineDelay         = 3 * time.Second
	maxLateCrashes          = 3
)

// content is what makes two requests equal by the rules of the platform: the calling
// service, which is that of the node that the request was sent to, path and body.
type content struct{ callerService, request string }

// checkPoison checks that each request that crashes targets is kept from them in time.
func (r *Result) checkPoison(callers []CallerRecord, runs []RunRecord) {
	poison := make(map[string]bool)
	for i := range callers {
		poison[callers[i].ID] = callers[i].Poison
	}
	crashes := make(map[content][]int64)
	for _, run := range runs {
		if poison[run.ID] {
			c := content{callerService: run.CallerService, request: run.Request}
			crashes[c] = append(crashes[c], run.StartMillis)
		}
	}
	for c, times := range crashes {
		if late := lateCrashes(times); late > maxLateCrashes {
			r.addViolation("poison: the request of %q crashed %d more targets from %v after the third crash on", c.callerService, late, quarantineDelay)
		}
	}
}

// lateCrashes returns how many of the crashes under one request came too late, from their
// times in Unix milliseconds.
func lateCrashes(times []int64) int {
	if len(times) < crashesBeforeQuarantine {
		return 0
	}
	slices.Sort(times)
	limit := times[crashesBeforeQuarantine-1] + quarantineDelay.Milliseconds()
	return len(times) - sort.Search(len(times), func(i int) bool { return times[i] > limit })
}

// checkCallerServices checks that all requests that were sent to one node ran for the same
// calling service.
func (r *Result) checkCallerServices(callers []CallerRecord, runs map[string][]RunRecord) {
	services := make(map[string]string) // by node
	for i := range callers {
		for _, run := range runs[callers[i].ID] {
			node := callers[i].Node
			service, known := services[node]
			services[node] = run.CallerService
			if known && run.CallerService != service {
				r.addViolation("caller: %s ran for %q, an earlier request at %s for %q", run.ID, run.CallerService, node, service)
			}
		}
	}
}
