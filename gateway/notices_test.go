package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"verbenatrestle/platform"
	"verbenatrestle/platform/standin"
)

const (
	// limitWindow, limitFactor and limitSlack bound the requests of a target with a
	// request limit: in any limitWindow at most limitFactor times what the limit allows,
	// and limitSlack more. limitSettleTime is how long after the limit was first named
	// they hold. The users of the platform set these limits.
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
	limitSettleTime = 3 * time.Second
	// maxLeavingDelay is how long after a response that says so a target that leaves may
	// still receive requests. The users of the platform set this limit.
	maxLeavingDelay = 2 * time.Second
)

// mostRunsInWindow returns the largest number of runs within any limitWindow from a time
// on.
func mostRunsInWindow(runs []standin.Run, from time.Time) int {
	most, first := 0, 0
	for i, run := range runs {
		if run.StartTime.Before(from) {
			first = i + 1
			continue
		}
		for run.StartTime.Sub(runs[first].StartTime) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// sendSteadily sends requests for a service to all nodes in turn, a hundred a second, for
// a time. It returns the number of responses by status.
func (f *testFleet) sendSteadily(service string, duration time.Duration) map[int]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	statuses := make(map[int]int)
	until := time.Now().Add(duration)
	for i := 0; time.Now().Before(until); i++ {
		node := f.nodes[i%len(f.nodes)]
		group.Go(func() {
			got := node.call(f.t, http.MethodGet, fmt.Sprintf("/%s/%d", service, i), fmt.Sprint(service, "-", i), "")
			mu.Lock()
			defer mu.Unlock()
			statuses[got.status]++
		})
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	return statuses
}

// A target in need names a request limit in its responses. All nodes together must keep
// it, and the other targets of the service get the rest.
func TestRequestLimitOfATargetIsKept(t *testing.T) {
	const perSecond = 4.0
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s", "u"))
	limited := f.add(testTarget{service: "s", slots: 8, work: 20 * time.Millisecond})
	f.add(testTarget{service: "s", slots: 8, work: 20 * time.Millisecond})
	f.add(testTarget{service: "u", slots: 8, work: 20 * time.Millisecond})
	f.settled(1)
	limited.target.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set(platform.HeaderRequestLimit, fmt.Sprint(perSecond))
		return false
	})
	from := time.Now().Add(limitSettleTime)
	statuses := f.sendSteadily("s", limitSettleTime+limitWindow+time.Second)
	allowed := int(limitFactor*perSecond*limitWindow.Seconds() + limitSlack)
	if got := mostRunsInWindow(limited.target.Runs(), from); got > allowed || got == 0 {
		t.Errorf("%d requests in %v, want 1 to %d", got, limitWindow, allowed)
	}
	if len(statuses) != 1 || statuses[http.StatusOK] == 0 {
		t.Errorf("responses by status: %v, want only 200: another target has room", statuses)
	}
	limited.target.Intercept(nil)
	before := len(limited.target.Runs())
	f.sendSteadily("s", 3*time.Second)
	if got := len(limited.target.Runs()) - before; got < 60 {
		t.Errorf("%d requests in 3 s after the end of the limit, want about half of 300", got)
	}
}

// Some targets don't report that they leave, but say so in their responses. They must get
// no new requests soon after.
func TestTargetThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s", "u"))
	leaving := f.add(testTarget{service: "s", slots: 8, work: 20 * time.Millisecond})
	f.add(testTarget{service: "s", slots: 8, work: 20 * time.Millisecond})
	f.add(testTarget{service: "u", slots: 8, work: 20 * time.Millisecond})
	f.settled(1)
	leaving.target.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set(platform.HeaderLeaving, "1")
		return false
	})
	began := time.Now()
	statuses := f.sendSteadily("s", maxLeavingDelay+time.Second)
	for _, run := range leaving.target.Runs() {
		if late := run.StartTime.Sub(began); late > maxLeavingDelay {
			t.Errorf("%s reached the target after %v, want at most %v", run.ID, late, maxLeavingDelay)
			break
		}
	}
	if len(statuses) != 1 || statuses[http.StatusOK] == 0 {
		t.Errorf("responses by status: %v, want only 200: another target has room", statuses)
	}
}
