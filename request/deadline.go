package request

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// HopMargin is taken off the time left before a request is sent on, so
	// that the receiving hop gives up before the sending one.
	HopMargin = time.Millisecond
	// MaxTimeout is the longest timeout that a caller may ask for.
	MaxTimeout = 10 * time.Minute
	// maxTimeoutDigits bounds the header's length, ahead of its parsing.
	maxTimeoutDigits = 9
)

// ErrTimeout is the cause of every error of a bad timeout header.
var ErrTimeout = errors.New("timeout is not a whole number of milliseconds between 1 and 600000")

// Deadline is the moment after which nobody waits for a request's answer.
type Deadline struct {
	at time.Time
}

// ParseTimeout reads the value of HeaderTimeout.
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

// FormatTimeout returns the time left as the value of HeaderTimeout. Parts of
// a millisecond are cut off, so that the next hop never gets more.
func FormatTimeout(left time.Duration) string {
	return strconv.FormatInt(max(left, 0).Milliseconds(), 10)
}

// NewDeadline returns the deadline of a request that came in at now. An empty
// header stands for the route's timeout; a longer one is cut to it. A route
// timeout of zero or less stands for MaxTimeout.
func NewDeadline(now time.Time, header string, route time.Duration) (Deadline, error) {
	if route <= 0 || route > MaxTimeout {
		route = MaxTimeout
	}
	if header == "" {
		return Deadline{at: now.Add(route)}, nil
	}
	asked, err := ParseTimeout(header)
	if err != nil {
		return Deadline{}, err
	}
	return Deadline{at: now.Add(min(asked, route))}, nil
}

// Time returns the moment of the deadline.
func (d Deadline) Time() time.Time { return d.at }

// Remaining returns the time left at now, never less than zero.
func (d Deadline) Remaining(now time.Time) time.Duration {
	return max(d.at.Sub(now), 0)
}

// Expired reports whether nobody waits any more at now.
func (d Deadline) Expired(now time.Time) bool {
	return !now.Before(d.at)
}

// NextHop returns the value of HeaderTimeout for the next hop: the time left
// less HopMargin. It returns false if less than a millisecond would be left,
// in which case the request must not be sent on.
func (d Deadline) NextHop(now time.Time) (string, bool) {
	left := d.Remaining(now) - HopMargin
	if left < time.Millisecond {
		return "", false
	}
	return FormatTimeout(left), true
}
