package node_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"verbenatrestle/internal/standin/load"
	"verbenatrestle/internal/standin/platform"
	"verbenatrestle/internal/standin/target"
	"verbenatrestle/node"
)

const (
	clusterToken = "admin token of the specs"
	// clusterWait bounds the wait for a condition that must become true.
	clusterWait = 30 * time.Second
)

// member is a node with its target. Both run in the test process.
type member struct {
	settings node.Settings
	target   *target.Target
	address  string
	stop     context.CancelFunc
	stopped  chan struct{}
}

// cluster is a small fleet of the example organisation Kodumala: two services in
// three data centres.
type cluster struct {
	platform *platform.Server
	members  []*member
	// journals are the addresses of all targets, including those beside stopped
	// nodes.
	journals []string
	mix      load.Mix
}

// addresses counts the addresses that freeAddress has returned.
var addresses atomic.Int64

// freeAddress returns an address with a port that was not used before. The port is
// below the ephemeral range of the kernel, so that no outgoing connection takes it
// before the listener is opened.
func freeAddress() string {
	return fmt.Sprintf("127.8.3.1:%d", 18000+addresses.Add(1))
}

func startCluster() *cluster {
	c := &cluster{platform: platform.NewServer(platform.Options{}), mix: clusterMix()}
	server := httptest.NewServer(c.platform.Handler())
	DeferCleanup(server.CloseClientConnections)
	for _, service := range []string{"register-viewing", "entry-filing"} {
		for _, dc := range []string{"kochi-a", "kochi-b", "kochi-c"} {
			m := startMember(server.URL, service, dc)
			c.members = append(c.members, m)
			c.journals = append(c.journals, m.address)
		}
	}
	DeferCleanup(c.stop)
	c.apply()
	c.warm()
	return c
}

// clusterMix returns the part of Kodumala's mix of requests for the two services.
func clusterMix() load.Mix {
	mix, err := load.PredefinedMix("kodumala")
	Expect(err).NotTo(HaveOccurred())
	var kept []load.Class
	for _, class := range mix.Classes {
		if class.Name == "register-viewing" || class.Name == "entry-filing" {
			kept = append(kept, class)
		}
	}
	mix.Classes = kept
	return mix
}

