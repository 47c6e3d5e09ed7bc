package node

import (
	"bytes"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"verbenatrestle/process/admission/limit"
	"verbenatrestle/request/balance"
)

// Defaults of Settings.
const (
	defaultPolicy            = balance.DefaultPolicy
	defaultLimit             = limit.DefaultName
	defaultTerm              = 2 * time.Second
	defaultSkew              = 250 * time.Millisecond
	defaultGossipPeriod      = 500 * time.Millisecond
	defaultProbeMessages     = 20
	defaultProbeBytes        = 4 << 10
	defaultRetryShare        = 0.1
	defaultHedgeShare        = 0.05
	defaultMaxBodyBytes      = 1 << 20
	defaultMaxAnswerBytes    = 4 << 20
	defaultMaxHeaderBytes    = 64 << 10
	defaultDrainTimeout      = 30 * time.Second
	defaultWitnesses         = 5
	defaultMaxClaims         = 100_000
	defaultMaxAnswerMemory   = 16 << 20
	defaultPlatformTimeout   = 2 * time.Second
	defaultWatchWait         = 30 * time.Second
	minSecretBytes           = 16
	maxWitnesses             = 15
	minTerm                  = 200 * time.Millisecond
	defaultMaxCallerInFlight = 4096
)

// HopProtocol names the protocol of the HTTP hop between nodes.
type HopProtocol string

const (
	// HopHTTP1 is HTTP/1.1 with keep-alive.
	HopHTTP1 HopProtocol = "http1"
	// HopHTTP2 is cleartext HTTP/2 with prior knowledge.
	HopHTTP2 HopProtocol = "h2c"
)

// Listen holds the addresses of the node's listeners, each "IP:port".
type Listen struct {
	// Callers takes HTTP requests from callers and from the local service.
	Callers string `yaml:"callers"`
	// Hop takes HTTP requests from other nodes.
	Hop string `yaml:"hop"`
	// Peer takes WebSocket links from other nodes.
	Peer string `yaml:"peer"`
	// Admin takes the administration API.
	Admin string `yaml:"admin"`
	// Announce takes announcements of the target beside the node.
	Announce string `yaml:"announce"`
}

// Platform says how to reach the platform's object API.
type Platform struct {
	// Address is the base URL, such as "http://127.0.0.1:9000".
	Address string `yaml:"address"`
	// Timeout bounds one call that does not wait. Default 2s.
	Timeout time.Duration `yaml:"timeout"`
	// WatchWait is how long one watch waits for a change. Default 30s.
	WatchWait time.Duration `yaml:"watch_wait"`
}

// Secrets holds the node's keys. Each has at least 16 bytes.
type Secrets struct {
	// AdminToken is the bearer token of the administration API.
	AdminToken string `yaml:"admin_token"`
	// PeerKey authenticates nodes to each other.
	PeerKey string `yaml:"peer_key"`
}

// Ownership holds the settings of leases and claims. They must be the same on
// all nodes.
type Ownership struct {
	// LeaseTerm is the length of a lease. Default 2s, at least 200ms.
	LeaseTerm time.Duration `yaml:"term"`
	// MaxClockSkew is the greatest difference between wall clocks of nodes that is
	// allowed for. Default 250ms.
	MaxClockSkew time.Duration `yaml:"skew"`
	// Witnesses is how many nodes acknowledge leases of a service. Default 5,
	// odd, at most 15.
	Witnesses int `yaml:"witnesses"`
	// MaxClaims bounds the claims kept for a partition. Default 100000.
	MaxClaims int `yaml:"max_claims"`
	// MaxAnswerMemory bounds the bytes of kept answers of a partition. Default
	// 16 MiB.
	MaxAnswerMemory int `yaml:"max_answer_memory"`
}

