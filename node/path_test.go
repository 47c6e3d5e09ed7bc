package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"verbenatrestle/connection/load"
	"verbenatrestle/internal/testseed"
	"verbenatrestle/process/admission"
	"verbenatrestle/request"
	"verbenatrestle/request/balance"
	"verbenatrestle/request/quarantine"
	"verbenatrestle/version"
)

func TestNode(t *testing.T) {
	testseed.RunSpecs(t, "node")
}

// path consists of an ingress and of some target proxies. Each proxy is in a node
// of its own, behind a real hop, and its target is a handler of the spec.
type path struct {
	ingress *ingress
	caller  *httptest.Server
	proxies map[string]*targetProxy
	runs    atomic.Int64
	cleanup func(func())
	// dispatch is the ingress's dispatcher.
	dispatch *dispatcher
}

const testPeerKey = "peer key of the specs"

var testRoutes = []version.Route{
	{Name: "lookup", Methods: []string{"GET", "HEAD"}, PathPrefix: "/s/", Idempotent: true, Timeout: 2 * time.Second},
	{Name: "file", Methods: []string{"POST"}, PathPrefix: "/s/", IdempotencyKeyRequired: true, Timeout: 2 * time.Second, MaxBodyBytes: 1000},
}

// newPath builds a path to one target for each handler, named n0, n1, ...
func newPath(targets ...http.HandlerFunc) *path {
	return buildPath(func(end func()) { DeferCleanup(end) }, HopHTTP1, targets...)
}

// buildPath is like newPath, for use outside of specs and with any hop protocol.
// It passes the functions to call at the end to cleanup.
func buildPath(cleanup func(func()), protocol HopProtocol, targets ...http.HandlerFunc) *path {
	p := &path{proxies: make(map[string]*targetProxy), cleanup: cleanup}
	service := version.Service{ID: "org/s", PathPrefix: "/s/", Routes: testRoutes, Partitions: 1}
	organisation := &version.Organisation{Name: "org", Hosts: []string{"org.example"}, Services: []version.Service{service}}
	snapshot := version.NewSnapshot(1, time.Now(), []*version.Organisation{organisation}, nil, nil)
	current := func() *version.Snapshot { return snapshot }
	addresses := make(map[string]string)
	var endpoints []balance.Endpoint
	for i, target := range targets {
		name := fmt.Sprintf("n%d", i)
		p.proxies[name] = p.startProxy(name, target)
		hop := httptest.NewUnstartedServer(&hopServer{self: name, peerKey: testPeerKey, snapshot: current, target: p.proxies[name]})
		hop.Config.Protocols = httpProtocols(protocol)
		hop.Start()
		p.cleanup(hop.Close)
		addresses[name] = strings.TrimPrefix(hop.URL, "http://")
		endpoints = append(endpoints, balance.Endpoint{Node: name, State: load.Warm, Slots: 10, ColdLimit: 10})
	}
	policy, err := balance.New(balance.DefaultPolicy)
	Expect(err).NotTo(HaveOccurred())
	table := balance.NewTable(policy, balance.Locality{})
	table.SetEndpoints("org/s", endpoints)
	resolve := func(node string) (string, bool) { a, ok := addresses[node]; return a, ok }
	counters := newRequestMetrics(metrics.NewRegistry())
	hops := newHopClient(protocol, testPeerKey, resolve)
	d := &dispatcher{
		table:   table,
		budgets: newBudgets(Budgets{RetryRatio: 1, HedgeRatio: 1}),
		targets: &targetRouter{self: "ingress", hops: hops},
		rngs:    newRandoms(),
		metrics: counters,
	}
	p.dispatch = d
	p.ingress = &ingress{
		self:          "ingress",
		limits:        Limits{MaxBodyBytes: 1 << 20, MaxCallerInFlight: 100},
		snapshot:      current,
		outdated:      func() bool { return false },
		overdue:       func() bool { return false },
		localService:  func() version.ServiceID { return "org/team" },
		limiter:       request.NewLimiter(),
		quarantine:    quarantine.New(quarantine.DefaultSettings),
		idempotent:    d.dispatch,
		nonIdempotent: d.dispatch,
		metrics:       counters,
	}
	p.caller = httptest.NewServer(p.ingress)
	p.cleanup(p.caller.Close)
	return p
}

