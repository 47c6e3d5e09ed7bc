package node

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("cancellation", func() {
	// cancelled sends a request and cancels it while the target runs it. It returns
	// the target proxy once the ingress has counted the cancellation.
	cancelled := func(grace time.Duration) *targetProxy {
		running := make(chan struct{})
		p := newPath(func(_ http.ResponseWriter, r *http.Request) {
			close(running)
			<-r.Context().Done()
		})
		proxy := p.proxies["n0"]
		proxy.cancelGrace = grace
		ctx, cancel := context.WithCancel(context.Background())
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, p.caller.URL+"/s/x", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Host = "org.example"
		go func() {
			<-running
			cancel()
		}()
		_, err = http.DefaultClient.Do(r)
		Expect(err).To(HaveOccurred())
		Eventually(p.ingress.metrics.cancelled.Count, "10s").Should(BeNumerically("==", 1))
		return proxy
	}

	It("keeps the slot for a grace period, since the target may still run the request", func() {
		Consistently(cancelled(time.Hour).admission.Idle, "300ms").Should(BeFalse())
	})

	It("frees the slot after the grace period", func() {
		Eventually(cancelled(time.Millisecond).admission.Idle, "10s").Should(BeTrue())
	})
})
