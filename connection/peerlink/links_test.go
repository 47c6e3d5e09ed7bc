package peerlink

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"verbenatrestle/connection/wire"
	_ "verbenatrestle/internal/testseed"
)

const testTimeout = 20 * time.Second

type testMessage struct {
	Number int
	Blob   []byte
}

// recorder is a Handler that records all calls.
type recorder struct {
	mu      sync.Mutex
	numbers map[string][]int
	bytes   int
	ups     map[string]int
	downs   map[string][]error
	block   chan struct{}
}

func (r *recorder) HandleMessage(from string, message any) {
	if r.block != nil {
		<-r.block
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m := message.(*testMessage)
	r.numbers[from] = append(r.numbers[from], m.Number)
	r.bytes += len(m.Blob)
}

func (r *recorder) LinkUp(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ups[peer]++
}

func (r *recorder) LinkDown(peer string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.downs[peer] = append(r.downs[peer], err)
}

func (r *recorder) got(peer string) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]int(nil), r.numbers[peer]...)
}

func (r *recorder) down(peer string) []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]error(nil), r.downs[peer]...)
}

type testNode struct {
	*Links
	*recorder
}

// address returns the peer address of a test node. Each name has its own IP
// address.
func address(name string) string {
	return fmt.Sprintf("127.8.1.%d:17002", 10+int(name[0]-'a'))
}

// start starts the links of a node, and stops them at the end of the test.
func start(t *testing.T, name string, change func(*Options)) testNode {
	t.Helper()
	codec := wire.NewCodec()
	codec.Register(200, (*testMessage)(nil))
	r := &recorder{numbers: map[string][]int{}, ups: map[string]int{}, downs: map[string][]error{}}
	opts := Options{
		Self:          name,
		ListenAddress: address(name),
		Key:           []byte("0123456789abcdef"),
		Codec:         codec,
		Handler:       r,
		Resolve:       func(node string) (string, bool) { return address(node), node != "unknown" },
	}
	if testing.Verbose() {
		opts.Logger = log.With(log.NewJSONLogger(log.NewSyncWriter(os.Stderr)), "node", name)
	}
	if change != nil {
		change(&opts)
	}
	links, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	if err := links.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { stop(links) })
	return testNode{links, r}
}

func stop(links *Links) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_ = links.Stop(ctx)
}

// sequence returns the numbers from 0 to n-1.
func sequence(n int) []int {
	numbers := make([]int, n)
	for i := range numbers {
		numbers[i] = i
	}
	return numbers
}

// All nodes send to each other at the same time, so that pairs of nodes dial each
// other at once. The test guards against messages that are lost, repeated or out of
// order, and against a second link between two nodes.
func TestMessageOrderDespiteDialConflicts(t *testing.T) {
	g := gomega.NewWithT(t)
	const count = 200
	nodes := map[string]testNode{}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		nodes[name] = start(t, name, nil)
	}
	var wg sync.WaitGroup
	for from, node := range nodes {
		for to := range nodes {
			if from == to {
				continue
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := range count {
					if err := node.Send(to, &testMessage{Number: i}); err != nil {
						t.Errorf("%s: %v", from, err)
					}
				}
			}()
		}
	}
	wg.Wait()
	for from := range nodes {
		for to, node := range nodes {
			if from != to {
				g.Eventually(func() []int { return node.got(from) }, testTimeout).Should(gomega.Equal(sequence(count)), from+" to "+to)
			}
		}
	}
	for name, node := range nodes {
		g.Eventually(func() int { return len(node.allLinks()) }, testTimeout).Should(gomega.Equal(4), name)
		g.Expect(node.State()).To(gomega.HaveLen(4))
		for peer, ups := range node.ups {
			g.Expect(ups).To(gomega.Equal(1), name+" with "+peer)
		}
	}
}