// startProxy starts a target and returns a proxy to it.
func (p *path) startProxy(name string, target http.HandlerFunc) *targetProxy {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.runs.Add(1)
		w.Header().Set(request.HeaderRequestID, r.Header.Get(request.HeaderRequestID))
		target(w, r)
	}))
	p.cleanup(server.Close)
	core, err := admission.New(admission.DefaultSettings, newRandom())
	Expect(err).NotTo(HaveOccurred())
	core.Announce(admission.Target{Instance: name, Slots: 10, Connections: 20, ColdLimit: 10}, time.Now())
	core.SetOpenConnections(20)
	proxy := &targetProxy{
		self:               name,
		admission:          core,
		quarantine:         quarantine.New(quarantine.DefaultSettings),
		flood:              func(quarantine.Message) {},
		onConnectionBroken: func(string) {},
	}
	proxy.client.Store(newTargetClient("org/s", strings.TrimPrefix(server.URL, "http://"), 20, func(int) {}))
	return proxy
}

// call sends a request through the ingress. The returned body is "" if the
// response broke off.
func (p *path) call(method, target, body string, header map[string]string) (int, http.Header, string) {
	r, err := http.NewRequest(method, p.caller.URL+target, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "org.example"
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, resp.Header, ""
	}
	return resp.StatusCode, resp.Header, string(answer)
}

// get sends a request to the idempotent route.
func (p *path) get(target string) (int, http.Header, string) {
	return p.call(http.MethodGet, target, "", nil)
}

// post sends a request to the non-idempotent route, with a key.
func (p *path) post(body string) (int, http.Header, string) {
	return p.call(http.MethodPost, "/s/entries", body, map[string]string{request.HeaderIdempotencyKey: "k1"})
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
}

// truncateResponse sends less than its Content-Length and breaks off.
func truncateResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte("half"))
	panic(http.ErrAbortHandler)
}

// closeConnection closes the connection without a response.
func closeConnection(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

// shedRequest reports that the target didn't run the request.
func shedRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(request.HeaderOutcome, string(request.NotRun))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// answerOtherRequest sends a response with the ID of another request.
func answerOtherRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(request.HeaderRequestID, "another")
	_, _ = w.Write([]byte("not yours"))
}

var _ = Describe("the path of a request", func() {
	It("carries method, path, query and body to the target and the response back", func() {
		p := newPath(echo)
		status, header, body := p.get("/s/peaks?name=anamudi")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("GET /s/peaks?name=anamudi "))
		Expect(header.Get(request.HeaderLoad)).To(BeEmpty())
		_, _, body = p.post("an entry")
		Expect(body).To(Equal("POST /s/entries an entry"))
	})

	It("gives each of many callers its own complete response", func() {
		p := newPath(echo, echo, echo)
		var group sync.WaitGroup
		for i := range 200 {
			group.Go(func() {
				defer GinkgoRecover()
				query := "/s/peaks?n=" + strconv.Itoa(i)
				status, _, body := p.get(query)
				if status == http.StatusOK {
					Expect(body).To(Equal("GET " + query + " "))
				}
			})
		}
		group.Wait()
	})

	DescribeTable("forwards responses without a body",
		func(method string, status int, length string) {
			p := newPath(func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				w.WriteHeader(status)
			})
			got, header, body := p.call(method, "/s/peaks", "", nil)
			Expect(got).To(Equal(status))
			Expect(header.Get("Content-Length")).To(Equal(length))
			Expect(body).To(BeEmpty())
		},
		Entry("no content", http.MethodGet, http.StatusNoContent, ""),
		Entry("not modified", http.MethodGet, http.StatusNotModified, ""),
		Entry("headers only", http.MethodHead, http.StatusOK, "123"),
		// Guards against a length of 0 that the target did not send: that of the absent body.
		Entry("headers only, of unknown length", http.MethodHead, http.StatusOK, ""),
	)

	It("streams a response that is longer than the buffer", func() {
		long := strings.Repeat("0123456789abcdef", 3*maxBufferedBytes/16)
		p := newPath(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) })
		_, _, body := p.get("/s/archive")
		Expect(body).To(Equal(long))
		Eventually(p.proxies["n0"].admission.Idle).Should(BeTrue())
	})

	It("never presents a truncated long response as complete", func() {
		p := newPath(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(4*maxBufferedBytes))
			_, _ = w.Write(make([]byte, 2*maxBufferedBytes))
			panic(http.ErrAbortHandler)
		})
		_, _, body := p.get("/s/archive")
		Expect(body).To(BeEmpty())
		Eventually(p.proxies["n0"].admission.Idle).Should(BeTrue())
	})

	DescribeTable("an idempotent request goes to another target after",
		func(bad http.HandlerFunc) {
			p := newPath(bad, echo)
			for range 4 {
				status, _, body := p.get("/s/peaks")
				Expect(status).To(Equal(http.StatusOK))
				Expect(body).To(Equal("GET /s/peaks "))
			}
		},
		Entry("a truncated response", http.HandlerFunc(truncateResponse)),
		Entry("a connection that breaks", http.HandlerFunc(closeConnection)),
		Entry("a response to another request", http.HandlerFunc(answerOtherRequest)),
		Entry("a refusal by the target", http.HandlerFunc(shedRequest)),
	)

	DescribeTable("a non-idempotent request is not sent again after",
		func(bad http.HandlerFunc) {
			p := newPath(bad, bad)
			_, header, _ := p.post("an entry")
			Expect(header.Get(request.HeaderOutcome)).To(Equal(string(request.Unknown)))
			Expect(p.runs.Load()).To(BeEquivalentTo(1))
		},
		Entry("a truncated response", http.HandlerFunc(truncateResponse)),
		Entry("a connection that breaks", http.HandlerFunc(closeConnection)),
		Entry("a response to another request", http.HandlerFunc(answerOtherRequest)),
	)

	It("sends a non-idempotent request without a body once over a connection in use", func() {
		first := true
		p := newPath(func(w http.ResponseWriter, r *http.Request) {
			if !first {
				closeConnection(w, r)
			}
			first = false
		})
		p.post("")
		p.post("")
		Expect(p.runs.Load()).To(BeEquivalentTo(2))
	})

	It("tries a non-idempotent request elsewhere once it was refused", func() {
		p := newPath(shedRequest, echo)
		status, _, _ := p.post("an entry")
		Expect(status).To(Equal(http.StatusOK))
	})

	It("reports not-run at once if every target refused the request", func() {
		p := newPath(shedRequest, shedRequest)
		status, header, _ := p.post("an entry")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(header.Get(request.HeaderOutcome)).To(Equal(string(request.NotRun)))
		Expect(header.Get("Content-Type")).To(Equal(request.ContentTypeProblem))
	})

	It("forwards the deadline to the target and cancels requests that nobody waits for", func() {
		cancelled := make(chan struct{})
		var left atomic.Int64
		p := newPath(func(_ http.ResponseWriter, r *http.Request) {
			ms, _ := strconv.ParseInt(r.Header.Get(request.HeaderTimeout), 10, 64)
			left.Store(ms)
			<-r.Context().Done()
			close(cancelled)
		})
		ctx, cancel := context.WithCancel(context.Background())
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, p.caller.URL+"/s/slow", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Host = "org.example"
		r.Header.Set(request.HeaderTimeout, "1500")
		go func() {
			for left.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}()
		_, err = http.DefaultClient.Do(r)
		Expect(err).To(HaveOccurred())
		Eventually(cancelled, "10s").Should(BeClosed())
		Expect(left.Load()).To(BeNumerically("<", 1500))
		Eventually(p.proxies["n0"].admission.Idle, "10s").Should(BeTrue())
	})
})

