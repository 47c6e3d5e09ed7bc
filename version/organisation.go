package version

import (
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"github.com/pkg/errors"
)

// keyDigestBytes is the length of a KeyDigest.
const keyDigestBytes = 16

// KeyDigest identifies an API key and does not reveal it: the first 128 bits of the SHA-256
// hash of the key. Nodes keep and exchange digests only. The time to find one in a table
// tells nothing about the keys there.
type KeyDigest [keyDigestBytes]byte

// NewKeyDigest returns the digest of a key.
func NewKeyDigest(key string) KeyDigest {
	hash := sha256.Sum256([]byte(key))
	return KeyDigest(hash[:keyDigestBytes])
}

// ParseKeyDigest parses the result of KeyDigest.Encode.
func ParseKeyDigest(text string) (KeyDigest, error) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) != keyDigestBytes {
		return KeyDigest{}, errors.Errorf("parse key digest: want %d bytes in base64", keyDigestBytes)
	}
	return KeyDigest(raw), nil
}

// Encode returns the digest as text.
func (d KeyDigest) Encode() string { return base64.RawURLEncoding.EncodeToString(d[:]) }

// String returns a placeholder, so that logs and errors do not show digests.
func (d KeyDigest) String() string { return "(key digest)" }

// OrganisationRule is one organisation of a RouteTable.
type OrganisationRule struct {
	// Name is the name of the organisation.
	Name string
	// Priority is the priority of its requests; 0 is the most urgent. It goes before
	// that of the route.
	Priority int
	// Keys holds the digests of its keys.
	Keys []KeyDigest
	// Quota limits its requests over all nodes together.
	Quota Quota
}

// Quota limits the requests of an organisation.
type Quota struct {
	// RatePerSecond is how many requests a second are allowed on average. Zero means that
	// there is no limit.
	RatePerSecond float64
	// Burst is how many requests are allowed at once after a time without requests.
	Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.RatePerSecond > 0 }

// maxOrganisationNameBytes bounds the name of an organisation.
const maxOrganisationNameBytes = 256

// Validate returns an error if the name can't be the value of a header, or the quota is
// negative.
func (o *OrganisationRule) Validate() error {
	if o.Quota.RatePerSecond < 0 || o.Quota.Burst < 0 {
		return errors.Errorf("quota of organisation %q: want no negative numbers", o.Name)
	}
	if o.Name == "" || len(o.Name) > maxOrganisationNameBytes || strings.TrimSpace(o.Name) != o.Name {
		return errors.Errorf("name of an organisation %q: want 1 to %d bytes without spaces around them", o.Name, maxOrganisationNameBytes)
	}
	for _, c := range []byte(o.Name) {
		if c < ' ' || c == del {
			return errors.Errorf("name of an organisation %q: want no control characters", o.Name)
		}
	}
	return nil
}

// del is the control character above the printable ASCII characters.
const del = 0x7f

// Caller is what a node knows about the caller of a request.
type Caller struct {
	// Config is the number of the configuration that the other fields are taken from.
	Config uint64
	// Organisation is the name of the organisation, or empty if the request has none.
	Organisation string
	// Priority is the priority of the organisation.
	Priority int
	// Key is the digest of the only key in the request, if HasKey is set. The organisation
	// need not be known: another configuration may know the key.
	Key    KeyDigest
	HasKey bool
}

// WithOrganisations returns a copy of the table that requires a key for the routes that are
// not public. It fails if two organisations hold the same key.
func (t *RouteTable) WithOrganisations(organisations []OrganisationRule) (*RouteTable, error) {
	table := *t
	table.organisations = len(organisations)
	table.keyHolders = make(map[KeyDigest]*OrganisationRule)
	table.quotas = make(map[string]Quota)
	for i := range organisations {
		o := &organisations[i]
		if quota, ok := table.quotas[o.Name]; o.Quota.Limited() && (!ok || o.Quota.RatePerSecond < quota.RatePerSecond) {
			table.quotas[o.Name] = o.Quota
		}
		for _, key := range o.Keys {
			if holder := table.keyHolders[key]; holder != nil && holder.Name != o.Name {
				return nil, errors.Errorf("organisations %q and %q hold the same key", holder.Name, o.Name)
			}
			table.keyHolders[key] = o
		}
	}
	return &table, nil
}

// Quota returns the quota of an organisation. If the configuration names the organisation more
// than once, it is the lowest.
func (t *RouteTable) Quota(organisation string) Quota { return t.quotas[organisation] }

// HasOrganisations reports whether callers need keys. It is true also if the list of
// organisations is empty.
func (t *RouteTable) HasOrganisations() bool { return t.keyHolders != nil }

// OrganisationCount returns the number of organisations, and KeyCount that of their keys.
func (t *RouteTable) OrganisationCount() int { return t.organisations }

// KeyCount returns the number of keys.
func (t *RouteTable) KeyCount() int { return len(t.keyHolders) }

// requiresKey reports whether requests of a rule need a key. Nil is a route that the table
// lacks.
func (t *RouteTable) requiresKey(rule *RouteRule) bool {
	return t.HasOrganisations() && (rule == nil || !rule.Public)
}

// Identify returns the caller of a request of a rule. keys holds the keys in the request. It
// returns false if the rule requires a key and there is none, more than one, or one that no
// organisation holds.
func (t *RouteTable) Identify(rule *RouteRule, keys []string) (Caller, bool) {
	var caller Caller
	if len(keys) == 1 {
		caller.Key, caller.HasKey = NewKeyDigest(keys[0]), true
	}
	return t.identify(rule, caller)
}

// Confirm checks the caller of a request that another node has identified, and returns it as
// this table knows it. It returns false if the other node had an older configuration, or the
// same, and this one doesn't allow the request. A newer one of the other node is relied on.
func (t *RouteTable) Confirm(rule *RouteRule, caller Caller) (Caller, bool) {
	if caller.Config > t.version {
		return caller, true
	}
	return t.identify(rule, Caller{Key: caller.Key, HasKey: caller.HasKey})
}

// identify completes a caller of whom only the key is known.
func (t *RouteTable) identify(rule *RouteRule, caller Caller) (Caller, bool) {
	caller.Config = t.version
	if holder := t.keyHolders[caller.Key]; holder != nil && caller.HasKey {
		caller.Organisation, caller.Priority = holder.Name, holder.Priority
		return caller, true
	}
	return caller, !t.requiresKey(rule)
}
