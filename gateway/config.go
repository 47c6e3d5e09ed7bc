package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"verbenatrestle/platform"
	store "verbenatrestle/process/platform"
	"verbenatrestle/version"
)

// configSnapshot is the active configuration together with the data centres
// out of service. It is immutable once published.
type configSnapshot struct {
	// routes is the active configuration, or nil if none has been received yet.
	routes *version.RouteTable
	// document is the configuration that routes was decoded from, with digests in place of
	// keys. Peers can fetch it.
	document configDocument
	// source is where routes came from, the store or a peer, and activeSince when.
	source      string
	activeSince time.Time
	// decodeTime is how long the text of routes took to decode.
	decodeTime time.Duration
	// ignoredFields names the fields of that text that have no effect.
	ignoredFields []string
	// dataCentresOut names the data centres that are out of service, sorted, as
	// of the version dataCentresOutRevision of the store.
	dataCentresOut         []string
	dataCentresOutRevision uint64
	// heldByPeers names the data centres that peers keep out of service although the store
	// lacks the orders. It is set only on a node that started a short time ago.
	heldByPeers []string
}

// isOutOfService reports whether a data centre is out of service.
func (s *configSnapshot) isOutOfService(dataCentre string) bool {
	return slices.Contains(s.dataCentresOut, dataCentre) || slices.Contains(s.heldByPeers, dataCentre)
}

// holdsLostOrders reports whether data centres may be out of service only because the
// store went back and may lack their orders.
func (s *configSnapshot) holdsLostOrders() bool { return holdsLostOrders(s.dataCentresOutRevision) }

// holdsLostOrders is like the method of configSnapshot for its dataCentresOutRevision.
func holdsLostOrders(revision uint64) bool {
	return revision > 0 && store.VersionRevision(revision) == 0
}

// number returns the number of the active configuration, or zero if there is
// none.
func (s *configSnapshot) number() uint64 {
	if s.routes == nil {
		return 0
	}
	return s.routes.Version()
}

// sourcePeers is the source of a change that peers as a whole caused.
const sourcePeers = "peers"

// orderReturnTime is how long after the store went back an order that it lacks stays in
// force. Operators write their orders again within it.
const orderReturnTime = 2 * time.Second

// peerHoldTime is how long a node that has just started relies on a status of a peer that
// holds lost orders. The next one comes after statusInterval.
const peerHoldTime = statusInterval + statusInterval/2

// configHolder holds the current configuration snapshot. Updates that are not
// newer than the current snapshot are ignored. It is safe for concurrent use.
type configHolder struct {
	mu      sync.Mutex
	current atomic.Pointer[configSnapshot]
	// decoder is guarded by decoderMu.
	decoderMu sync.Mutex
	decoder   platform.RouteDecoder
	// heldUntil is when lists of the store may bring data centres back into service again,
	// after the store went back and may lack orders.
	heldUntil time.Time
	// newestHeld is the highest version of a list until heldUntil.
	newestHeld uint64
	// startedAt is when the process started, and peersHoldUntil when heldByPeers of the
	// snapshot expires.
	startedAt, peersHoldUntil time.Time
	// onChange is called with the lock held after a new snapshot was published.
	onChange func(before, after *configSnapshot, source string)
}

// newConfigHolder returns a holder of an empty snapshot.
func newConfigHolder(onChange func(before, after *configSnapshot, source string)) *configHolder {
	c := &configHolder{onChange: onChange, startedAt: time.Now()}
	c.current.Store(&configSnapshot{})
	return c
}

// snapshot returns the current snapshot, which is never nil.
func (c *configHolder) snapshot() *configSnapshot { return c.current.Load() }

// service returns the settings of a service in the active configuration.
func (c *configHolder) service(name string) (version.ServiceConfig, bool) {
	config := c.snapshot()
	if config.routes == nil {
		return version.ServiceConfig{}, false
	}
	return config.routes.Service(name)
}

// decodedConfig is a configuration and the text that it was decoded from.
type decodedConfig struct {
	routes   *version.RouteTable
	document configDocument
	// time is how long the decoding took, and ignoredFields names the fields that have no
	// effect.
	time          time.Duration
	ignoredFields []string
}

// update activates the encoded configuration of the store if its number is higher
// than that of the active one. It fails if the text can't be decoded.
func (c *configHolder) update(text []byte, source string) error {
	started := time.Now()
	text, _, err := platform.HashKeys(text)
	if err != nil {
		return err
	}
	decoded, err := c.decode(text)
	if err != nil || decoded.routes.Version() <= c.snapshot().number() {
		return err
	}
	if decoded.document, err = newConfigDocument(text); err != nil {
		return err
	}
	decoded.time = time.Since(started)
	c.activate(decoded, source)
	return nil
}

