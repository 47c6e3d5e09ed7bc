package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"verbenatrestle/internal/wait"
	"verbenatrestle/platform"
	"verbenatrestle/platform/standin"
)

// KeyUse says which API key a request has.
type KeyUse string

const (
	// KeyAbsent means that the request has no key.
	KeyAbsent KeyUse = ""
	// KeyUnknown is a key that no configuration ever holds.
	KeyUnknown KeyUse = "unknown"
	// KeyLasting is a key that all configurations hold.
	KeyLasting KeyUse = "lasting"
	// KeyOfVersion is a key that only one version of the configuration holds.
	KeyOfVersion KeyUse = "version"
)

// Organisations of the soak's configurations.
const (
	// hotOrganisation has a lasting key and sends more than all others together.
	hotOrganisation = "hot"
	// steadyOrganisation has a lasting key and one more in each version.
	steadyOrganisation = "steady"
	// changingOrganisation has one key in each version, and none at all in one of
	// versionsPerLoss versions.
	changingOrganisation = "changing"
	versionsPerLoss      = 3
	// limitedOrganisation has a lasting key and the only quota, which its callers exceed.
	limitedOrganisation = "limited"
	// madeUpName is sent as organisation and as service by callers that make them up.
	madeUpName = "made-up"
)

// The quota of limitedOrganisation, which all configurations hold, and how many times its rate
// its callers send.
const (
	limitedRate   = 10.0 // requests per second
	limitedBurst  = 10.0
	limitedDemand = 5
)

// Organisations returns the organisations of a version of the soak's configuration.
func Organisations(version int) []standin.Organisation {
	steadyKeys := []string{lastingIdentity(steadyOrganisation).key}
	changingKeys := []string{}
	if own := versionIdentity(version); own.holder == changingOrganisation {
		changingKeys = append(changingKeys, own.key)
	} else {
		steadyKeys = append(steadyKeys, own.key)
	}
	return []standin.Organisation{
		{Name: hotOrganisation, Keys: []string{lastingIdentity(hotOrganisation).key}, Priority: 1},
		{Name: steadyOrganisation, Keys: steadyKeys, Priority: 1},
		{Name: changingOrganisation, Keys: changingKeys, Priority: 2},
		{
			Name: limitedOrganisation, Keys: []string{lastingIdentity(limitedOrganisation).key}, Priority: 1,
			RatePerS: limitedRate, Burst: limitedBurst,
		},
	}
}

// identity is what a caller sends about itself. The zero value sends nothing.
type identity struct {
	// key is the API key, or empty. use says which one it is, and holder is the
	// organisation that the configurations give it.
	key    string
	use    KeyUse
	holder string
	// claimed is the name that the caller sends as its organisation, and claimedService
	// the one that it sends as its service. Empty sends none.
	claimed, claimedService string
}

// lastingIdentity returns the identity with the lasting key of an organisation.
func lastingIdentity(organisation string) identity {
	return identity{key: standin.KeyMark + organisation + "-lasting", use: KeyLasting, holder: organisation}
}

// versionIdentity returns the identity with the key that only one version has.
func versionIdentity(version int) identity {
	holder := changingOrganisation
	if version%versionsPerLoss == 0 {
		holder = steadyOrganisation
	}
	return identity{key: fmt.Sprintf("%s%s-v%d", standin.KeyMark, holder, version), use: KeyOfVersion, holder: holder}
}

// unknownIdentity returns an identity with a key that no configuration holds.
func unknownIdentity(id string) identity {
	return identity{key: standin.KeyMark + "unknown-" + id, use: KeyUnknown}
}

// setHeaders sets the headers of a request.
func (i *identity) setHeaders(header http.Header) {
	for name, value := range map[string]string{
		platform.HeaderKey: i.key, platform.HeaderOrganisation: i.claimed, platform.HeaderCaller: i.claimedService,
	} {
		if value != "" {
			header.Set(name, value)
		}
	}
}

// Shares of the requests, in percent. Those that are left go to hotOrganisation.
const (
	percentSteady  = 15
	percentVersion = 10
	percentUnknown = 5
	percentAbsent  = 5
	percentPublic  = 10
	// percentClaimed of all requests make up an organisation and a service.
	percentClaimed = 20
)

// chooseIdentity returns the identity of a request, and completes the record with what
// depends on it.
func (c *Callers) chooseIdentity(record *CallerRecord) identity {
	chosen := lastingIdentity(hotOrganisation)
	roll := rand.IntN(100)
	below := func(percent int) bool { roll -= percent; return roll < 0 }
	switch {
	case below(percentSteady):
		chosen = lastingIdentity(steadyOrganisation)
	case below(percentVersion):
		chosen = c.recentIdentity(record)
	case below(percentUnknown):
		chosen = unknownIdentity(record.ID)
	case below(percentAbsent):
		chosen = identity{}
	case below(percentPublic):
		record.Public = true
		chosen = []identity{{}, {}, unknownIdentity(record.ID), chosen}[rand.IntN(4)]
	}
	chosen.maybeClaim()
	return chosen
}

// maybeClaim makes up an organisation and a service for some of the requests.
func (i *identity) maybeClaim() {
	if rand.IntN(100) < percentClaimed {
		i.claimed = []string{madeUpName, hotOrganisation, steadyOrganisation, limitedOrganisation}[rand.IntN(4)]
		i.claimedService = madeUpName
	}
}

// sendBeyondQuota sends requests of limitedOrganisation beyond its quota until the context ends.
func (c *Callers) sendBeyondQuota(ctx context.Context, client *http.Client) {
	var group sync.WaitGroup
	defer group.Wait()
	interval := time.Duration(float64(time.Second) / (limitedDemand * limitedRate))
	for i := 0; wait.For(ctx, interval); i++ {
		identity := lastingIdentity(limitedOrganisation)
		identity.maybeClaim()
		record := CallerRecord{ID: fmt.Sprintf("%s-limited-%d", c.IDPrefix, i), Node: c.Nodes[rand.IntN(len(c.Nodes))]}
		group.Go(func() { c.sendToService(client, identity, record) })
	}
}

// recentIdentity returns an identity with a key of one of the latest configurations, most of
// which are withdrawn.
func (c *Callers) recentIdentity(record *CallerRecord) identity {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.recent) == 0 {
		return lastingIdentity(steadyOrganisation)
	}
	config := c.recent[rand.IntN(len(c.recent))]
	config.setRecord(record)
	return versionIdentity(config.Version)
}
