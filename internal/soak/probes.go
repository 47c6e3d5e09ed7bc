package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"verbenatrestle/internal/wait"
	"verbenatrestle/platform/standin"
)

const (
	// probeInterval is the interval at which each node is asked for the routes of the
	// latest two versions of the configuration.
	probeInterval = 250 * time.Millisecond
	// probedRoutes and probedKeys are how many of the latest configurations each node is
	// asked for the routes and with the keys of. Keys are used in one of roundsPerKeyProbe
	// intervals.
	probedRoutes, probedKeys = 2, 4
	roundsPerKeyProbe        = 4
	// PoisonBody is the body of a request that crashes the target that runs it.
	PoisonBody = "crash"
)

// probedConfig is a configuration that callers request the routes of, or whose keys they use.
// supersededMillis is when the next one was acknowledged, or 0.
type probedConfig struct {
	AckedConfig
	supersededMillis int64
}

// setRecord makes a record that of a request for a route or with a key of the configuration.
func (p *probedConfig) setRecord(record *CallerRecord) {
	record.Config, record.ConfigSentMillis = p.Version, p.SentMillis
	record.AckedMillis, record.SupersededMillis = p.AckedMillis, p.supersededMillis
}

// probeConfigs requests the routes that only the latest configurations have from each node,
// and a lasting route with keys that only these have, until the context ends.
func (c *Callers) probeConfigs(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; wait.For(ctx, probeInterval); i++ {
		acked, err := readLines[AckedConfig](c.AckedConfigs)
		if err != nil {
			continue // nothing was acknowledged yet
		}
		recent := latestFirst(acked)
		c.mu.Lock()
		c.recent = recent
		c.mu.Unlock()
		c.probeRecentRoutes(client, &group, acked, i)
		for age, config := range recent {
			for n, node := range c.Nodes {
				probe := func(name, path string, identity identity) {
					record := CallerRecord{ID: fmt.Sprintf("%s-%s-%d-%d-%d", c.IDPrefix, name, i, age, n), Node: node}
					config.setRecord(&record)
					group.Go(func() { c.post(client, path+record.ID, "x", identity, record) })
				}
				if age < probedRoutes {
					probe("config", standin.VersionPath(config.Version), lastingIdentity(hotOrganisation))
				}
				if i%roundsPerKeyProbe == 0 {
					probe("key", "/"+c.Services[len(c.Services)-1]+"/", versionIdentity(config.Version))
				}
			}
		}
	}
}

// probeRecentRoutes requests two routes from each node, by the latest configuration that has to be
// in force everywhere: its own one, which later configurations have too, and the last one that
// neither it nor any later one has. However quickly configurations follow each other, a node that
// has one from before refuses the former or serves the latter.
func (c *Callers) probeRecentRoutes(client *http.Client, group *sync.WaitGroup, acked []AckedConfig, round int) {
	inForce, ok := latestInForce(acked, time.Now())
	if !ok {
		return
	}
	current := CallerRecord{Config: inForce.Version, ConfigSentMillis: inForce.SentMillis, AckedMillis: inForce.AckedMillis}
	past := CallerRecord{Config: inForce.Version - standin.RecentVersions, SupersededMillis: inForce.AckedMillis}
	for n, node := range c.Nodes {
		for _, record := range []CallerRecord{current, past} {
			if record.Config <= 0 {
				continue
			}
			record.ID = fmt.Sprintf("%s-recent-%d-%d-%d", c.IDPrefix, round, record.Config, n)
			record.Node, record.RouteVersions = node, standin.RecentVersions
			path := standin.RecentPath(record.Config) + record.ID
			group.Go(func() { c.post(client, path, "x", lastingIdentity(hotOrganisation), record) })
		}
	}
}

// latestInForce returns the latest configuration that was acknowledged so long ago that it has to
// be in force everywhere, or false if there is none.
func latestInForce(acked []AckedConfig, now time.Time) (AckedConfig, bool) {
	for _, config := range slices.Backward(acked) {
		if config.AckedMillis+maxActivationDelay.Milliseconds() < now.UnixMilli() {
			return config, true
		}
	}
	return AckedConfig{}, false
}

// latestFirst returns the last configurations, at most probedKeys, the latest one first. A
// configuration that was written again counts once.
func latestFirst(acked []AckedConfig) []probedConfig {
	var latest []probedConfig
	for _, config := range slices.Backward(acked) {
		probed := probedConfig{AckedConfig: config}
		if last := len(latest) - 1; last >= 0 {
			if config.Version == latest[last].Version {
				continue
			}
			probed.supersededMillis = latest[last].AckedMillis
		}
		if latest = append(latest, probed); len(latest) == probedKeys {
			break
		}
	}
	return latest
}

// sendPoison sends the same request, which crashes the targets that run it, to random
// nodes under new ids until the context ends.
func (c *Callers) sendPoison(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	var group sync.WaitGroup
	defer group.Wait()
	path := "/" + c.Services[len(c.Services)-1] + "/poison"
	for i := 0; wait.For(ctx, c.PoisonInterval); i++ {
		node := c.Nodes[rand.IntN(len(c.Nodes))]
		record := CallerRecord{ID: fmt.Sprintf("%s-poison-%d", c.IDPrefix, i), Node: node, Poison: true}
		group.Go(func() { c.post(client, path, PoisonBody, lastingIdentity(hotOrganisation), record) })
	}
}
