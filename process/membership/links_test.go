package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenatrestle/connection/load"
	"verbenatrestle/connection/peerlink"
	"verbenatrestle/connection/wire"
)

// testRunner ties a table to the clock and to peer links.
type testRunner struct {
	Table *Table
	Send  func(to string, message any) error
}

func (r *testRunner) run(ctx context.Context) {
	ticker := time.NewTicker(r.Table.opts.Period / 4)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-ticker.C:
			r.send(r.Table.Tick(now))
		}
	}
}

func (r *testRunner) HandleMessage(from string, message any) {
	r.send(r.Table.Handle(time.Now(), from, message))
}

func (r *testRunner) LinkUp(peer string) {
	r.send(r.Table.LinkUp(time.Now(), peer))
}

func (r *testRunner) LinkDown(peer string, err error) {
	if err != nil {
		r.send(r.Table.LinkDown(time.Now(), peer))
	}
}

func (r *testRunner) send(envelopes []wire.Envelope) {
	for _, e := range envelopes {
		_ = r.Send(e.To, e.Message)
	}
}

// TestTablesOverPeerLinks runs tables over real links on loopback.
func TestTablesOverPeerLinks(t *testing.T) {
	g := gomega.NewWithT(t)
	const patience = 30 * time.Second
	options := Options{Period: 200 * time.Millisecond, DeadAfter: time.Second}
	var runners []*testRunner
	var stops []func()
	for i := range 5 {
		address := fmt.Sprintf("127.8.2.%d:17002", 10+i)
		self := Member{Node: fmt.Sprint("n", i), PeerAddress: address, Incarnation: uint64(time.Now().UnixNano()), Target: load.Warm}
		r := &testRunner{Table: NewTable(self, options, rand.New(rand.NewPCG(1, uint64(i))))}
		codec := wire.NewCodec()
		Register(codec)
		links, err := peerlink.New(peerlink.Options{
			Self:          self.Node,
			ListenAddress: address,
			Key:           []byte("0123456789abcdef"),
			Codec:         codec,
			Handler:       r,
			Resolve:       r.Table.PeerAddress,
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		r.Send = links.Send
		g.Expect(links.Start()).To(gomega.Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		go r.run(ctx)
		stop := func() {
			cancel()
			stopping, done := context.WithTimeout(context.Background(), patience)
			defer done()
			_ = links.Stop(stopping)
		}
		runners = append(runners, r)
		stops = append(stops, stop)
		t.Cleanup(stop)
		if i > 0 {
			r.send(r.Table.Seed(time.Now(), []Member{runners[0].Table.Self()}))
		}
	}
	believes := func(node string, right func(Member) bool) func() int {
		return func() int {
			count := 0
			for _, r := range runners {
				if m, ok := r.Table.Lookup(node); ok && right(m) {
					count++
				}
			}
			return count
		}
	}
	alive := func(m Member) bool { return m.Status == Alive }
	for i := range runners {
		g.Eventually(believes(fmt.Sprint("n", i), alive), patience).Should(gomega.Equal(5))
	}
	runners[2].send(runners[2].Table.UpdateSelf(time.Now(), func(m *Member) { m.Target = load.Draining }))
	g.Eventually(believes("n2", func(m Member) bool { return m.Target == load.Draining }), patience).Should(gomega.Equal(5))
	runners[3].send(runners[3].Table.Leave(time.Now()))
	g.Eventually(believes("n3", func(m Member) bool { return m.Status == Left }), patience).Should(gomega.Equal(5))
	stops[1]()
	g.Eventually(believes("n1", func(m Member) bool { return m.Status == Dead }), patience).Should(gomega.Equal(4))
	g.Expect(runners[0].Table.Neighbours()).To(gomega.ConsistOf("n2", "n4"))
}
