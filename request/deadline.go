package request

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// HopMargin is subtracted from the remaining time before a request is
	// forwarded, so that the receiving hop times out before the sending one.
	HopMargin = time.Millisecond
	// MaxTimeout is the longest timeout that a caller may request.
	MaxTimeout = 10 * time.Minute
	// maxTimeoutDigits bounds the length of the header before it is parsed.
	maxTimeoutDigits = 9
)

// ErrTimeout is the cause of every error about an invalid timeout header.
var ErrTimeout = errors.New("timeout is not a whole number of milliseconds between 1 and 600000")

// Deadline is the time after which the caller no longer waits for the answer to
// a request.
type Deadline struct {
	at time.Time
}

// ParseTimeout parses the value of HeaderTimeout. It returns ErrTimeout as the
// cause if the value is not a whole number of milliseconds from 1 to MaxTimeout.
func ParseTimeout(header string) (time.Duration, error) {
	if header == "" || len(header) > maxTimeoutDigits {
		return 0, errors.Wrapf(ErrTimeout, "parse header %s", HeaderTimeout)
	}
	millis, err := strconv.ParseUint(header, 10, 32)
	if err != nil {
		return 0, errors.Wrapf(ErrTimeout, "parse header %s", HeaderTimeout)
	}
	timeout := time.Duration(millis) * time.Millisecond
	if timeout < time.Millisecond || timeout > MaxTimeout {
		return 0, errors.Wrapf(ErrTimeout, "parse header %s", HeaderTimeout)
	}
	return timeout, nil
}

// FormatTimeout formats the remaining time as a value of HeaderTimeout. It
// rounds down to whole milliseconds, so that the next hop never gets more time
// than remains.
func FormatTimeout(remaining time.Duration) string {
	return strconv.FormatInt(max(remaining, 0).Milliseconds(), 10)
}

// NewDeadline returns the deadline of a request that was received at now. The
// timeout is the value of HeaderTimeout, but at most the timeout of the route,
// which also applies if the header is empty. A route timeout that is zero,
// negative or longer than MaxTimeout means MaxTimeout. The error is that of
// ParseTimeout.
func NewDeadline(now time.Time, header string, routeTimeout time.Duration) (Deadline, error) {
	if routeTimeout <= 0 || routeTimeout > MaxTimeout {
		routeTimeout = MaxTimeout
	}
	if header == "" {
		return Deadline{at: now.Add(routeTimeout)}, nil
	}
	requested, err := ParseTimeout(header)
	if err != nil {
		return Deadline{}, err
	}
	return Deadline{at: now.Add(min(requested, routeTimeout))}, nil
}

// Time returns the deadline as a time.
func (d Deadline) Time() time.Time { return d.at }

// Remaining returns the time from now to the deadline, or 0 if it has passed.
func (d Deadline) Remaining(now time.Time) time.Duration {
	return max(d.at.Sub(now), 0)
}

// Expired reports whether the deadline has passed.
func (d Deadline) Expired(now time.Time) bool {
	return !now.Before(d.at)
}

// NextHop returns the value of HeaderTimeout for the next hop: the remaining
// time less HopMargin. It returns false if that is less than a millisecond, in
// which case the request must not be forwarded.
func (d Deadline) NextHop(now time.Time) (string, bool) {
	remaining := d.Remaining(now) - HopMargin
	if remaining < time.Millisecond {
		return "", false
	}
	return FormatTimeout(remaining), true
}
