package peerlink

import (
	"time"

	"github.com/pkg/errors"
)

// sweep checks every link and peer.
func (l *Links) sweep(now time.Time) {
	for _, k := range l.allLinks() {
		l.checkLink(k, now)
	}
	for _, p := range l.allPeers() {
		l.redialOrRemove(p, now)
	}
}

// checkLink closes a connection whose handshake or close takes too long, and a
// link that is silent or idle. It pings a link from which nothing was received for
// the ping interval.
func (l *Links) checkLink(k *link, now time.Time) {
	limits := l.opts.Limits
	if l.checkHandshake(k, now) {
		return
	}
	if closing, closingSince := k.closingState(); closing {
		if now.Sub(closingSince) > limits.HandshakeTimeout {
			_ = k.conn.Close()
		}
		k.wake()
		return
	}
	silence := k.age(now, &k.lastReceived)
	if silence > limits.SilenceTimeout {
		l.counts.linksSilent.Inc(1)
		k.closeNow(now, errors.Errorf("link to %s: silent for %s", k.peer.name, silence))
		return
	}
	if k.age(now, &k.lastMessage) > limits.IdleTimeout && !k.peer.hasQueued() {
		k.beginClose(now, nil)
		return
	}
	if min(silence, k.age(now, &k.lastPing)) > limits.PingInterval {
		k.lastPing.Store(k.since(now))
		k.pingPending.Store(true)
	}
	if k.pingPending.Load() || k.peer.hasQueued() {
		k.wake()
	}
}

// checkHandshake closes an accepted connection that does not finish its handshake
// in time. It reports whether the connection is in its handshake.
func (l *Links) checkHandshake(k *link, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.peer != nil {
		return false
	}
	if now.Sub(k.opened) > l.opts.Limits.HandshakeTimeout {
		l.counts.handshakesFailed.Inc(1)
		_ = k.conn.Close()
	}
	return true
}

// redialOrRemove removes an unused peer. For other peers it starts the dial that a
// redial delay has postponed, once the delay is over.
func (l *Links) redialOrRemove(p *peer, now time.Time) {
	if l.removeIfUnused(p, now) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) > 0 && p.startDial(now) {
		go l.dial(p)
	}
}

// removeIfUnused removes a peer without link, dial, messages or events, and
// reports whether it did.
func (l *Links) removeIfUnused(p *peer, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !p.markRemovedIfUnused(now) {
		return false
	}
	delete(l.peers, p.name)
	return true
}

// allPeers returns all peers.
func (l *Links) allPeers() []*peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	peers := make([]*peer, 0, len(l.peers))
	for _, p := range l.peers {
		peers = append(peers, p)
	}
	return peers
}
