package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"verbenatrestle/process/ownership"
	"verbenatrestle/request"
	"verbenatrestle/version"
)

// hopTo returns a function that sends requests over a hop to a node with the given
// configuration and servers.
func hopTo(s *version.Snapshot, owner, target requestServer) func(ctx context.Context, hop string, req *bufferedRequest) result {
	server := httptest.NewServer(&hopServer{self: "n", peerKey: testPeerKey, snapshot: func() *version.Snapshot { return s }, owner: owner, target: target})
	DeferCleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	hops := newHopClient(HopHTTP1, testPeerKey, func(string) (string, bool) { return address, true })
	return func(ctx context.Context, hop string, req *bufferedRequest) result {
		return hops.send(ctx, "n", hop, req)
	}
}

// singleService returns a configuration with one service at the host org.example.
func singleService(number uint64, service version.Service) *version.Snapshot {
	organisation := &version.Organisation{Name: service.ID.Organisation(), Hosts: []string{"org.example"}, Services: []version.Service{service}}
	return version.NewSnapshot(number, time.Now(), []*version.Organisation{organisation}, nil, nil)
}

// idempotentService returns a configuration in which all routes of org/s are idempotent.
func idempotentService(number uint64) *version.Snapshot {
	routes := slices.Clone(testRoutes)
	for i := range routes {
		routes[i].Idempotent = true
	}
	return singleService(number, version.Service{ID: "org/s", PathPrefix: "/s/", Routes: routes})
}

var _ = Describe("a node whose configuration has the route as idempotent, unlike the sender's", func() {
	// Guards against a second run of a non-idempotent request: the owner retried by its own
	// configuration, and the connection to the target repeated the request.
	It("does not run a request of the owner's path twice", func() {
		p := newPath(closeConnection, closeConnection)
		owner := &owner{self: "n", claims: &fakeClaims{verdict: ownership.Run}, dispatch: p.dispatch.dispatch}
		hopTo(idempotentService(2), owner, nil)(context.Background(), request.HopOwner, newTestRequest(p))
		Expect(p.runs.Load()).To(BeNumerically("<=", 1))
	})

	It("does not send it to its target twice", func() {
		broken := false
		p := newPath(func(w http.ResponseWriter, r *http.Request) {
			if broken {
				closeConnection(w, r)
			}
		})
		send := hopTo(idempotentService(2), nil, p.proxies["n0"])
		send(context.Background(), request.HopGuard, newTestRequest(p))
		broken = true
		send(context.Background(), request.HopGuard, newTestRequest(p))
		Expect(p.runs.Load()).To(BeNumerically("<=", 2))
	})
})

var _ = Describe("a node with another configuration than the ingress", func() {
	lookup := version.Service{ID: "org/s", PathPrefix: "/s/", Routes: []version.Route{
		{Name: "lookup", Methods: []string{"GET"}, PathPrefix: "/s/", Idempotent: true, Timeout: 2 * time.Second}}}
	change := func(f func(*version.Service)) version.Service {
		changed := lookup
		changed.Routes = slices.Clone(lookup.Routes)
		f(&changed)
		return changed
	}

	// Guards against runs that only an outdated ingress allows: the node beside the target
	// compared the names of service and route, not what they match.
	DescribeTable("runs what the newer of both allows",
		func(there version.Service, host string, number uint64, status int) {
			p := newPath()
			here := singleService(2, lookup)
			p.ingress.snapshot = func() *version.Snapshot { return here }
			organisation := &version.Organisation{Name: there.ID.Organisation(), Hosts: []string{host}, Services: []version.Service{there}}
			recorder := &recordingServer{}
			send := hopTo(version.NewSnapshot(number, time.Now(), []*version.Organisation{organisation}, nil, nil), nil, recorder)
			p.ingress.idempotent = func(ctx context.Context, req *bufferedRequest) result { return send(ctx, request.HopGuard, req) }
			got, header, _ := p.get("/s/peaks")
			Expect(got).To(Equal(status))
			if status == http.StatusOK {
				Expect(recorder.last).NotTo(BeNil())
				return
			}
			Expect(recorder.last).To(BeNil(), "the request was run")
			Expect(header.Get(request.HeaderOutcome)).To(Equal(string(request.NotRun)))
			Expect(header.Get("Retry-After")).NotTo(BeEmpty())
		},
		Entry("the same", lookup, "org.example", uint64(3), http.StatusOK),
		Entry("service removed", change(func(s *version.Service) { s.ID = "org/t" }), "org.example", uint64(3), http.StatusServiceUnavailable),
		Entry("organisation removed", change(func(s *version.Service) { s.ID = "other/s" }), "org.example", uint64(3), http.StatusServiceUnavailable),
		Entry("host removed", lookup, "new.example", uint64(3), http.StatusServiceUnavailable),
		Entry("path moved", change(func(s *version.Service) { s.Routes[0].PathPrefix = "/s/lakes" }), "org.example", uint64(3), http.StatusServiceUnavailable),
		Entry("method removed", change(func(s *version.Service) { s.Routes[0].Methods = []string{"HEAD"} }), "org.example", uint64(3), http.StatusServiceUnavailable),
		Entry("path handled by another route", change(func(s *version.Service) {
			s.Routes = append(s.Routes, version.Route{Name: "peaks", Methods: []string{"GET"}, PathPrefix: "/s/peaks", Idempotent: true})
		}), "org.example", uint64(3), http.StatusServiceUnavailable),
		Entry("path not yet added", change(func(s *version.Service) { s.Routes[0].PathPrefix = "/s/lakes" }), "org.example", uint64(1), http.StatusOK),
	)
})
