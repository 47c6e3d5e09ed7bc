package peerlink

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// nonceCache stores the nonces of admitted handshakes until their time stamps are
// too old to be accepted, so that a recorded handshake can't be replayed.
type nonceCache struct {
	mu       sync.Mutex
	limit    int
	seen     map[string]struct{}
	byExpiry []expiringNonce
}

// expiringNonce is a nonce with the time from which it need not be stored.
type expiringNonce struct {
	nonce  string
	expiry time.Time
}

func newNonceCache(limit int) *nonceCache {
	return &nonceCache{limit: limit, seen: make(map[string]struct{})}
}

// add stores a nonce for the time keep. It fails if the nonce is already stored or
// the cache is full: refusing a valid handshake is safe, but dropping a nonce
// would allow a replay.
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

// expire removes the nonces of handshakes whose time stamps are too old to be
// accepted.
func (n *nonceCache) expire(now time.Time) {
	for len(n.byExpiry) > 0 && now.After(n.byExpiry[0].expiry) {
		delete(n.seen, n.byExpiry[0].nonce)
		n.byExpiry = n.byExpiry[1:]
	}
}
