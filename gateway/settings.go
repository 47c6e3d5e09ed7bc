package gateway

import (
	"bytes"
	"cmp"
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"verbenatrestle/platform"
	"verbenatrestle/process/gate"
)

const (
	// maxNameBytes bounds the names of a node, its data centre, its service and the
	// instance of its target, and maxDataCentreNameBytes those of all data centres
	// together, so that a status fits into a datagram.
	maxNameBytes           = 128
	maxDataCentreNameBytes = 512
)

// Settings configure a node. The node logs them as JSON under the names of the
// Go fields.
type Settings struct {
	// FirstStart is set if the whole system starts for the first time, so that no earlier
	// process of the node has left anything in the store.
	FirstStart bool `yaml:"first_start"`
	// Name identifies the node in the store and to its peers, so no two nodes of
	// the fleet may have the same name.
	Name string `yaml:"name"`
	// DataCentre is the data centre that the node runs in.
	DataCentre string `yaml:"data_centre"`
	// DataCentres names all data centres of the platform.
	DataCentres []string `yaml:"data_centres"`
	// Service is the service of the local target, the one beside the node.
	Service string `yaml:"service"`
	// Target is the address at which the local target takes requests,
	// "IP:port".
	Target string `yaml:"target"`
	// Listen holds the addresses that the node listens on.
	Listen Listen `yaml:"listen"`
	// AdvertiseHop is the address at which other nodes reach Listen.Hop, if it
	// differs. The default is Listen.Hop.
	AdvertiseHop string `yaml:"advertise_hop"`
	// Store is the address of the platform's metadata store, "IP:port".
	Store string `yaml:"store"`
	// Limits hold the limits of the agreement with the platform.
	Limits Limits `yaml:"limits"`
	// Contracts names the parts of the agreement that are in force. They only tell which of
	// them the node does not serve; see unsupported.
	Contracts []string `yaml:"contracts"`
	// KeysFailClosed asks to reject callers' keys while the node can't know whether they
	// were withdrawn. It is not supported.
	KeysFailClosed bool `yaml:"keys_fail_closed"`
}

// unsupported names what the settings ask for and the node does not serve.
func (s *Settings) unsupported() []string {
	names := platform.UnsupportedContracts(s.Contracts)
	if s.KeysFailClosed {
		names = append(names, "keys_fail_closed")
	}
	return names
}

// Listen holds the addresses that a node listens on, "IP:port" each.
type Listen struct {
	// Callers takes requests of callers and of the local target.
	Callers string `yaml:"callers"`
	// Hop takes requests of other nodes for the local target.
	Hop string `yaml:"hop"`
	// Readiness serves the readiness checks by which the platform decides
	// whether to send callers to this node.
	Readiness string `yaml:"readiness"`
	// Reports takes the status reports of the local target.
	Reports string `yaml:"reports"`
	// Peers takes datagrams of other nodes, over UDP.
	Peers string `yaml:"peers"`
	// Metrics serves the metrics of the node.
	Metrics string `yaml:"metrics"`
}

// Limits hold the limits of the agreement with the platform.
type Limits struct {
	// RepeatRatio is the number of retries that the retry budget of a service
	// allows for each first send, from 0 to 1.
	RepeatRatio float64 `yaml:"repeat_ratio"`
	// RepeatSlack is the number of retries that the retry budget of a service
	// allows in addition.
	RepeatSlack float64 `yaml:"repeat_slack"`
	// RepeatWindowSeconds is the time window of the retry budget, in seconds.
	RepeatWindowSeconds float64 `yaml:"repeat_window_s"`
	// ColdFactor is the factor by which the request rate of a cold target may
	// be exceeded. It is at least 1.
	ColdFactor float64 `yaml:"cold_factor"`
	// StopSeconds is the longest time that a planned stop may take, in seconds.
	StopSeconds float64 `yaml:"stop_s"`
	// MemoryMB is the memory of the VM that the process may use, in MB (10^6 bytes). Zero
	// means defaultMemoryMB. A change takes effect when the process starts again.
	MemoryMB float64 `yaml:"memory_mb"`
	// ConfigApplySeconds is how long after its acceptance a configuration has to be in force
	// everywhere, in seconds. Zero means defaultConfigApply.
	ConfigApplySeconds float64 `yaml:"config_apply_s"`
}