func TestBigMessagesBothWays(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := start(t, "a", nil), start(t, "b", nil)
	const size = 1 << 20
	for range 3 {
		g.Expect(a.Send("b", &testMessage{Blob: make([]byte, size)})).To(gomega.Succeed())
	}
	g.Eventually(func() int { return len(b.got("a")) }, testTimeout).Should(gomega.Equal(3))
	g.Expect(b.Send("a", &testMessage{Blob: make([]byte, size)})).To(gomega.Succeed())
	g.Eventually(func() int { return len(a.got("b")) }, testTimeout).Should(gomega.Equal(1))
	g.Expect(b.bytes).To(gomega.Equal(3 * size))
	g.Expect(a.Send("b", &testMessage{Blob: make([]byte, 3*size)})).To(gomega.MatchError(gomega.ContainSubstring("the limit is")))
	g.Expect(a.Send("a", &testMessage{})).NotTo(gomega.Succeed())
	g.Expect(len(a.allLinks())).To(gomega.Equal(1), "one link for both directions")
}

func TestGarbageIsClosedAndCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	a := start(t, "a", func(o *Options) {
		o.Limits.HandshakeTimeout = 300 * time.Millisecond
		o.Limits.MaxPendingHandshakes = 4
	})
	cases := []string{
		"\x16\x03\x01\x02\x00\x01",
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET / HTTP/1.1\r\n" + strings.Repeat("x", 5000),
		"GET / HTTP/1.1\r\nHost: never finished",
		"",
	}
	for _, garbage := range cases {
		conn, err := net.Dial("tcp", address("a"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, _ = conn.Write([]byte(garbage))
		g.Expect(conn.SetReadDeadline(time.Now().Add(testTimeout))).To(gomega.Succeed())
		for err == nil {
			_, err = conn.Read(make([]byte, 1024))
		}
		var timeout net.Error
		g.Expect(errors.As(err, &timeout) && timeout.Timeout()).To(gomega.BeFalse(), "not closed: %q", garbage)
		_ = conn.Close()
	}
	g.Eventually(a.counts.handshakesFailed.Count, testTimeout).Should(gomega.BeEquivalentTo(len(cases)))
	g.Eventually(func() int { return len(a.allLinks()) }, testTimeout).Should(gomega.BeZero())
	var conns []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", address("a"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		conns = append(conns, conn)
		g.Expect(len(a.allLinks())).To(gomega.BeNumerically("<=", 4))
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
}

func TestBadMessageClosesTheLink(t *testing.T) {
	g := gomega.NewWithT(t)
	other := wire.NewCodec()
	other.Register(201, (*testMessage)(nil))
	a := start(t, "a", nil)
	b := start(t, "b", func(o *Options) { o.Codec = other })
	g.Expect(b.Send("a", &testMessage{})).To(gomega.Succeed())
	g.Eventually(a.counts.framesBad.Count, testTimeout).Should(gomega.BeEquivalentTo(1))
	g.Eventually(func() []error { return a.down("b") }, testTimeout).Should(gomega.ConsistOf(gomega.MatchError(gomega.ContainSubstring("kind 201"))))
}

func TestHandshakeRules(t *testing.T) {
	g := gomega.NewWithT(t)
	a := start(t, "a", nil)
	now := time.Now()
	try := func(change func(*handshakeMessage)) error {
		h := &handshakeMessage{node: "b", peer: "a", instance: "i", unixMillis: now.UnixMilli(), nonce: newNonce()}
		h.signature = h.sign(a.opts.Key, roleDialler)
		change(h)
		_, err := a.admit(h, now)
		return err
	}
	resign := func(h *handshakeMessage) { h.signature = h.sign(a.opts.Key, roleDialler) }
	g.Expect(try(func(*handshakeMessage) {})).To(gomega.Succeed())
	g.Expect(try(func(h *handshakeMessage) { h.node = "c" })).To(gomega.MatchError(gomega.ContainSubstring("signature")))
	g.Expect(try(func(h *handshakeMessage) { h.signature = h.sign([]byte("another key 0123"), roleDialler) })).To(gomega.MatchError(gomega.ContainSubstring("signature")))
	g.Expect(try(func(h *handshakeMessage) { h.signature = h.sign(a.opts.Key, roleListener) })).To(gomega.MatchError(gomega.ContainSubstring("signature")))
	g.Expect(try(func(h *handshakeMessage) { h.peer = "c"; resign(h) })).To(gomega.MatchError(gomega.ContainSubstring("meant for")))
	g.Expect(try(func(h *handshakeMessage) { h.unixMillis -= 31_000; resign(h) })).To(gomega.MatchError(gomega.ContainSubstring("clock")))
	g.Expect(try(func(h *handshakeMessage) { h.unixMillis += 31_000; resign(h) })).To(gomega.MatchError(gomega.ContainSubstring("clock")))

	replayed := &handshakeMessage{node: "b", peer: "a", unixMillis: now.UnixMilli() + 29_000, nonce: newNonce()}
	resign(replayed)
	_, err := a.admit(replayed, now)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = a.admit(replayed, now.Add(58*time.Second))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("used before")))
}

func TestNoncesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNonceCache(2)
	now := time.Now()
	g.Expect(n.add("1", now, time.Second)).To(gomega.Succeed())
	g.Expect(n.add("2", now, time.Second)).To(gomega.Succeed())
	g.Expect(n.add("3", now, time.Second)).NotTo(gomega.Succeed())
	g.Expect(n.add("3", now.Add(2*time.Second), time.Second)).To(gomega.Succeed())
	g.Expect(n.seen).To(gomega.HaveLen(1))
}

func TestWrongKeyGetsNoLink(t *testing.T) {
	g := gomega.NewWithT(t)
	a := start(t, "a", nil)
	b := start(t, "b", func(o *Options) { o.Key = []byte("another key 0123") })
	g.Expect(b.Send("a", &testMessage{})).To(gomega.Succeed())
	g.Eventually(func() []error { return b.down("a") }, testTimeout).ShouldNot(gomega.BeEmpty())
	g.Expect(b.down("a")[0]).To(gomega.MatchError(gomega.ContainSubstring("dial peer a: handshake with")))
	g.Expect(a.got("b")).To(gomega.BeEmpty())
	g.Expect(a.counts.handshakesFailed.Count()).To(gomega.BeEquivalentTo(1))
}

func TestPeerStopsAndReturns(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := start(t, "a", nil), start(t, "b", nil)
	g.Expect(a.Send("b", &testMessage{Number: 1})).To(gomega.Succeed())
	g.Eventually(func() []int { return b.got("a") }, testTimeout).Should(gomega.Equal([]int{1}))
	stop(b.Links)
	g.Eventually(func() []error { return a.down("b") }, testTimeout).ShouldNot(gomega.BeEmpty())
	g.Expect(errors.Is(a.down("b")[0], ErrStopped)).To(gomega.BeTrue())
	b = start(t, "b", nil)
	g.Eventually(func() []int {
		_ = a.Send("b", &testMessage{Number: 2})
		return b.got("a")
	}, testTimeout).ShouldNot(gomega.BeEmpty())
}

// TestRestartedPeerReplacesItsLink guards against refusing the dial of a restarted
// peer while the link to its old process still seems open, as after the loss of a
// VM.
func TestRestartedPeerReplacesItsLink(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := start(t, "a", nil), start(t, "b", nil)
	g.Expect(a.Send("b", &testMessage{})).To(gomega.Succeed())
	g.Eventually(func() []int { return b.got("a") }, testTimeout).ShouldNot(gomega.BeEmpty())
	restarted := start(t, "b", func(o *Options) { o.ListenAddress = "127.8.1.40:17002" })
	g.Expect(restarted.Send("a", &testMessage{Number: 7})).To(gomega.Succeed())
	g.Eventually(func() []int { return a.got("b") }, testTimeout).Should(gomega.Equal([]int{7}))
	g.Expect(a.down("b")).To(gomega.Equal([]error{ErrReplaced}))
	g.Expect(a.Send("b", &testMessage{Number: 8})).To(gomega.Succeed())
	g.Eventually(func() []int { return restarted.got("a") }, testTimeout).Should(gomega.Equal([]int{8}))
}

