package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"verbenatrestle/platform"
	"verbenatrestle/platform/standin"
	"verbenatrestle/process/gate"
)

// calmPrefix begins the ids of requests whose responses loseFirst does not lose.
const calmPrefix = "calm-"

// loseFirst makes the targets beside the nodes lose the response to the first send of each
// request, but for calmPrefix. It returns a function that returns the number of sends of a request there.
func loseFirst(nodes ...*testNode) (sends func(id string) int) {
	var mu sync.Mutex
	counts := make(map[string]int)
	for _, n := range nodes {
		n.target.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get(platform.HeaderRequestID)
			if strings.HasPrefix(id, calmPrefix) {
				return false
			}
			mu.Lock()
			counts[id]++
			first := counts[id] == 1
			mu.Unlock()
			if first {
				panic(http.ErrAbortHandler)
			}
			return false
		})
	}
	return func(id string) int {
		mu.Lock()
		defer mu.Unlock()
		return counts[id]
	}
}

// A node is restarted while all others run on, and the budget of the service has room. A caller
// whose idempotent request lost its response within half a second got 502: the restarted
// node refused the retry.
func TestLostResponsesAreRepeatedAfterRestartOfOneNode(t *testing.T) {
	for _, targets := range []int{2, 3} {
		t.Run(fmt.Sprintf("%d targets", targets), func(t *testing.T) { loseAfterRestart(t, targets, 1) })
	}
}

// As above, with more lost responses than the part of the restarted node allows: a retry that
// it refuses has to reach the third target, whose part is whole.
func TestRetryThatARestartedNodeRefusesIsSentElsewhere(t *testing.T) { loseAfterRestart(t, 3, 6) }

// loseAfterRestart restarts the node beside one of the targets of a service, lets the others
// lose the first responses, and fails the test unless every request gets an answer.
func loseAfterRestart(t *testing.T, targets, lost int) {
	f := newTestFleet(t)
	f.adjust = func(s *Settings) { s.FirstStart = true }
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	for range targets {
		f.add(quick)
	}
	f.settled(1)
	restarted, ingress := f.nodes[0], f.nodes[1]
	sends := loseFirst(f.nodes[1:]...) // their retries reach the restarted node or the third
	restarted.settings.FirstStart = false
	f.restart(restarted)
	f.settled(1)
	for i, seen := 0, 0; seen < lost; i++ {
		id := fmt.Sprint("r", i)
		if got := ingress.call(t, http.MethodGet, "/s/1", id, ""); got.status != http.StatusOK {
			t.Fatalf("%d, %v after the restart, %d lost responses before", got.status, time.Since(restarted.startedAt), seen)
		}
		if sends(id) > 0 {
			seen++
			serveCalmly(t, ingress, i, f.nodes[1:])
		}
	}
}

// serveCalmly sends requests until each of the targets beside the nodes has served one. A target
// that loses two responses in a row counts as down, and would leave no other one to ask.
func serveCalmly(t *testing.T, ingress *testNode, round int, nodes []*testNode) {
	t.Helper()
	before := make([]int, len(nodes))
	for i, n := range nodes {
		before[i] = len(n.target.Runs())
	}
	for i := 0; slices.ContainsFunc(nodes, func(n *testNode) bool { return len(n.target.Runs()) == before[slices.Index(nodes, n)] }); i++ {
		id := fmt.Sprint(calmPrefix, round, "-", i)
		if got := ingress.call(t, http.MethodGet, "/s/1", id, ""); got.status != http.StatusOK {
			t.Fatalf("%s: %d", id, got.status)
		}
	}
}

// The service got more retries than its budget allowed, and no metric showed which of the sends
// the gates had counted as retries.
func TestGateCountsAdmittedRequestsByKind(t *testing.T) {
	f := newTestFleet(t)
	f.adjust = func(s *Settings) { s.FirstStart = true }
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	a, b := f.add(quick), f.add(quick)
	f.settled(1)
	sends := loseFirst(a, b)
	if got := a.call(t, http.MethodGet, "/s/1", "r", ""); got.status != http.StatusOK || sends("r") != 2 {
		t.Fatalf("%d after %d sends, want 200 after 2", got.status, sends("r"))
	}
	a.metrics.gateAdmitted(&gate.Request{CausedByRetry: true})
	for kind, want := range map[string]int64{"first": 1, "retry": 1, "caused-by-retry": 1} {
		admitted := int64(0)
		for _, n := range f.nodes {
			admitted += metrics.GetOrRegisterCounter("gate.admitted."+kind, n.metrics.registry).Count()
		}
		if admitted != want {
			t.Errorf("%d admitted as %s, want %d", admitted, kind, want)
		}
	}
}
