// Package timing holds the clock readings and the durations on which leases,
// witnesses and key times are judged.
package timing

import (
	"time"

	"github.com/pkg/errors"
)

// ClockReading is one reading of both clocks of a process.
type ClockReading struct {
	// Monotonic is the time since an arbitrary point in the life of the process.
	// It never goes back and also counts while the process is stopped.
	Monotonic time.Duration
	// Wall is the wall-clock time.
	Wall time.Time
}

// Defaults of Settings.
const (
	DefaultLeaseTerm          = 2 * time.Second
	DefaultDriftMarginPercent = 10
	DefaultMaxClockSkew       = 250 * time.Millisecond
	DefaultResendWindow       = 10 * time.Minute
)

// Settings are the durations that all nodes of a deployment must share.
type Settings struct {
	// LeaseTerm is how long a witness waits after its last acknowledgement before
	// it acknowledges a higher tenure.
	LeaseTerm time.Duration
	// DriftMarginPercent is the part of the term, in percent, that an owner gives
	// up to allow for clocks that run at different speeds.
	DriftMarginPercent int
	// MaxClockSkew bounds the difference between the wall clocks of any two nodes.
	MaxClockSkew time.Duration
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{LeaseTerm: DefaultLeaseTerm, DriftMarginPercent: DefaultDriftMarginPercent, MaxClockSkew: DefaultMaxClockSkew}
}

// Validate reports settings under which leases can't work.
func (s Settings) Validate() error {
	if s.LeaseTerm <= 0 {
		return errors.Errorf("check lease settings: term %v is not positive", s.LeaseTerm)
	}
	if s.DriftMarginPercent < 1 || s.DriftMarginPercent > 50 {
		return errors.Errorf("check lease settings: margin of %d%% is outside 1..50%%", s.DriftMarginPercent)
	}
	if s.MaxClockSkew < 0 {
		return errors.Errorf("check lease settings: skew %v is negative", s.MaxClockSkew)
	}
	return nil
}

// LeaseDuration is how long an acknowledged beat counts from the moment it was sent.
func (s Settings) LeaseDuration() time.Duration {
	return s.LeaseTerm * time.Duration(100-s.DriftMarginPercent) / 100
}

// HeartbeatInterval is the time between two beats of an owner.
func (s Settings) HeartbeatInterval() time.Duration {
	return s.LeaseTerm / 3
}