// TestFrozenPeer guards against a link that stays open, and a queue that grows
// without bound, when a peer neither reads nor writes after the handshake, like a
// stopped process.
func TestFrozenPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	frozen := start(t, "b", nil)
	listener, err := net.Listen("tcp", "127.8.1.41:17002")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		request := make([]byte, 4096)
		n, _ := conn.Read(request)
		_, _, response, _ := frozen.accept(request[:n], time.Now())
		_, _ = conn.Write(response)
		t.Cleanup(func() { _ = conn.Close() })
	}()
	a := start(t, "a", func(o *Options) {
		o.Resolve = func(string) (string, bool) { return "127.8.1.41:17002", true }
		o.Limits.SilenceTimeout = time.Second
		o.Limits.PingInterval = 200 * time.Millisecond
		o.Limits.QueueMessages = 50
	})
	refused := 0
	for i := range 200 {
		if err := a.Send("b", &testMessage{Number: i, Blob: make([]byte, 100_000)}); err != nil {
			refused++
		}
	}
	g.Expect(refused).To(gomega.BeNumerically(">", 0), "the queue is bounded")
	g.Expect(a.counts.queueDrops.Count()).To(gomega.BeEquivalentTo(refused))
	g.Eventually(func() []error { return a.down("b") }, testTimeout).Should(gomega.ConsistOf(gomega.MatchError(gomega.ContainSubstring("silent for"))))
	g.Expect(a.counts.linksSilent.Count()).To(gomega.BeEquivalentTo(1))
}

// The idle timeout is longer than the silence timeout here. The test guards against
// closing a link without messages as silent although its pings are answered, and
// against keeping it open for longer than the idle timeout.
func TestPingsKeepLinkOpenUntilIdleTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	quick := func(o *Options) {
		o.Limits.PingInterval = 100 * time.Millisecond
		o.Limits.SilenceTimeout = 600 * time.Millisecond
		o.Limits.IdleTimeout = 2 * time.Second
	}
	a, b := start(t, "a", quick), start(t, "b", quick)
	g.Expect(a.Send("b", &testMessage{})).To(gomega.Succeed())
	g.Eventually(func() []error { return a.down("b") }, testTimeout).Should(gomega.Equal([]error{nil}))
	g.Eventually(func() []error { return b.down("a") }, testTimeout).Should(gomega.Equal([]error{nil}))
	g.Expect(a.counts.linksSilent.Count() + b.counts.linksSilent.Count()).To(gomega.BeZero())
	g.Eventually(func() int { return len(a.allPeers()) }, testTimeout).Should(gomega.BeZero())
}

// The test guards against an inbox that grows without bound while the handler
// blocks, and against losing the messages in it.
func TestInboxIsBoundedWithSlowHandler(t *testing.T) {
	g := gomega.NewWithT(t)
	a := start(t, "a", nil)
	b := start(t, "b", func(o *Options) { o.Limits.InboxMessages = 10 })
	b.block = make(chan struct{})
	for i := range 100 {
		g.Expect(a.Send("b", &testMessage{Number: i})).To(gomega.Succeed())
	}
	g.Eventually(b.counts.inboxDrops.Count, testTimeout).Should(gomega.BeNumerically(">=", 89))
	close(b.block)
	g.Eventually(func() int { return len(b.got("a")) }, testTimeout).Should(gomega.BeNumerically(">=", 10))
}

func TestUnknownPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	a := start(t, "a", nil)
	g.Expect(a.Send("unknown", &testMessage{})).To(gomega.Succeed())
	g.Eventually(func() []error { return a.down("unknown") }, testTimeout).Should(gomega.ConsistOf(gomega.MatchError(gomega.ContainSubstring("resolve"))))
}