// Budgets bounds what the node spends beside the requests themselves.
type Budgets struct {
	// ProbeMessagesPerSecond is how many load probes a second the node may send.
	// Default 20.
	ProbeMessagesPerSecond float64 `yaml:"probe_messages"`
	// ProbeBytesPerSecond is how many bytes a second load probes and the load on answers
	// may take. Default 4096.
	ProbeBytesPerSecond float64 `yaml:"probe_bytes"`
	// RetryRatio is the share of successes that retries may add, 0 to 1. Zero
	// turns retries off. Default 0.1.
	RetryRatio float64 `yaml:"retry_share"`
	// HedgeRatio is the share of requests that may be hedged, 0 to 1. Zero turns
	// hedges off. Default 0.05.
	HedgeRatio float64 `yaml:"hedge_share"`
}

// Limits bounds what the node holds in memory for requests.
type Limits struct {
	// MaxBodyBytes bounds a request's body. Default 1 MiB.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// MaxAnswerBytes bounds an answer that an owner keeps whole. Default 4 MiB.
	MaxAnswerBytes int64 `yaml:"max_answer_bytes"`
	// MaxHeaderBytes bounds a request's headers. Default 64 KiB.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// MaxCallerInFlight bounds the callers' requests at the node. Default 4096.
	MaxCallerInFlight int `yaml:"max_caller_in_flight"`
}

// Settings are the static settings of one node, read from a YAML file. What
// operators change at run time is in the configuration, not here.
type Settings struct {
	// Name is the node's name, unique among all nodes and the same after a
	// restart.
	Name string `yaml:"name"`
	// DataCentre is the name of the data centre that the VM is in.
	DataCentre string `yaml:"data_centre"`
	// Region is the name of the region that the data centre is in.
	Region string `yaml:"region"`
	// Listen holds the listeners' addresses.
	Listen Listen `yaml:"listen"`
	// Platform says how to reach the platform.
	Platform Platform `yaml:"platform"`
	// Secrets holds the node's keys.
	Secrets Secrets `yaml:"secrets"`
	// Ownership holds the settings of leases and claims.
	Ownership Ownership `yaml:"ownership"`
	// Budgets bounds retries, hedges and probes.
	Budgets Budgets `yaml:"budgets"`
	// Limits bounds memory for requests.
	Limits Limits `yaml:"limits"`
	// Policy names the balancing policy. Default "expectedwait".
	Policy string `yaml:"policy"`
	// AdmissionLimit names the adaptive admission limit. Default "gradient".
	AdmissionLimit string `yaml:"admission_limit"`
	// HopProtocol is "http1" (default) or "h2c".
	HopProtocol HopProtocol `yaml:"hop_protocol"`
	// GossipPeriod is the time between heartbeats to peers. Default 500ms.
	GossipPeriod time.Duration `yaml:"gossip_period"`
	// DrainTimeout bounds the planned stop of the node. Default 30s.
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	// OracleAddress is the base URL of a service that knows each target's true
	// load. Only measurements set it, together with the policy "oracle".
	OracleAddress string `yaml:"oracle_address"`
}

// LoadSettings reads, completes and checks the settings in the file at path.
// Errors name the file and, where the YAML is at fault, line and column.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	s, err := ParseSettings(data)
	return s, errors.Wrapf(err, "settings %s", path)
}

// ParseSettings is LoadSettings on data that has already been read.
func ParseSettings(data []byte) (Settings, error) {
	s := defaultSettings()
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.CustomUnmarshaler(parseDuration))
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, errors.Wrap(err, "parse")
	}
	return s, s.check()
}

// parseDuration reads a duration such as 250ms. Its error names the text, since
// the library's has neither field nor line for it.
func parseDuration(d *time.Duration, text []byte) error {
	parsed, err := time.ParseDuration(strings.Trim(string(bytes.TrimSpace(text)), `"'`))
	if err != nil {
		return errors.Errorf("%s is not a duration such as 250ms or 2s", bytes.TrimSpace(text))
	}
	*d = parsed
	return nil
}