// hopAddress returns the address to which other nodes send requests for the
// local target.
func (s *Settings) hopAddress() string { return cmp.Or(s.AdvertiseHop, s.Listen.Hop) }

// slackDelay returns the time from the start of the process until the whole slack of the
// retry budget is available.
func (s *Settings) slackDelay() time.Duration {
	if s.FirstStart {
		return 0
	}
	return s.Limits.retryBudget().Window
}

// retryBudget returns the settings of the retry budget.
func (l Limits) retryBudget() gate.RetryBudget {
	return gate.RetryBudget{
		Ratio:  l.RepeatRatio,
		Slack:  l.RepeatSlack,
		Window: time.Duration(l.RepeatWindowSeconds * float64(time.Second)),
	}
}

// defaultConfigApply is the default of Limits.ConfigApplySeconds.
const defaultConfigApply = 4 * time.Second

// maxOutdated returns how long a node that knows of a newer configuration may go on by its
// active one.
func (l Limits) maxOutdated() time.Duration {
	apply := time.Duration(l.ConfigApplySeconds * float64(time.Second))
	if apply <= 0 {
		apply = defaultConfigApply
	}
	return max(apply-configNoticeTime, apply/2)
}

// stopTimeout returns the longest time that a planned stop may take.
func (l Limits) stopTimeout() time.Duration {
	return time.Duration(l.StopSeconds * float64(time.Second))
}

// LoadSettings reads and validates a settings file in YAML. Unknown fields are
// an error.
func LoadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	settings, err := ParseSettings(text)
	return settings, errors.Wrapf(err, "settings %s", path)
}

// ParseSettings decodes and validates the text of a settings file. Unknown
// fields are an error.
func ParseSettings(text []byte) (Settings, error) {
	var s Settings
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&s); err != nil {
		return Settings{}, errors.Wrap(err, "parse")
	}
	return s, s.validate()
}

// validate returns an error that names the first invalid field.
func (s *Settings) validate() error {
	if s.Name == "" || s.DataCentre == "" || s.Service == "" {
		return errors.New("name, data_centre and service must be set")
	}
	addresses := []struct{ field, value string }{
		{"target", s.Target}, {"store", s.Store},
		{"listen.callers", s.Listen.Callers}, {"listen.hop", s.Listen.Hop},
		{"listen.readiness", s.Listen.Readiness}, {"listen.reports", s.Listen.Reports},
		{"listen.peers", s.Listen.Peers}, {"listen.metrics", s.Listen.Metrics},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return errors.Wrapf(err, "%s must be an address of the form IP:port", a.field)
		}
	}
	if s.AdvertiseHop != "" {
		if _, err := netip.ParseAddrPort(s.AdvertiseHop); err != nil {
			return errors.Wrap(err, "advertise_hop must be an address of the form IP:port")
		}
	}
	if err := s.validateNames(); err != nil {
		return err
	}
	switch {
	case s.Limits.RepeatRatio < 0 || s.Limits.RepeatRatio > 1:
		return errors.New("limits.repeat_ratio must be between 0 and 1")
	case s.Limits.RepeatSlack < 0:
		return errors.New("limits.repeat_slack must not be negative")
	case s.Limits.RepeatWindowSeconds <= 0:
		return errors.New("limits.repeat_window_s must be greater than 0")
	case s.Limits.ColdFactor < 1:
		return errors.New("limits.cold_factor must be at least 1")
	case s.Limits.StopSeconds <= 0:
		return errors.New("limits.stop_s must be greater than 0")
	case s.Limits.MemoryMB < 0:
		return errors.New("limits.memory_mb must not be negative")
	case s.Limits.ConfigApplySeconds < 0:
		return errors.New("limits.config_apply_s must not be negative")
	}
	return nil
}

// validateNames returns an error if the names might not fit into a status with all
// data centres out of service.
func (s *Settings) validateNames() error {
	total := 0
	for _, name := range s.DataCentres {
		total += len(name)
	}
	if total > maxDataCentreNameBytes {
		return errors.Errorf("data_centres must not have more than %d bytes together", maxDataCentreNameBytes)
	}
	for field, name := range map[string]string{"name": s.Name, "data_centre": s.DataCentre, "service": s.Service} {
		if len(name) > maxNameBytes {
			return errors.Errorf("%s must not have more than %d bytes", field, maxNameBytes)
		}
	}
	return nil
}
