// Package fence decides by the time in a key whether a former owner may have
// run it.
//
// A UUIDv7 key carries the wall-clock time at which its caller made it; the
// key is dated. Any other key is undated. An owner runs dated keys up to its
// wall clock plus the skew, so a successor knows by the time alone that no
// predecessor ran a key past the end of its lease plus twice the skew.
package fence

import (
	"time"

	"github.com/google/uuid"
)

const (
	uuidLength  = 36
	datedUUID   = 7
	bitsBelowMS = 16
)

// KeyTime returns the time in a UUIDv7 key, in whole milliseconds. It reports
// false for an undated key.
func KeyTime(key string) (time.Time, bool) {
	if len(key) != uuidLength {
		return time.Time{}, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != datedUUID || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var bits uint64
	for _, b := range id[:8] {
		bits = bits<<8 | uint64(b)
	}
	return time.UnixMilli(int64(bits >> bitsBelowMS)), true
}

// Fence tells which keys a former owner may have run. The zero value says
// that there was no former owner.
type Fence struct {
	// DatedUntil is the last key time that a former owner may have run.
	DatedUntil time.Time
	// UndatedUntil is the wall-clock time until which undated keys that a former
	// owner ran may be sent again.
	UndatedUntil time.Time
}

// ForSuccessor returns the fence of an owner that doesn't know what its predecessors
// ran. By its own wall clock, none of them had a lease at ended or later.
func ForSuccessor(ended time.Time, skew, resendWindow time.Duration) Fence {
	return Fence{
		DatedUntil:   ended.Add(2 * skew),
		UndatedUntil: ended.Add(resendWindow + 2*skew),
	}
}

// BlocksDated reports whether a former owner may have run a key of that time.
func (f Fence) BlocksDated(keyTime time.Time) bool {
	return !f.DatedUntil.IsZero() && !keyTime.After(f.DatedUntil)
}

// BlocksUndated reports whether, at the wall-clock time now, an undated key may
// be one that a former owner ran.
func (f Fence) BlocksUndated(now time.Time) bool {
	return !f.UndatedUntil.IsZero() && !now.After(f.UndatedUntil)
}
