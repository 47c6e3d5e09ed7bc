package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"verbenatrestle/request"
	"verbenatrestle/request/balance"
	"verbenatrestle/version"
)

var _ = Describe("a node without configuration yet", func() {
	empty := func() *version.Snapshot { return version.NewSnapshot(0, time.Time{}, nil, nil, nil) }

	It("asks callers to retry later", func() {
		p := newPath(echo)
		p.ingress.snapshot = empty
		status, header, _ := p.get("/s/x")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(header.Get(request.HeaderOutcome)).To(Equal(string(request.NotRun)))
		Expect(header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(p.runs.Load()).To(BeZero())
	})

	It("refuses hops, which are sent to another node or retried", func() {
		p := newPath(echo)
		hop := &hopServer{self: "o", peerKey: testPeerKey, snapshot: empty, owner: p.proxies["n0"], target: p.proxies["n0"]}
		asked := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked++
			if asked == 2 {
				hop.snapshot = p.ingress.snapshot
			}
			hop.ServeHTTP(w, r)
		}))
		DeferCleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		hops := newHopClient(HopHTTP1, testPeerKey, func(string) (string, bool) { return address, true })
		first := (&targetRouter{hops: hops}).call(context.Background(), "o", newTestRequest(p))
		Expect(first.kind).To(Equal(balance.Refused))
		Expect(first.notRun()).To(BeTrue())
		asked = 0
		hop.snapshot = empty
		router := &ownerRouter{
			self:            "i",
			ownerOf:         func(string, string) (string, bool) { return "o", true },
			reportReachable: func(string, string) {},
			reportFailed:    func(string, string) {},
			hops:            hops,
			metrics:         newRequestMetrics(metrics.NewRegistry()),
		}
		res := router.route(context.Background(), newTestRequest(p))
		Expect(res.failure).To(BeNil())
		Expect(res.response.status).To(Equal(http.StatusOK))
		Expect(p.runs.Load()).To(BeEquivalentTo(1))
	})

	// A peer has announced a newer version, which may have the path, the method, the
	// host or a higher limit. An answer that callers don't repeat must wait for it.
	DescribeTable("asks callers to retry what a newer configuration may allow",
		func(method, target, host string, bodyBytes, status int) {
			for _, outdated := range []bool{false, true} {
				p := newPath(echo)
				p.ingress.limits.MaxBodyBytes = 100
				p.ingress.outdated = func() bool { return outdated }
				want, retry := status, false
				if outdated {
					want, retry = http.StatusServiceUnavailable, true
				}
				r, err := http.NewRequest(method, p.caller.URL+target, strings.NewReader(strings.Repeat("x", bodyBytes)))
				Expect(err).NotTo(HaveOccurred())
				r.Host = host
				response, err := http.DefaultClient.Do(r)
				Expect(err).NotTo(HaveOccurred())
				_ = response.Body.Close()
				Expect(response.StatusCode).To(Equal(want))
				Expect(response.Header.Get("Retry-After") != "").To(Equal(retry))
				Expect(response.Header.Get(request.HeaderOutcome)).To(Equal(string(request.NotRun)))
			}
		},
		Entry("path", http.MethodGet, "/other/1", "org.example", 0, http.StatusNotFound),
		Entry("method", http.MethodDelete, "/s/entries", "org.example", 0, http.StatusMethodNotAllowed),
		Entry("host", http.MethodGet, "/s/peaks", "new.example", 0, http.StatusMisdirectedRequest),
		Entry("key", http.MethodPost, "/s/entries", "org.example", 0, http.StatusBadRequest),
		Entry("body", http.MethodGet, "/s/peaks", "org.example", 101, http.StatusRequestEntityTooLarge),
	)

	It("is outdated for a while after a peer announced a newer version", func() {
		c := newConfiguration("n", nil, nil, time.Second)
		now := time.Now()
		Expect(c.outdated(now)).To(BeFalse())
		c.recordPeerVersion(3)
		Expect(c.outdated(now)).To(BeTrue())
		c.recordPeerVersion(1)
		first, err := version.Document{Version: 2, OperationID: "op", AcceptedAt: now}.Encode()
		Expect(err).NotTo(HaveOccurred())
		c.updateFromPeer("peer", first)
		Expect(c.outdated(now)).To(BeTrue(), "a lower announcement hides the highest one")
		Expect(c.outdated(now.Add(2*announcementTTL))).To(BeFalse(), "nobody announces it any more")
		document, err := version.Document{Version: 3, OperationID: "op", AcceptedAt: now}.Encode()
		Expect(err).NotTo(HaveOccurred())
		c.updateFromPeer("peer", document)
		Expect(c.outdated(now)).To(BeFalse())
		c.recordPeerVersion(2)
		Expect(c.outdated(now)).To(BeFalse())
	})

	// Requests were run by old routes without an end while peers announced a newer version.
	It("does not go on by an old configuration without an end", func() {
		c := newConfiguration("n", nil, log.NewNopLogger(), time.Second)
		first, err := version.Document{Version: 1, OperationID: "op", AcceptedAt: time.Now()}.Encode()
		Expect(err).NotTo(HaveOccurred())
		c.updateFromPeer("peer", first)
		Expect(c.overdue(time.Now())).To(BeFalse())
		c.recordPeerVersion(3)
		known := time.Now()
		Expect(c.overdue(known)).To(BeFalse())
		Expect(c.overdue(known.Add(maxOutdated))).To(BeTrue())
		c.updateFromPeer("peer", []byte("no document"))
		Expect(c.overdue(known.Add(maxOutdated))).To(BeFalse(), "it can't decode that version")
	})

	It("asks callers to retry once its configuration is overdue", func() {
		p := newPath(echo)
		p.ingress.overdue = func() bool { return true }
		r, err := http.NewRequest(http.MethodGet, p.caller.URL+"/s/peaks", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Host = "org.example"
		response, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(p.runs.Load()).To(BeZero())
	})

	It("is not synced by a peer without configuration", func() {
		c := newConfiguration("n", nil, nil, time.Second)
		c.recordPeerVersion(0)
		Expect(c.synced(false, time.Now())).To(BeFalse())
	})
})

// newTestRequest returns a request to the non-idempotent route of the test service.
func newTestRequest(p *path) *bufferedRequest {
	deadline, err := request.NewDeadline(time.Now(), "", 5*time.Second)
	Expect(err).NotTo(HaveOccurred())
	s := p.ingress.snapshot().Service("org/s")
	return &bufferedRequest{id: "r", service: s, route: s.RouteByName("file"), method: "POST", uri: "/s/entries",
		header: http.Header{}, key: "k", deadline: deadline}
}
