package gateway

import (
	"bytes"
	"cmp"
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"verbenatrestle/process/gate"
)

// Settings of a node.
type Settings struct {
	// Name names the node.
	Name string `yaml:"name"`
	// DataCentre is where the node runs.
	DataCentre string `yaml:"data_centre"`
	// DataCentres names all data centres.
	DataCentres []string `yaml:"data_centres"`
	// Service is the service of the target beside the node.
	Service string `yaml:"service"`
	// Target is where the target beside the node takes requests, "IP:port".
	Target string `yaml:"target"`
	// Listen holds the node's addresses.
	Listen Listen `yaml:"listen"`
	// AdvertiseHop is where other nodes reach Listen.Hop, if that is another
	// address. Default Listen.Hop.
	AdvertiseHop string `yaml:"advertise_hop"`
	// Store is where the platform's metadata store answers, "IP:port".
	Store string `yaml:"store"`
	// Limits hold what the platform's agreement allows.
	Limits Limits `yaml:"limits"`
}

// Listen holds the addresses of a node's listeners, "IP:port" each.
type Listen struct {
	// Callers takes requests of callers and of the target beside the node.
	Callers string `yaml:"callers"`
	// Hop takes requests of other nodes for the target.
	Hop string `yaml:"hop"`
	// Readiness answers the platform's question whether to send callers here.
	Readiness string `yaml:"readiness"`
	// Reports takes the target's status reports.
	Reports string `yaml:"reports"`
	// Peers takes datagrams of other nodes.
	Peers string `yaml:"peers"`
	// Metrics serves metrics.
	Metrics string `yaml:"metrics"`
}

// Limits hold what the platform's agreement allows. Times are in seconds.
type Limits struct {
	// RepeatRatio is how many repeated sends a first send to a service allows.
	RepeatRatio float64 `yaml:"repeat_ratio"`
	// RepeatSlack is how many repeated sends a service may have beside those.
	RepeatSlack float64 `yaml:"repeat_slack"`
	// RepeatWindowSeconds is the span in which repeated sends are counted.
	RepeatWindowSeconds float64 `yaml:"repeat_window_s"`
	// ColdFactor is by how much a cold target's rate may be exceeded.
	ColdFactor float64 `yaml:"cold_factor"`
	// StopSeconds is how long a planned stop may take.
	StopSeconds float64 `yaml:"stop_s"`
}

// hopAddress returns where other nodes send requests for the target.
func (s *Settings) hopAddress() string { return cmp.Or(s.AdvertiseHop, s.Listen.Hop) }

// retryBudget returns the budget of repeated sends.
func (l Limits) retryBudget() gate.RetryBudget {
	return gate.RetryBudget{
		Ratio:  l.RepeatRatio,
		Slack:  l.RepeatSlack,
		Window: time.Duration(l.RepeatWindowSeconds * float64(time.Second)),
	}
}

// stopTimeout returns how long a planned stop may take.
func (l Limits) stopTimeout() time.Duration {
	return time.Duration(l.StopSeconds * float64(time.Second))
}

// LoadSettings reads and checks a settings file. Fields that are not known are
// refused.
func LoadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	settings, err := ParseSettings(text)
	return settings, errors.Wrapf(err, "settings %s", path)
}

// ParseSettings reads and checks the text of a settings file.
func ParseSettings(text []byte) (Settings, error) {
	var s Settings
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&s); err != nil {
		return Settings{}, errors.Wrap(err, "parse")
	}
	return s, s.validate()
}

func (s *Settings) validate() error {
	if s.Name == "" || s.DataCentre == "" || s.Service == "" {
		return errors.New("check: name, data_centre and service must be set")
	}
	addresses := []struct{ field, value string }{
		{"target", s.Target}, {"store", s.Store},
		{"listen.callers", s.Listen.Callers}, {"listen.hop", s.Listen.Hop},
		{"listen.readiness", s.Listen.Readiness}, {"listen.reports", s.Listen.Reports},
		{"listen.peers", s.Listen.Peers}, {"listen.metrics", s.Listen.Metrics},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return errors.Wrapf(err, "check: %s is not IP:port", a.field)
		}
	}
	switch {
	case s.Limits.RepeatRatio < 0 || s.Limits.RepeatRatio > 1:
		return errors.New("check: limits.repeat_ratio is not between 0 and 1")
	case s.Limits.RepeatSlack < 0:
		return errors.New("check: limits.repeat_slack is negative")
	case s.Limits.RepeatWindowSeconds <= 0:
		return errors.New("check: limits.repeat_window_s is not above zero")
	case s.Limits.ColdFactor < 1:
		return errors.New("check: limits.cold_factor is below 1")
	case s.Limits.StopSeconds <= 0:
		return errors.New("check: limits.stop_s is not above zero")
	}
	return nil
}
