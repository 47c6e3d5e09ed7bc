package peerlink

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// nonceCache remembers the nonces of handshakes for the clock window, so that a
// recorded handshake can't be used again.
type nonceCache struct {
	mu       sync.Mutex
	limit    int
	seen     map[string]struct{}
	byExpiry []expiringNonce
}

// expiringNonce is a nonce with the moment from which it may be forgotten.
type expiringNonce struct {
	nonce  string
	expiry time.Time
}

func newNonceCache(limit int) *nonceCache {
	return &nonceCache{limit: limit, seen: make(map[string]struct{})}
}

// add records a nonce for keep. It fails on a nonce that was used, and when
// the memory is full: refusing a handshake is safe, forgetting one isn't.
func (n *nonceCache) add(nonce string, now time.Time, keep time.Duration) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.expire(now)
	if _, ok := n.seen[nonce]; ok {
		return errors.New("nonce was used before")
	}
	if len(n.seen) >= n.limit {
		return errors.Errorf("%d nonces are remembered, no room for more", n.limit)
	}
	n.seen[nonce] = struct{}{}
	n.byExpiry = append(n.byExpiry, expiringNonce{nonce: nonce, expiry: now.Add(keep)})
	return nil
}

// expire drops the nonces whose handshakes are too old to pass anyway.
func (n *nonceCache) expire(now time.Time) {
	for len(n.byExpiry) > 0 && now.After(n.byExpiry[0].expiry) {
		delete(n.seen, n.byExpiry[0].nonce)
		n.byExpiry = n.byExpiry[1:]
	}
}
