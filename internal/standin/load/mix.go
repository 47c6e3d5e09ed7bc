package load

import (
	"bytes"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Class is a kind of operation.
type Class struct {
	// Name names the class in reports.
	Name string `yaml:"name"`
	// Weight is the class's share of the operations relative to the others.
	Weight float64 `yaml:"weight"`
	// Method is the HTTP method.
	Method string `yaml:"method"`
	// Path is the path; "{id}" stands for the operation's nonce.
	Path string `yaml:"path"`
	// Keyed gives each operation an idempotency key.
	Keyed bool `yaml:"keyed"`
	// MeanBodyBytes is the mean size of the body; sizes are uniform from zero to
	// twice as much.
	MeanBodyBytes int `yaml:"body_bytes"`
	// ResponseBytes is the size of the answer.
	ResponseBytes int `yaml:"answer_bytes"`
	// Host is the name that callers use, if it is not the mix's.
	Host string `yaml:"host"`
	// Ingresses are the addresses, "IP:port", that the class is sent to, if
	// they are not the load's.
	Ingresses []string `yaml:"ingresses"`
	// Baseline names the class that this one is compared with. Empty means
	// none.
	Baseline string `yaml:"baseline"`
	// Crash makes each operation crash the target that runs it.
	Crash bool `yaml:"crash"`
}

// Mix is the operations of an organisation.
type Mix struct {
	// Host is the name that callers use.
	Host string `yaml:"host"`
	// Classes are the kinds of operation.
	Classes []Class `yaml:"classes"`
}

// mixes are the ready mixes by the organisation's name.
var mixes = map[string]Mix{
	"kodumala": {
		Host: "kodumala.example",
		Classes: []Class{
			{Name: "register-viewing", Weight: 45, Method: "GET", Path: "/register-viewing/climbs/{id}", ResponseBytes: 2048},
			{Name: "archive", Weight: 20, Method: "GET", Path: "/archive/registers/{id}", ResponseBytes: 16384},
			{Name: "entry-filing", Weight: 20, Method: "POST", Path: "/entry-filing/entries", Keyed: true, MeanBodyBytes: 600, ResponseBytes: 256},
			{Name: "certification", Weight: 15, Method: "POST", Path: "/certification/certificates", Keyed: true, MeanBodyBytes: 200, ResponseBytes: 512},
		},
	},
	"flavour-trials": {
		Host: "flavour-trials.example",
		Classes: []Class{
			{Name: "recipes", Weight: 40, Method: "GET", Path: "/recipes/cards/{id}", ResponseBytes: 4096},
			{Name: "labels", Weight: 25, Method: "GET", Path: "/labels/allergens/{id}", ResponseBytes: 1024},
			{Name: "batches", Weight: 15, Method: "POST", Path: "/batches/bookings", Keyed: true, MeanBodyBytes: 300, ResponseBytes: 256},
			{Name: "panels", Weight: 20, Method: "POST", Path: "/panels/scores", Keyed: true, MeanBodyBytes: 150, ResponseBytes: 128},
		},
	},
}

// PredefinedMix returns the ready mix of an organisation.
func PredefinedMix(organisation string) (Mix, error) {
	mix, ok := mixes[organisation]
	if !ok {
		return Mix{}, errors.Errorf("no ready mix for organisation %q", organisation)
	}
	return mix, nil
}

// ReadMix reads a mix from a YAML file.
func ReadMix(path string) (Mix, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Mix{}, errors.Wrap(err, "read mix")
	}
	var mix Mix
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&mix); err != nil {
		return Mix{}, errors.Wrapf(err, "parse mix %s", path)
	}
	return mix, errors.Wrapf(mix.check(), "mix %s", path)
}

func (m *Mix) check() error {
	if m.Host == "" || len(m.Classes) == 0 {
		return errors.New("host and classes are required")
	}
	for _, class := range m.Classes {
		if class.Name == "" || class.Weight <= 0 || class.Method == "" || class.Path == "" {
			return errors.Errorf("class %q: name, weight, method and path are required", class.Name)
		}
		if class.MeanBodyBytes < 0 || class.ResponseBytes < 0 {
			return errors.Errorf("class %q: sizes are not negative", class.Name)
		}
	}
	return nil
}

// pick returns the class at a point from 0 to 1 of the weights.
func (m *Mix) pick(point float64) *Class {
	var total float64
	for i := range m.Classes {
		total += m.Classes[i].Weight
	}
	point *= total
	for i := range m.Classes {
		point -= m.Classes[i].Weight
		if point < 0 {
			return &m.Classes[i]
		}
	}
	return &m.Classes[len(m.Classes)-1]
}
