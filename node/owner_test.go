package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"verbenatrestle/process/ownership"
	"verbenatrestle/process/ownership/claim"
	"verbenatrestle/request"
	"verbenatrestle/request/balance"
	"verbenatrestle/version"
)

// fakeClaims is a partition with a single claim. It records how runs of the claim
// finish.
type fakeClaims struct {
	verdict ownership.Verdict
	answer  *claim.Answer
	ends    []string
}

func (c *fakeClaims) Claim(ownership.Request) ownership.Decision {
	d := ownership.Decision{Verdict: c.verdict, Answer: c.answer, RetryAfter: 70 * time.Millisecond}
	if c.verdict == ownership.Refused {
		d.Reason = ownership.ReasonNoLease
	}
	return d
}

func (c *fakeClaims) Complete(_ ownership.ClaimHandle, a *claim.Answer) {
	c.verdict = ownership.Replay
	c.answer = a
	c.ends = append(c.ends, "complete")
}

func (c *fakeClaims) Abort(ownership.ClaimHandle) { c.ends = append(c.ends, "abort") }

func (c *fakeClaims) MarkUnknown(ownership.ClaimHandle) { c.ends = append(c.ends, "mark unknown") }

var _ = Describe("an owner", func() {
	var (
		claims *fakeClaims
		runs   int
		run    func(req *bufferedRequest) result
		send   func(id string) result
	)

	BeforeEach(func() {
		claims = &fakeClaims{verdict: ownership.Run}
		runs = 0
		run = func(req *bufferedRequest) result {
			header := http.Header{request.HeaderRequestID: {req.id}, "X-Entry": {"7"}}
			return result{response: &response{status: http.StatusCreated, header: header, buffered: []byte("filed"), length: 5}}
		}
		service := version.Service{ID: "org/s", PathPrefix: "/s/", Routes: testRoutes}
		snapshot := version.NewSnapshot(1, time.Now(), []*version.Organisation{{Name: "org", Services: []version.Service{service}}}, nil, nil)
		own := &owner{self: "o", claims: claims, maxResponseBytes: 100, dispatch: func(_ context.Context, req *bufferedRequest) result {
			runs++
			return run(req)
		}}
		server := httptest.NewServer(&hopServer{self: "o", peerKey: testPeerKey, snapshot: func() *version.Snapshot { return snapshot }, owner: own})
		DeferCleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		hops := newHopClient(HopHTTP1, testPeerKey, func(string) (string, bool) { return address, true })
		send = func(id string) result {
			deadline, err := request.NewDeadline(time.Now(), "", time.Second)
			Expect(err).NotTo(HaveOccurred())
			s := snapshot.Service("org/s")
			req := &bufferedRequest{id: id, service: s, route: s.RouteByName("file"), method: "POST", uri: "/s/entries",
				header: http.Header{}, key: "k", deadline: deadline}
			return hops.send(context.Background(), "o", request.HopOwner, req)
		}
	})

	It("replays the kept response to a second request with the same key", func() {
		for _, id := range []string{"first", "second"} {
			res := send(id)
			Expect(res.failure).To(BeNil())
			Expect(res.response.status).To(Equal(http.StatusCreated))
			Expect(string(res.response.buffered)).To(Equal("filed"))
			Expect(res.response.header.Get("X-Entry")).To(Equal("7"))
		}
		Expect(runs).To(Equal(1))
		Expect(claims.ends).To(Equal([]string{"complete"}))
	})

	It("aborts the claim of a request that was not run", func() {
		run = func(*bufferedRequest) result {
			return failed(balance.Refused, newFailure(503, request.NotRun, "admit", "n1", "target is full", nil))
		}
		Expect(send("first").failure.Outcome).To(Equal(request.NotRun))
		Expect(claims.ends).To(Equal([]string{"abort"}))
	})

	It("keeps the claim of a request that may have run", func() {
		run = func(*bufferedRequest) result {
			return failed(balance.Failed, newFailure(502, request.Unknown, stepTarget, "t1", "connection failed", nil))
		}
		Expect(send("first").failure.Outcome).To(Equal(request.Unknown))
		Expect(claims.ends).To(Equal([]string{"mark unknown"}))
	})

	It("keeps the claim if the response is too long to be kept", func() {
		run = func(*bufferedRequest) result {
			return result{response: &response{status: 200, header: http.Header{}, buffered: make([]byte, 101), length: 101}}
		}
		Expect(send("first").failure.Outcome).To(Equal(request.Unknown))
		Expect(claims.ends).To(Equal([]string{"mark unknown"}))
	})

	DescribeTable("counts as failed to the ingress",
		func(verdict ownership.Verdict, want string) {
			claims.verdict = verdict
			res := send("first")
			got := "answered"
			if ownerUnavailable(&res) {
				got = "failed"
			}
			Expect(got).To(Equal(want))
		},
		Entry("without a lease", ownership.Refused, "failed"),
		Entry("not when it names another owner", ownership.NotOwner, "answered"),
		Entry("not when it runs the request", ownership.Run, "answered"),
	)

	DescribeTable("answers requests that it does not run",
		func(verdict ownership.Verdict, status int, outcome request.Outcome) {
			claims.verdict = verdict
			f := send("first").failure
			Expect(f.Status).To(Equal(status))
			Expect(f.Outcome).To(Equal(outcome))
			Expect(f.RetryAfter).To(Equal(70 * time.Millisecond))
			Expect(runs).To(BeZero())
		},
		Entry("another owner's key", ownership.NotOwner, http.StatusMisdirectedRequest, request.NotRun),
		Entry("no lease", ownership.Refused, http.StatusServiceUnavailable, request.NotRun),
		Entry("a previous owner's key", ownership.Unknown, http.StatusConflict, request.Unknown),
		Entry("a response no longer kept", ownership.Done, http.StatusConflict, request.Done),
	)
})