// updateDocument is like update for a document of a peer.
func (c *configHolder) updateDocument(document configDocument, source string) error {
	started := time.Now()
	text, err := document.text()
	if err != nil {
		return err
	}
	hashed, found, err := platform.HashKeys(text)
	if err != nil {
		return err
	}
	if found { // from a node of an earlier build, which passes keys on
		return c.update(hashed, source)
	}
	decoded, err := c.decode(text)
	if err != nil {
		return err
	}
	decoded.document, decoded.time = document, time.Since(started)
	c.activate(decoded, source)
	return nil
}

// decode decodes the text of a configuration without keys.
func (c *configHolder) decode(text []byte) (decodedConfig, error) {
	c.decoderMu.Lock()
	defer c.decoderMu.Unlock()
	routes, err := c.decoder.Decode(text)
	return decodedConfig{routes: routes, ignoredFields: c.decoder.IgnoredFields()}, err
}

// activate publishes a configuration if its number is higher than that of the active
// one.
func (c *configHolder) activate(decoded decodedConfig, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.snapshot()
	if decoded.routes.Version() <= before.number() {
		return
	}
	after := *before
	after.routes, after.document, after.ignoredFields = decoded.routes, decoded.document, decoded.ignoredFields
	after.source, after.activeSince, after.decodeTime = source, time.Now(), decoded.time
	c.publish(before, &after, source)
}

// updateDataCentresOut sets the data centres out of service as of a version of the store.
// Versions that are not newer than the current one are ignored. For orderReturnTime after
// the store went back, data centres are only added, since the store may lack orders that
// are written again.
func (c *configHolder) updateDataCentresOut(dataCentresOut []string, revision uint64, source string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.snapshot()
	era, eraBefore := store.VersionEra(revision), store.VersionEra(before.dataCentresOutRevision)
	if eraBefore > 0 && era > eraBefore {
		c.heldUntil = now.Add(orderReturnTime)
	}
	if now.Before(c.heldUntil) && era >= eraBefore {
		dataCentresOut = slices.Concat(dataCentresOut, before.dataCentresOut, before.heldByPeers)
		c.newestHeld = max(c.newestHeld, revision)
		// The lists of this era that come later have higher versions.
		revision = store.NewVersion(era, 0)
	} else if revision <= before.dataCentresOutRevision || revision < c.newestHeld {
		return
	}
	after := *before
	after.dataCentresOut = slices.Compact(slices.Sorted(slices.Values(dataCentresOut)))
	after.dataCentresOutRevision = revision
	if slices.Equal(before.dataCentresOut, after.dataCentresOut) {
		c.current.Store(&after)
		return
	}
	c.publish(before, &after, source)
}

// updateFromPeer is like updateDataCentresOut for the list of a peer.
func (c *configHolder) updateFromPeer(dataCentresOut []string, revision uint64, peer string, now time.Time) {
	c.holdForPeer(dataCentresOut, revision, now)
	if revision > c.snapshot().dataCentresOutRevision {
		c.updateDataCentresOut(dataCentresOut, revision, peer, now)
	}
}

// holdForPeer keeps the data centres out of service that a peer keeps so although the store
// lacks the orders. revision is the one of the peer's list. A node that has just started has
// no list from before the store went back, so it relies on its peers until none of them
// holds lost orders any more.
func (c *configHolder) holdForPeer(dataCentresOut []string, revision uint64, now time.Time) {
	if !holdsLostOrders(revision) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.snapshot()
	relies := now.Before(c.startedAt.Add(orderReturnTime)) || now.Before(c.peersHoldUntil)
	if !relies || store.VersionEra(revision) < store.VersionEra(before.dataCentresOutRevision) {
		return
	}
	c.peersHoldUntil = now.Add(peerHoldTime)
	after := *before
	after.heldByPeers = slices.Compact(slices.Sorted(slices.Values(slices.Concat(before.heldByPeers, dataCentresOut))))
	if !slices.Equal(before.heldByPeers, after.heldByPeers) {
		c.publish(before, &after, sourcePeers)
	}
}

// ordersForPeers returns the data centres out of service and their version for a status to
// peers. It returns none while this node relies on its peers, since its own list may lack
// orders that are written again later, nor while it only awaits the next list.
func (c *configHolder) ordersForPeers(now time.Time) ([]string, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.snapshot()
	if len(s.heldByPeers) > 0 || s.holdsLostOrders() && !now.Before(c.heldUntil) {
		return nil, 0
	}
	return s.dataCentresOut, s.dataCentresOutRevision
}

// expire ends what holdForPeer holds once its time is over.
func (c *configHolder) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.snapshot()
	if len(before.heldByPeers) == 0 || now.Before(c.peersHoldUntil) {
		return
	}
	after := *before
	after.heldByPeers = nil
	c.publish(before, &after, sourcePeers)
}

// publish stores a snapshot and calls onChange. The caller holds the lock.
func (c *configHolder) publish(before, after *configSnapshot, source string) {
	c.current.Store(after)
	c.onChange(before, after, source)
}
