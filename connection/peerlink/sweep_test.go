package peerlink

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// The sweep may remove an unused peer entry while a message is sent to that peer.
// The message must then go to a new entry; the test guards against losing it.
func TestSendWhileSweepRemovesUnusedPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	a := start(t, "a", nil)
	stopSweeps := make(chan struct{})
	var sweeps, senders sync.WaitGroup
	for range 2 {
		sweeps.Go(func() {
			for {
				select {
				case <-stopSweeps:
					return
				default:
					a.sweep(time.Now())
				}
			}
		})
	}
	errs := make(chan error, 4)
	for sender := range 4 {
		senders.Go(func() {
			var first error
			for i := range 2000 {
				if err := a.enqueue(fmt.Sprintf("peer-%d-%d", sender, i), []byte("x")); err != nil && first == nil {
					first = err
				}
			}
			errs <- first
		})
	}
	senders.Wait()
	close(stopSweeps)
	sweeps.Wait()
	for range 4 {
		g.Expect(<-errs).NotTo(gomega.HaveOccurred())
	}
}

// The test guards against removing the entry of a peer whose dial was admitted and
// whose link is about to open.
func TestAdmittedPeerIsNotRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	p := &peer{name: "b"}
	g.Expect(p.admitDial("a", "instance", now.Add(time.Second))).To(gomega.Succeed())
	g.Expect(p.markRemovedIfUnused(now.Add(time.Millisecond))).To(gomega.BeFalse())
	g.Expect(p.markRemovedIfUnused(now.Add(2 * time.Second))).To(gomega.BeTrue())
}
