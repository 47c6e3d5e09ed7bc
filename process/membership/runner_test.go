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

// TestRunnersOverPeerLinks runs tables over real links on loopback.
func TestRunnersOverPeerLinks(t *testing.T) {
	g := gomega.NewWithT(t)
	const patience = 30 * time.Second
	options := Options{Period: 200 * time.Millisecond, ConfirmAfter: time.Second}
	var runners []*Runner
	var stops []func()
	for i := range 5 {
		address := fmt.Sprintf("127.8.2.%d:17002", 10+i)
		self := Member{Node: fmt.Sprint("n", i), PeerAddress: address, Incarnation: uint64(time.Now().UnixNano()), Target: load.Warm}
		r := &Runner{Table: NewTable(self, options, rand.New(rand.NewPCG(1, uint64(i))))}
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
		go r.Run(ctx)
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
			r.Seed([]Member{runners[0].Table.Self()})
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
	runners[2].UpdateSelf(func(m *Member) { m.Target = load.Draining })
	g.Eventually(believes("n2", func(m Member) bool { return m.Target == load.Draining }), patience).Should(gomega.Equal(5))
	runners[3].Leave()
	g.Eventually(believes("n3", func(m Member) bool { return m.Status == Left }), patience).Should(gomega.Equal(5))
	stops[1]()
	g.Eventually(believes("n1", func(m Member) bool { return m.Status == Dead }), patience).Should(gomega.Equal(4))
	g.Expect(runners[0].Table.Neighbours()).To(gomega.ConsistOf("n2", "n4"))
}