func startMember(platformURL, service, dc string) *member {
	s, err := node.ParseSettings([]byte(fmt.Sprintf(`
name: %s-%s
data_centre: %s
region: kerala-south
listen: {callers: %s, hop: %s, peer: %s, admin: %s, announce: %s}
platform: {address: %s}
secrets: {admin_token: %s, peer_key: peer key of the specs}
gossip_period: 100ms
ownership: {term: 500ms}
`, service, dc, dc, freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress(), platformURL, clusterToken)))
	Expect(err).NotTo(HaveOccurred())
	n, err := node.New(s, log.NewNopLogger())
	Expect(err).NotTo(HaveOccurred())
	m := &member{settings: s, address: freeAddress(), stopped: make(chan struct{})}
	m.target, err = target.New(target.Options{
		Organisation:    "kodumala",
		Service:         service,
		Address:         m.address,
		AnnounceURL:     "http://" + s.Listen.Announce,
		ColdLimit:       4,
		WarmupResponses: 20,
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	targetCtx, stopTarget := context.WithCancel(context.Background())
	DeferCleanup(stopTarget)
	go func() { _ = m.target.Run(targetCtx) }()
	go func() {
		defer GinkgoRecover()
		defer close(m.stopped)
		Expect(n.Run(ctx)).To(Succeed())
	}()
	return m
}

// stop stops all nodes and waits for the end of the planned stop.
func (c *cluster) stop() {
	for _, m := range c.members {
		m.stop()
	}
	for _, m := range c.members {
		Eventually(m.stopped, clusterWait).Should(BeClosed())
	}
}

// admin calls the administration API of a member and returns the HTTP status, or 0
// if there is no response.
func (c *cluster) admin(m *member, method, path, body string) int {
	r, err := http.NewRequest(method, "http://"+m.settings.Listen.Admin+path, bytes.NewReader([]byte(body)))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+clusterToken)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// apply applies Kodumala's configuration without hedging, so that a request that a
// target sees cancelled was cut off.
func (c *cluster) apply() {
	c.awaitReady()
	var files []string
	for _, name := range []string{"template", "organisation"} {
		text, err := os.ReadFile("../examples/kodumala/" + name + ".yaml")
		Expect(err).NotTo(HaveOccurred())
		files = append(files, strings.TrimSpace(string(text)))
	}
	files[1] += "\n  hedge_lookups: false"
	Expect(c.admin(c.members[0], http.MethodPost, "/v1/apply", strings.Join(files, "\n---\n"))).To(Equal(http.StatusOK))
}

// awaitReady waits until every node is ready.
func (c *cluster) awaitReady() {
	for _, m := range c.members {
		Eventually(func() int { return c.admin(m, http.MethodGet, "/v1/ready", "") }, clusterWait).Should(Equal(http.StatusOK))
	}
}

// warm sends load until operations of every class are answered.
func (c *cluster) warm() {
	Eventually(func() bool {
		r := c.drive(1, 200*time.Millisecond)
		for _, class := range c.mix.Classes {
			if r.Classes[class.Name].Answered == 0 {
				return false
			}
		}
		return true
	}, clusterWait).Should(BeTrue())
}

// drive sends load and checks the invariants: no operation ran twice, no outcome
// was wrong, and no response was misrouted or truncated.
func (c *cluster) drive(seed uint64, duration time.Duration) *load.Report {
	config := load.Config{Mix: c.mix, Rate: 200, Duration: duration, Seed: seed, Duplicates: 0.2, Journals: c.journals}
	for _, m := range c.members {
		config.Ingresses = append(config.Ingresses, m.settings.Listen.Callers)
	}
	r, err := load.Run(context.Background(), config)
	Expect(err).NotTo(HaveOccurred())
	Expect(r.DuplicateExecutions).To(BeZero())
	Expect(r.FalseNotRun).To(BeZero())
	Expect(r.All.Misrouted).To(BeZero())
	Expect(r.All.Truncated).To(BeZero())
	Expect(r.UnreadJournals).To(BeEmpty())
	return r
}

// control sets the behaviour of all targets.
func (c *cluster) control(how target.Control) {
	for _, m := range c.members {
		m.target.Apply(how)
	}
}

// answered returns how many operations of each class were answered.
func answered(r *load.Report) map[string]int {
	out := make(map[string]int)
	for name, class := range r.Classes {
		out[name] = class.Answered
	}
	return out
}

// runs returns how many runs the targets of a data centre have started.
func (c *cluster) runs(dc string) int {
	total := 0
	for _, m := range c.members {
		if m.settings.DataCentre == dc {
			total += m.target.Stats().Runs
		}
	}
	return total
}

var _ = Describe("a fleet of nodes", Ordered, func() {
	var c *cluster

	BeforeAll(func() { c = startCluster() })

	It("answers lookups and filings, each at most once, sent through any node", func() {
		r := c.drive(2, 2*time.Second)
		Expect(answered(r)).To(HaveEach(BeNumerically(">", 0)))
		Expect(r.Duplicates).To(BeNumerically(">", 0))
	})

	It("gives a data centre no new work once it is out everywhere, and new work once it is back", func() {
		Expect(c.admin(c.members[1], http.MethodPut, "/v1/datacentres/kochi-a", `{"state":"out"}`)).To(Equal(http.StatusOK))
		Eventually(func() int {
			before := c.runs("kochi-a")
			c.drive(3, 300*time.Millisecond)
			return c.runs("kochi-a") - before
		}, clusterWait).Should(BeZero())
		before := c.runs("kochi-a")
		Expect(answered(c.drive(4, time.Second))).To(HaveEach(BeNumerically(">", 0)))
		Expect(c.runs("kochi-a")).To(Equal(before))

		Expect(c.admin(c.members[2], http.MethodPut, "/v1/datacentres/kochi-a", `{"state":"in"}`)).To(Equal(http.StatusOK))
		Eventually(func() int {
			c.drive(5, 300*time.Millisecond)
			return c.runs("kochi-a")
		}, clusterWait).Should(BeNumerically(">", before))
	})

	It("keeps serving while the platform is unavailable", func() {
		down, up := true, false
		c.platform.Apply(platform.Control{Down: &down})
		defer c.platform.Apply(platform.Control{Down: &up})
		Expect(answered(c.drive(6, 2*time.Second))).To(HaveEach(BeNumerically(">", 0)))
		Expect(c.admin(c.members[0], http.MethodPut, "/v1/datacentres/kochi-b", `{"state":"out"}`)).To(Equal(http.StatusServiceUnavailable))
	})

	It("cuts off nothing when a node stops as planned under load", func() {
		// Targets are slow, so that requests are in flight when the node stops.
		slow, usual := 20.0, 1.0
		c.control(target.Control{SlowFactor: &slow})
		defer c.control(target.Control{SlowFactor: &usual})
		stopping := c.members[5]
		var group sync.WaitGroup
		group.Go(func() {
			time.Sleep(200 * time.Millisecond)
			stopping.stop()
			<-stopping.stopped
		})
		r := c.drive(7, 8*time.Second)
		group.Wait()
		Expect(r.All.Unknown).To(BeZero(), "reasons: %v", r.FailureReasons)
		Expect(r.FailureReasons).NotTo(HaveKey("connection broke"))
		Expect(r.FailureReasons).NotTo(HaveKey("answer broke off"))
		for _, m := range c.members {
			Expect(m.target.Stats().Cancelled).To(BeZero())
		}
		Expect(answered(r)).To(HaveEach(BeNumerically(">", 0)))
	})
})
