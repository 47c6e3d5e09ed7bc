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

// tableRunner runs a table with the system clock and implements
// peerlink.Handler.
type tableRunner struct {
	Table *Table
	Send  func(to string, message any) error
}

func (r *tableRunner) run(ctx context.Context) {
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

func (r *tableRunner) HandleMessage(from string, message any) {
	r.send(r.Table.Handle(time.Now(), from, message))
}

func (r *tableRunner) LinkUp(peer string) {
	r.send(r.Table.LinkUp(time.Now(), peer))
}

func (r *tableRunner) LinkDown(peer string, err error) {
	if err != nil {
		r.send(r.Table.LinkDown(time.Now(), peer))
	}
}

func (r *tableRunner) send(envelopes []wire.Envelope) {
	for _, e := range envelopes {
		_ = r.Send(e.To, e.Message)
	}
}

// TestTablesOverPeerLinks runs tables over real peer links on loopback
// addresses. A change, a node that leaves and a node that is stopped have to
// reach all tables.
func TestTablesOverPeerLinks(t *testing.T) {
	g := gomega.NewWithT(t)
	const timeout = 30 * time.Second
	options := Options{Period: 200 * time.Millisecond, DeadAfter: time.Second}
	var runners []*tableRunner
	var stops []func()
	for i := range 5 {
		address := fmt.Sprintf("127.8.2.%d:17002", 10+i)
		self := Member{Node: fmt.Sprint("n", i), PeerAddress: address, Incarnation: uint64(time.Now().UnixNano()), Target: load.Warm}
		r := &tableRunner{Table: NewTable(self, options, rand.New(rand.NewPCG(1, uint64(i))))}
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
			stopping, done := context.WithTimeout(context.Background(), timeout)
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
	countTables := func(node string, matches func(Member) bool) func() int {
		return func() int {
			count := 0
			for _, r := range runners {
				if m, ok := r.Table.Lookup(node); ok && matches(m) {
					count++
				}
			}
			return count
		}
	}
	alive := func(m Member) bool { return m.Status == Alive }
	for i := range runners {
		g.Eventually(countTables(fmt.Sprint("n", i), alive), timeout).Should(gomega.Equal(5))
	}
	runners[2].send(runners[2].Table.UpdateSelf(time.Now(), func(m *Member) { m.Target = load.Draining }))
	g.Eventually(countTables("n2", func(m Member) bool { return m.Target == load.Draining }), timeout).Should(gomega.Equal(5))
	runners[3].send(runners[3].Table.Leave(time.Now()))
	g.Eventually(countTables("n3", func(m Member) bool { return m.Status == Left }), timeout).Should(gomega.Equal(5))
	stops[1]()
	g.Eventually(countTables("n1", func(m Member) bool { return m.Status == Dead }), timeout).Should(gomega.Equal(4))
	g.Expect(runners[0].Table.Neighbours()).To(gomega.ConsistOf("n2", "n4"))
}
