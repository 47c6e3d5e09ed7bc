// Package timing defines the clock readings and the durations that leases,
// witnesses and fences use.
package timing

import (
	"time"

	"github.com/pkg/errors"
)

// ClockReading is a reading of both clocks of a process.
type ClockReading struct {
	// Monotonic is the time since an arbitrary moment. It never goes back, and also
	// advances while the process is stopped or the machine is suspended. Readings
	// of different processes must not be compared.
	Monotonic time.Duration
	// Wall is the wall-clock time.
	Wall time.Time
}

// Defaults of Settings and of the resend window of a service.
const (
	DefaultLeaseTerm          = 2 * time.Second
	DefaultDriftMarginPercent = 10
	DefaultMaxClockSkew       = 250 * time.Millisecond
	DefaultResendWindow       = 10 * time.Minute
)

// Settings are the settings that must be the same on all nodes of a deployment.
type Settings struct {
	// LeaseTerm is how long a witness waits after its last acknowledgement before
	// it acknowledges a higher tenure, unless the owner released its tenure.
	LeaseTerm time.Duration
	// DriftMarginPercent is how much shorter than the lease term the lease duration
	// is, in percent, to allow for clocks that run at different rates.
	DriftMarginPercent int
	// MaxClockSkew bounds the difference between the wall clocks of any two nodes.
	MaxClockSkew time.Duration
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{LeaseTerm: DefaultLeaseTerm, DriftMarginPercent: DefaultDriftMarginPercent, MaxClockSkew: DefaultMaxClockSkew}
}

// Validate returns an error if a setting is out of range.
func (s Settings) Validate() error {
	if s.LeaseTerm <= 0 {
		return errors.Errorf("check lease settings: lease term %v is not positive", s.LeaseTerm)
	}
	if s.DriftMarginPercent < 1 || s.DriftMarginPercent > 50 {
		return errors.Errorf("check lease settings: drift margin of %d%% is outside 1..50%%", s.DriftMarginPercent)
	}
	if s.MaxClockSkew < 0 {
		return errors.Errorf("check lease settings: maximum clock skew %v is negative", s.MaxClockSkew)
	}
	return nil
}

// LeaseDuration returns how long an acknowledged heartbeat extends the owner's
// lease, counted from the time at which it was sent.
func (s Settings) LeaseDuration() time.Duration {
	return s.LeaseTerm * time.Duration(100-s.DriftMarginPercent) / 100
}

// HeartbeatInterval returns the time between two heartbeats of an owner.
func (s Settings) HeartbeatInterval() time.Duration {
	return s.LeaseTerm / 3
}
