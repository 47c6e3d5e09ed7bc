package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"verbenatrestle/request"
	"verbenatrestle/request/balance"
)

var _ = Describe("the combined result of several attempts", func() {
	It("is not-run only if no attempt may have been run", func() {
		refused := func() result {
			return failed(balance.Refused, newFailure(http.StatusServiceUnavailable, request.NotRun, "admit", "n", "full", nil))
		}
		broken := failed(balance.Failed, newFailure(http.StatusBadGateway, request.Unknown, stepTarget, "n", "broke", nil))
		var all combinedResult
		Expect(all.add(refused()).failure.Outcome).To(Equal(request.NotRun))
		Expect(all.add(refused()).failure.Outcome).To(Equal(request.NotRun))
		Expect(all.add(broken).failure.Outcome).To(Equal(request.Unknown))
		Expect(all.add(refused()).failure.Outcome).To(Equal(request.Unknown))
	})

	It("is never not-run for the caller if a target began to run the request", func() {
		for range 20 {
			var began atomic.Bool
			p := newPath(func(w http.ResponseWriter, r *http.Request) {
				began.Store(true)
				closeConnection(w, r)
			}, shedRequest, shedRequest)
			_, header, _ := p.get("/s/x")
			if began.Load() {
				Expect(header.Get(request.HeaderOutcome)).To(Equal(string(request.Unknown)))
			}
		}
	})
})

var _ = Describe("a hop", func() {
	It("rejects a response to another request", func() {
		server := httptest.NewServer(http.HandlerFunc(answerOtherRequest))
		DeferCleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		hops := newHopClient(HopHTTP1, testPeerKey, func(string) (string, bool) { return address, true })
		res := hops.send(context.Background(), "n", request.HopGuard, newTestRequest(newPath(echo)))
		Expect(res.response).To(BeNil())
		Expect(res.failure.Outcome).To(Equal(request.Unknown))
	})
})

// The combined result of a request is not-run only if no attempt may have run,
// whatever the results of the attempts are.
func TestCombinedResultIsNotRunOnlyIfNoAttemptRan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ends := rapid.SliceOfN(rapid.SampledFrom([]string{"answer", "not-run", "unknown", "done"}), 1, 6).Draw(t, "ends")
		var all combinedResult
		ran := false
		for _, end := range ends {
			res := result{}
			if end == "answer" {
				res.response = &response{status: http.StatusInternalServerError}
			} else {
				res.failure = &request.Failure{Outcome: request.Outcome(end)}
			}
			ran = ran || end != "not-run"
			got := all.add(res)
			if got.failure == nil {
				continue
			}
			if notRun := got.failure.Outcome == request.NotRun; notRun == ran {
				t.Fatalf("after %v: not-run %v, may have run %v", ends, notRun, ran)
			}
		}
	})
}
