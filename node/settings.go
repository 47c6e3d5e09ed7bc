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

// Defaults and bounds of Settings.
const (
	defaultPolicy                 = balance.DefaultPolicy
	defaultAdmissionLimit         = limit.DefaultName
	defaultLeaseTerm              = 2 * time.Second
	defaultMaxClockSkew           = 250 * time.Millisecond
	defaultGossipPeriod           = 500 * time.Millisecond
	defaultProbeMessagesPerSecond = 20
	defaultProbeBytesPerSecond    = 4 << 10
	defaultRetryRatio             = 0.1
	defaultHedgeRatio             = 0.05
	defaultMaxBodyBytes           = 1 << 20
	defaultMaxAnswerBytes         = 4 << 20
	defaultMaxHeaderBytes         = 64 << 10
	defaultDrainTimeout           = 30 * time.Second
	defaultWitnesses              = 5
	defaultMaxClaims              = 100_000
	defaultMaxAnswerMemory        = 16 << 20
	defaultPlatformTimeout        = 2 * time.Second
	defaultWatchWait              = 30 * time.Second
	minSecretBytes                = 16
	maxWitnesses                  = 15
	minLeaseTerm                  = 200 * time.Millisecond
	defaultMaxCallerInFlight      = 4096
)

// HopProtocol is the protocol of the HTTP hops between nodes.
type HopProtocol string

const (
	// HopHTTP1 is HTTP/1.1 with keep-alive.
	HopHTTP1 HopProtocol = "http1"
	// HopHTTP2 is cleartext HTTP/2 with prior knowledge.
	HopHTTP2 HopProtocol = "h2c"
)

// Listen holds the addresses of the node's listeners. Each is an IP address and a
// port, such as "127.0.0.1:7000".
type Listen struct {
	// Callers accepts HTTP requests from callers and from the local service.
	Callers string `yaml:"callers"`
	// Hop accepts HTTP requests from other nodes.
	Hop string `yaml:"hop"`
	// Peer accepts WebSocket links from other nodes.
	Peer string `yaml:"peer"`
	// Admin serves the administration API, the metrics and the state dump.
	Admin string `yaml:"admin"`
	// Announce accepts announcements of the target beside the node.
	Announce string `yaml:"announce"`
}

// Platform holds the settings of the client of the platform's object API.
type Platform struct {
	// Address is the base URL, such as "http://127.0.0.1:9000". Its host is an IP
	// address.
	Address string `yaml:"address"`
	// Timeout is the timeout of a call other than a watch. Default 2s.
	Timeout time.Duration `yaml:"timeout"`
	// WatchWait is the mean time for which a watch waits for a change. Default 30s.
	WatchWait time.Duration `yaml:"watch_wait"`
}

// Secrets holds the node's secrets. Each has at least 16 bytes.
type Secrets struct {
	// AdminToken is the bearer token of the administration API.
	AdminToken string `yaml:"admin_token"`
	// PeerKey authenticates nodes to each other. It is the same on all nodes.
	PeerKey string `yaml:"peer_key"`
}

// Ownership holds the settings of leases and claims. They must be the same on
// all nodes.
type Ownership struct {
	// LeaseTerm is how long a witness waits after its last acknowledgement before
	// it acknowledges a higher tenure. A lease is shorter by a margin for clocks
	// that run at different speeds. Default 2s, at least 200ms.
	LeaseTerm time.Duration `yaml:"term"`
	// MaxClockSkew is the largest difference between the wall clocks of any two
	// nodes that ownership tolerates. Default 250ms.
	MaxClockSkew time.Duration `yaml:"skew"`
	// Witnesses is the number of nodes that acknowledge the leases of a service.
	// It is odd and at most 15. Default 5.
	Witnesses int `yaml:"witnesses"`
	// MaxClaims bounds the number of claims stored for a partition. Default 100000.
	MaxClaims int `yaml:"max_claims"`
	// MaxAnswerMemory bounds the responses stored for a partition, in bytes.
	// Default 16 MiB.
	MaxAnswerMemory int `yaml:"max_answer_memory"`
}