var _ = Describe("a stopping node", func() {
	It("asks callers to close connections, and accepts requests on them until then", func() {
		var stopping atomic.Bool
		p := newPath(echo)
		server := httptest.NewServer(closeWhileStopping(&stopping, p.ingress))
		defer server.Close()
		p.caller = server
		for _, left := range []bool{false, true} {
			stopping.Store(left)
			r, err := http.NewRequest(http.MethodGet, server.URL+"/s/peaks", nil)
			Expect(err).NotTo(HaveOccurred())
			r.Host = "org.example"
			resp, err := http.DefaultClient.Do(r)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			Expect(resp.Close).To(Equal(left))
		}
	})
})

// recordingServer records the last request.
type recordingServer struct{ last *bufferedRequest }

func (s *recordingServer) serve(_ context.Context, req *bufferedRequest) result {
	s.last = req
	return result{response: &response{status: http.StatusOK, header: http.Header{}}}
}

var _ = Describe("the share of a full target", func() {
	It("is that of the ingress's service, whatever the caller's header says", func() {
		p := newPath(echo)
		recorder := &recordingServer{}
		hop := httptest.NewServer(&hopServer{self: "n0", peerKey: testPeerKey, snapshot: p.ingress.snapshot, target: recorder})
		defer hop.Close()
		address := strings.TrimPrefix(hop.URL, "http://")
		hops := newHopClient(HopHTTP1, testPeerKey, func(string) (string, bool) { return address, true })
		p.ingress.idempotent = func(ctx context.Context, req *bufferedRequest) result {
			return hops.send(ctx, "n0", request.HopGuard, req)
		}
		status, _, _ := p.call(http.MethodGet, "/s/peaks", "", map[string]string{request.HeaderCaller: "org/greedy"})
		Expect(status).To(Equal(http.StatusOK))
		Expect(recorder.last.caller).To(Equal(version.ServiceID("org/team")))
		Expect(recorder.last.header).NotTo(HaveKey(request.HeaderCaller))
	})
})
