// Package fence decides whether a previous owner of a partition may have run the
// operation of an idempotency key, for a new owner that didn't receive its claims.
//
// A key that is a UUIDv7 contains the wall-clock time at which its caller created
// it and is called dated. Any other key is undated. An owner refuses dated keys
// whose time is ahead of its own wall clock by more than the maximum clock skew.
// A successor's clock may differ by the same amount, so no previous owner has
// run a dated key whose time is later than the end of its lease, by the
// successor's clock, plus twice the maximum skew.
package fence

import (
	"time"

	"github.com/google/uuid"
)

const (
	uuidLength         = 36
	uuidVersion7       = 7
	bitsBelowTimestamp = 16
)

// KeyTime returns the creation time in a UUIDv7 key, with millisecond precision.
// It reports false for an undated key, and for a UUIDv7 that is not in the
// canonical form of 36 characters.
func KeyTime(key string) (time.Time, bool) {
	if len(key) != uuidLength {
		return time.Time{}, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersion7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var bits uint64
	for _, b := range id[:8] {
		bits = bits<<8 | uint64(b)
	}
	return time.UnixMilli(int64(bits >> bitsBelowTimestamp)), true
}

// Fence blocks the keys whose operations a previous owner may have run. The zero
// value blocks none, for a partition without a previous owner.
type Fence struct {
	// DatedUntil is the latest time of a dated key that a previous owner may have
	// run.
	DatedUntil time.Time
	// UndatedUntil is the wall-clock time until which callers may resend undated
	// keys that a previous owner ran.
	UndatedUntil time.Time
}

// ForSuccessor returns the fence of an owner that doesn't have the claims of the
// previous owners. leaseEnd is a time, by the new owner's wall clock, from
// which on none of them held a lease. maxSkew bounds the difference between the
// wall clocks of two nodes. resendWindow is the time for which callers may
// resend a key.
func ForSuccessor(leaseEnd time.Time, maxSkew, resendWindow time.Duration) Fence {
	return Fence{
		DatedUntil:   leaseEnd.Add(2 * maxSkew),
		UndatedUntil: leaseEnd.Add(resendWindow + 2*maxSkew),
	}
}

// BlocksDated reports whether a previous owner may have run a dated key with this
// time.
func (f Fence) BlocksDated(keyTime time.Time) bool {
	return !f.DatedUntil.IsZero() && !keyTime.After(f.DatedUntil)
}

// BlocksUndated reports whether an undated key that is received at the wall-clock
// time now may have been run by a previous owner.
func (f Fence) BlocksUndated(now time.Time) bool {
	return !f.UndatedUntil.IsZero() && !now.After(f.UndatedUntil)
}