// Budgets bounds what the node spends in addition to the first attempts of
// requests.
type Budgets struct {
	// ProbeMessagesPerSecond bounds the rate of load polls. Default 20.
	ProbeMessagesPerSecond float64 `yaml:"probe_messages"`
	// ProbeBytesPerSecond bounds the bytes per second of load polls and of the load
	// data on responses, together. Default 4096.
	ProbeBytesPerSecond float64 `yaml:"probe_bytes"`
	// RetryRatio is how many retries each answered request adds to the retry
	// budget, from 0 to 1. Zero disables retries. Default 0.1.
	RetryRatio float64 `yaml:"retry_share"`
	// HedgeRatio is how many hedges each request adds to the hedge budget, from 0
	// to 1. Zero disables hedging. Default 0.05.
	HedgeRatio float64 `yaml:"hedge_share"`
}

// Limits bounds what the node holds in memory for requests.
type Limits struct {
	// MaxBodyBytes bounds the body of a request. A route may have a lower limit.
	// Default 1 MiB.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// MaxAnswerBytes bounds the body of a response that an owner stores. Default
	// 4 MiB.
	MaxAnswerBytes int64 `yaml:"max_answer_bytes"`
	// MaxHeaderBytes bounds the headers of a request. Default 64 KiB.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// MaxCallerInFlight bounds the requests of callers that are in flight at the
	// node. Default 4096.
	MaxCallerInFlight int `yaml:"max_caller_in_flight"`
}

// Settings are the static settings of one node, read from a YAML file. The
// configuration, which operators change at run time, is separate.
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
	// Platform holds the settings of the platform's client.
	Platform Platform `yaml:"platform"`
	// Secrets holds the node's secrets.
	Secrets Secrets `yaml:"secrets"`
	// Ownership holds the settings of leases and claims.
	Ownership Ownership `yaml:"ownership"`
	// Budgets bounds retries, hedges and load measurements.
	Budgets Budgets `yaml:"budgets"`
	// Limits bounds the memory for requests.
	Limits Limits `yaml:"limits"`
	// Policy is the name of the balancing policy, as in balance.New. Default
	// "expectedwait".
	Policy string `yaml:"policy"`
	// AdmissionLimit is the name of the algorithm that adapts the admission limit.
	// Default "gradient".
	AdmissionLimit string `yaml:"admission_limit"`
	// HopProtocol is "http1" (default) or "h2c".
	HopProtocol HopProtocol `yaml:"hop_protocol"`
	// GossipPeriod is the interval of heartbeats to peers. Default 500ms.
	GossipPeriod time.Duration `yaml:"gossip_period"`
	// DrainTimeout bounds the time of a planned stop of the node. Default 30s.
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	// OracleAddress is the base URL of a service that returns the actual load of
	// each target. Only benchmarks set it, together with the policy "oracle".
	OracleAddress string `yaml:"oracle_address"`
}

// LoadSettings reads the settings in the file at path, fills in the defaults and
// validates the result. Errors name the file, and for invalid YAML the line and
// column.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	s, err := ParseSettings(data)
	return s, errors.Wrapf(err, "settings %s", path)
}

// ParseSettings is like LoadSettings for YAML that has already been read. A
// validation error names all invalid settings.
func ParseSettings(data []byte) (Settings, error) {
	s := defaultSettings()
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.CustomUnmarshaler(parseDuration))
	if err := decoder.Decode(&s); err != nil {
		// The error itself quotes the lines around the mistake, which may hold secrets.
		return Settings{}, errors.Errorf("parse: %s", yaml.FormatError(err, false, false))
	}
	return s, s.check()
}

// parseDuration parses a duration such as 250ms. Its error contains the text,
// because the YAML library adds neither the field nor the line.
func parseDuration(d *time.Duration, text []byte) error {
	parsed, err := time.ParseDuration(strings.Trim(string(bytes.TrimSpace(text)), `"'`))
	if err != nil {
		return errors.Errorf("%s is not a duration such as 250ms or 2s", bytes.TrimSpace(text))
	}
	*d = parsed
	return nil
}