// defaultSettings returns what the settings are where the file says nothing.
func defaultSettings() Settings {
	return Settings{
		Platform: Platform{Timeout: defaultPlatformTimeout, WatchWait: defaultWatchWait},
		Ownership: Ownership{
			LeaseTerm:       defaultTerm,
			MaxClockSkew:    defaultSkew,
			Witnesses:       defaultWitnesses,
			MaxClaims:       defaultMaxClaims,
			MaxAnswerMemory: defaultMaxAnswerMemory,
		},
		Budgets: Budgets{
			ProbeMessagesPerSecond: defaultProbeMessages,
			ProbeBytesPerSecond:    defaultProbeBytes,
			RetryRatio:             defaultRetryShare,
			HedgeRatio:             defaultHedgeShare,
		},
		Limits: Limits{
			MaxBodyBytes:      defaultMaxBodyBytes,
			MaxAnswerBytes:    defaultMaxAnswerBytes,
			MaxHeaderBytes:    defaultMaxHeaderBytes,
			MaxCallerInFlight: defaultMaxCallerInFlight,
		},
		Policy:         defaultPolicy,
		AdmissionLimit: defaultLimit,
		HopProtocol:    HopHTTP1,
		GossipPeriod:   defaultGossipPeriod,
		DrainTimeout:   defaultDrainTimeout,
	}
}

// check returns an error that names every setting that is wrong.
func (s *Settings) check() error {
	var c checker
	c.want(s.Name != "", "name: must be set")
	c.want(s.DataCentre != "", "data_centre: must be set")
	c.want(s.Region != "", "region: must be set")
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.hop", s.Listen.Hop)
	c.address("listen.peer", s.Listen.Peer)
	c.address("listen.admin", s.Listen.Admin)
	c.address("listen.announce", s.Listen.Announce)
	c.url("platform.address", s.Platform.Address)
	c.want(len(s.Secrets.AdminToken) >= minSecretBytes, "secrets.admin_token: must have at least 16 bytes")
	c.want(len(s.Secrets.PeerKey) >= minSecretBytes, "secrets.peer_key: must have at least 16 bytes")
	c.want(s.Ownership.LeaseTerm >= minTerm, "ownership.term: must be at least 200ms")
	c.want(s.Ownership.MaxClockSkew > 0, "ownership.skew: must be positive")
	c.want(s.Ownership.Witnesses%2 == 1 && s.Ownership.Witnesses <= maxWitnesses && s.Ownership.Witnesses > 0,
		"ownership.witnesses: must be odd and from 1 to 15")
	c.want(s.Ownership.MaxClaims > 0, "ownership.max_claims: must be positive")
	c.want(s.Ownership.MaxAnswerMemory > 0, "ownership.max_answer_memory: must be positive")
	c.share("budgets.retry_share", s.Budgets.RetryRatio)
	c.share("budgets.hedge_share", s.Budgets.HedgeRatio)
	c.want(s.Budgets.ProbeMessagesPerSecond > 0, "budgets.probe_messages: must be positive")
	c.want(s.Budgets.ProbeBytesPerSecond > 0, "budgets.probe_bytes: must be positive")
	c.want(s.Limits.MaxBodyBytes > 0, "limits.max_body_bytes: must be positive")
	c.want(s.Limits.MaxAnswerBytes > 0, "limits.max_answer_bytes: must be positive")
	c.want(s.Limits.MaxHeaderBytes > 0, "limits.max_header_bytes: must be positive")
	c.want(s.Limits.MaxCallerInFlight > 0, "limits.max_caller_in_flight: must be positive")
	c.want(s.HopProtocol == HopHTTP1 || s.HopProtocol == HopHTTP2, "hop_protocol: must be http1 or h2c")
	c.want(s.Platform.Timeout > 0, "platform.timeout: must be positive")
	c.want(s.Platform.WatchWait > 0, "platform.watch_wait: must be positive")
	c.want(s.GossipPeriod > 0, "gossip_period: must be positive")
	c.want(s.DrainTimeout > 0, "drain_timeout: must be positive")
	return c.err()
}
