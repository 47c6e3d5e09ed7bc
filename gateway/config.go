package gateway

import (
	"slices"
	"sync"
	"sync/atomic"

	"verbenatrestle/platform"
	"verbenatrestle/version"
)

// routeState is what is in force. It never changes once published.
type routeState struct {
	// routes is the newest configuration, or nil if none is known yet.
	routes *version.RouteTable
	// document is the text that routes was read from.
	document []byte
	// out names the data centres that are out of service, sorted, as of the
	// platform's revision outRevision.
	out         []string
	outRevision uint64
}

// isOut reports whether a data centre is out of service.
func (s *routeState) isOut(dataCentre string) bool { return slices.Contains(s.out, dataCentre) }

// number returns the number of the configuration in force, or zero.
func (s *routeState) number() uint64 {
	if s.routes == nil {
		return 0
	}
	return s.routes.Version()
}

// configState holds what is in force. Versions only grow.
type configState struct {
	mu      sync.Mutex
	current atomic.Pointer[routeState]
	changed func(before, after *routeState, source string)
}

func newConfigState(changed func(before, after *routeState, source string)) *configState {
	c := &configState{changed: changed}
	c.current.Store(&routeState{})
	return c
}

// table returns what is in force.
func (c *configState) table() *routeState { return c.current.Load() }

// service returns what the configuration says of a service.
func (c *configState) service(name string) (version.ServiceConfig, bool) {
	table := c.table()
	if table.routes == nil {
		return version.ServiceConfig{}, false
	}
	return table.routes.Service(name)
}

// offer takes in a configuration, unless one as new is in force.
func (c *configState) offer(document []byte, source string) error {
	routes, err := platform.DecodeRoutes(document)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.table()
	if routes.Version() <= before.number() {
		return nil
	}
	after := *before
	after.routes, after.document = routes, document
	c.publish(before, &after, source)
	return nil
}

// offerOut takes in which data centres are out as of a revision, unless what
// is known is as new.
func (c *configState) offerOut(out []string, revision uint64, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.table()
	if revision <= before.outRevision {
		return
	}
	after := *before
	after.out = slices.Sorted(slices.Values(out))
	after.outRevision = revision
	if slices.Equal(before.out, after.out) {
		c.current.Store(&after)
		return
	}
	c.publish(before, &after, source)
}

func (c *configState) publish(before, after *routeState, source string) {
	c.current.Store(after)
	c.changed(before, after, source)
}