// defaultSettings returns the settings with all defaults.
func defaultSettings() Settings {
	return Settings{
		Platform: Platform{Timeout: defaultPlatformTimeout, WatchWait: defaultWatchWait},
		Ownership: Ownership{
			LeaseTerm:       defaultLeaseTerm,
			MaxClockSkew:    defaultMaxClockSkew,
			Witnesses:       defaultWitnesses,
			MaxClaims:       defaultMaxClaims,
			MaxAnswerMemory: defaultMaxAnswerMemory,
		},
		Budgets: Budgets{
			ProbeMessagesPerSecond: defaultProbeMessagesPerSecond,
			ProbeBytesPerSecond:    defaultProbeBytesPerSecond,
			RetryRatio:             defaultRetryRatio,
			HedgeRatio:             defaultHedgeRatio,
		},
		Limits: Limits{
			MaxBodyBytes:      defaultMaxBodyBytes,
			MaxAnswerBytes:    defaultMaxAnswerBytes,
			MaxHeaderBytes:    defaultMaxHeaderBytes,
			MaxCallerInFlight: defaultMaxCallerInFlight,
		},
		Policy:         defaultPolicy,
		AdmissionLimit: defaultAdmissionLimit,
		HopProtocol:    HopHTTP1,
		GossipPeriod:   defaultGossipPeriod,
		DrainTimeout:   defaultDrainTimeout,
	}
}

// check returns an error that names every invalid setting, or nil.
func (s *Settings) check() error {
	var c checker
	c.require(s.Name != "", "name: must be set")
	c.require(s.DataCentre != "", "data_centre: must be set")
	c.require(s.Region != "", "region: must be set")
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.hop", s.Listen.Hop)
	c.address("listen.peer", s.Listen.Peer)
	c.address("listen.admin", s.Listen.Admin)
	c.address("listen.announce", s.Listen.Announce)
	c.url("platform.address", s.Platform.Address)
	c.require(len(s.Secrets.AdminToken) >= minSecretBytes, "secrets.admin_token: must have at least 16 bytes")
	c.require(len(s.Secrets.PeerKey) >= minSecretBytes, "secrets.peer_key: must have at least 16 bytes")
	c.require(s.Ownership.LeaseTerm >= minLeaseTerm, "ownership.term: must be at least 200ms")
	c.require(s.Ownership.MaxClockSkew > 0, "ownership.skew: must be positive")
	c.require(s.Ownership.Witnesses%2 == 1 && s.Ownership.Witnesses <= maxWitnesses && s.Ownership.Witnesses > 0,
		"ownership.witnesses: must be odd and from 1 to 15")
	c.require(s.Ownership.MaxClaims > 0, "ownership.max_claims: must be positive")
	c.require(s.Ownership.MaxAnswerMemory > 0, "ownership.max_answer_memory: must be positive")
	c.share("budgets.retry_share", s.Budgets.RetryRatio)
	c.share("budgets.hedge_share", s.Budgets.HedgeRatio)
	c.require(s.Budgets.ProbeMessagesPerSecond > 0, "budgets.probe_messages: must be positive")
	c.require(s.Budgets.ProbeBytesPerSecond > 0, "budgets.probe_bytes: must be positive")
	c.require(s.Limits.MaxBodyBytes > 0, "limits.max_body_bytes: must be positive")
	c.require(s.Limits.MaxAnswerBytes > 0, "limits.max_answer_bytes: must be positive")
	c.require(s.Limits.MaxHeaderBytes > 0, "limits.max_header_bytes: must be positive")
	c.require(s.Limits.MaxCallerInFlight > 0, "limits.max_caller_in_flight: must be positive")
	c.require(s.HopProtocol == HopHTTP1 || s.HopProtocol == HopHTTP2, "hop_protocol: must be http1 or h2c")
	c.require(s.Platform.Timeout > 0, "platform.timeout: must be positive")
	c.require(s.Platform.WatchWait > 0, "platform.watch_wait: must be positive")
	c.require(s.GossipPeriod > 0, "gossip_period: must be positive")
	c.require(s.DrainTimeout > 0, "drain_timeout: must be positive")
	return c.err()
}
