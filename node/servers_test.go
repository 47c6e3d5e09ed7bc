package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// callUntilRefused sends requests, on new or on kept connections as the client is
// set up, until a new connection is refused. Any other error means that a request
// was sent and got no response, which it counts.
func callUntilRefused(address string, client *http.Client, unanswered *atomic.Int64) {
	for {
		r, err := http.NewRequest(http.MethodPost, "http://"+address+"/", nil)
		if err != nil {
			panic(err)
		}
		resp, err := client.Do(r)
		if err == nil {
			_ = resp.Body.Close()
			continue
		}
		if op := (*net.OpError)(nil); !errors.As(err, &op) || op.Op != "dial" {
			unanswered.Add(1)
		}
		return
	}
}

// A planned stop must not lose a request that a caller has sent, be it on a kept
// connection that the node closes or on a new one in the accept queue.
func TestPlannedStopAnswersEveryRequestThatWasSent(t *testing.T) {
	g := gomega.NewWithT(t)
	const rounds, callers = 5, 40
	for range rounds {
		var stopping atomic.Bool
		answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
		var s Settings
		s.Listen.Callers, s.Listen.Hop, s.Listen.Admin, s.Listen.Announce = "127.8.3.2:17101", "127.8.3.2:17102", "127.8.3.2:17103", "127.8.3.2:17104"
		s.Limits.MaxHeaderBytes = 1 << 16
		servers := newServers(s, log.NewNopLogger(), handlers{callers: closeWhileStopping(&stopping, answer), hop: answer, admin: answer, announce: answer})
		_, err := servers.start()
		g.Expect(err).NotTo(gomega.HaveOccurred())

		var unanswered atomic.Int64
		var group sync.WaitGroup
		for i := range callers {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}}
			group.Go(func() { callUntilRefused(s.Listen.Callers, client, &unanswered) })
		}
		time.Sleep(100 * time.Millisecond)
		stopping.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		g.Expect(servers.stop(ctx)).To(gomega.Succeed())
		cancel()
		group.Wait()
		g.Expect(unanswered.Load()).To(gomega.BeZero())
	}
}
