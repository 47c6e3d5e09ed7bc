package peerlink

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// The sweep may drop an unused entry at any moment. A message that is sent at
// that moment goes to a new entry instead of being lost.
func TestSendWhileSweepsForgetUnusedPeers(t *testing.T) {
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

// A peer whose dial was admitted is about to be linked: its entry stays.
func TestAdmittedPeerIsNotForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	p := &peer{name: "b"}
	g.Expect(p.admitDial("a", "instance", now.Add(time.Second))).To(gomega.Succeed())
	g.Expect(p.markRemovedIfUnused(now.Add(time.Millisecond))).To(gomega.BeFalse())
	g.Expect(p.markRemovedIfUnused(now.Add(2 * time.Second))).To(gomega.BeTrue())
}
