package gateway

import (
	"slices"
	"sync"
	"sync/atomic"

	"verbenatrestle/platform"
	"verbenatrestle/version"
)

// configSnapshot is what is in force. It never changes once published.
type configSnapshot struct {
	// routes is the newest configuration, or nil if none is known yet.
	routes *version.RouteTable
	// document is the text that routes was read from.
	document []byte
	// dataCentresOut names the data centres that are out of service, sorted, as of the
	// platform's revision outRevision.
	dataCentresOut         []string
	dataCentresOutRevision uint64
}

// isOutOfService reports whether a data centre is out of service.
func (s *configSnapshot) isOutOfService(dataCentre string) bool {
	return slices.Contains(s.dataCentresOut, dataCentre)
}

// number returns the number of the configuration in force, or zero.
func (s *configSnapshot) number() uint64 {
	if s.routes == nil {
		return 0
	}
	return s.routes.Number()
}

// configHolder holds what is in force. Versions only grow.
type configHolder struct {
	mu       sync.Mutex
	current  atomic.Pointer[configSnapshot]
	onChange func(before, after *configSnapshot, source string)
}

func newConfigHolder(onChange func(before, after *configSnapshot, source string)) *configHolder {
	c := &configHolder{onChange: onChange}
	c.current.Store(&configSnapshot{})
	return c
}

// snapshot returns what is in force.
func (c *configHolder) snapshot() *configSnapshot { return c.current.Load() }

// service returns what the configuration says of a service.
func (c *configHolder) service(name string) (version.ServiceFacts, bool) {
	config := c.snapshot()
	if config.routes == nil {
		return version.ServiceFacts{}, false
	}
	return config.routes.Service(name)
}

// update takes in a configuration, unless one as new is in force.
func (c *configHolder) update(document []byte, source string) error {
	routes, err := platform.DecodeRoutes(document)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.snapshot()
	if routes.Number() <= before.number() {
		return nil
	}
	after := *before
	after.routes, after.document = routes, document
	c.publish(before, &after, source)
	return nil
}

// updateDataCentresOut takes in which data centres are out as of a revision, unless what
// is known is as new.
func (c *configHolder) updateDataCentresOut(out []string, revision uint64, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.snapshot()
	if revision <= before.dataCentresOutRevision {
		return
	}
	after := *before
	after.dataCentresOut = slices.Sorted(slices.Values(out))
	after.dataCentresOutRevision = revision
	if slices.Equal(before.dataCentresOut, after.dataCentresOut) {
		c.current.Store(&after)
		return
	}
	c.publish(before, &after, source)
}

func (c *configHolder) publish(before, after *configSnapshot, source string) {
	c.current.Store(after)
	c.onChange(before, after, source)
}
