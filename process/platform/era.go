package platform

import (
	"sync"

	"github.com/pkg/errors"
)

// Era numbers the histories of the store. It rises when the store comes back from an
// older copy: what was written since the copy is gone, and the store gives the
// revisions since then out again. Zero means that the store does not state its era.
type Era uint64

const (
	// eraShift is the number of bits of a revision in a version.
	eraShift = 48
	// MaxEra and MaxRevision are the highest era and revision that a version can hold.
	MaxEra      = Era(1<<(64-eraShift) - 1)
	MaxRevision = uint64(1<<eraShift - 1)
)

// NewVersion returns the version that an object has by a write at a revision of an era.
// Versions are ordered by era, then by revision, so a later write has a higher version
// also if the store went back in between.
func NewVersion(era Era, revision uint64) uint64 { return uint64(era)<<eraShift | revision }

// VersionEra returns the era of a version.
func VersionEra(version uint64) Era { return Era(version >> eraShift) }

// VersionRevision returns the revision of a version.
func VersionRevision(version uint64) uint64 { return version & MaxRevision }

var (
	// errLateResponse means that a response states a lower era than an earlier one.
	errLateResponse = errors.New("response of an earlier era of the store")
	// errUnconfirmedEra means that a response states an era that is higher than the
	// known one by more than one. It counts when another response confirms it.
	errUnconfirmedEra = errors.New("unconfirmed era of the store")
	// errEraRose means that the store went back while a write was in flight, so that
	// the state that it was meant for may be gone.
	errEraRose = errors.New("the store went back during the call")
)

// eraTracker follows the era of the store by its responses. It is safe for concurrent
// use.
type eraTracker struct {
	mu      sync.Mutex
	current Era
	// candidate is a higher era that one response has stated.
	candidate Era
}

// known returns the highest era that counts, or zero if no response stated one.
func (t *eraTracker) known() Era {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// observe takes the era that a response stated, or zero if it stated none. sent is what
// known returned when the call was made. It returns the era as of which the response
// holds, and the known era before it, which is lower if the response raised it. The
// error is errLateResponse or errUnconfirmedEra if the response must not be used.
func (t *eraTracker) observe(stated, sent Era) (era, before Era, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if stated == 0 {
		stated = sent
	}
	before = t.current
	switch {
	case stated < before:
		return stated, before, errLateResponse
	case before > 0 && stated > before+1 && stated != t.candidate:
		t.candidate = stated
		return stated, before, errUnconfirmedEra
	case stated > before:
		t.current, t.candidate = stated, 0
	}
	return stated, before, nil
}
