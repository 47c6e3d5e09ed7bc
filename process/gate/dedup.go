package gate

import "time"

// maxSeenRequests bounds the requests that a gate remembers. At a hundred
// non-idempotent requests a second, with a window of 15 s, a gate remembers a few
// thousand.
const maxSeenRequests = 1 << 16

// seenRequests remembers the non-idempotent requests that were admitted or wait, and
// those that were fenced. It forgets none of them early: when it is full, it refuses.
type seenRequests struct {
	window time.Duration
	byID   map[string]seenRequest
}

// seenRequest is a request that runs or waits, has run, or was fenced.
type seenRequest struct {
	// active is set while the request waits or runs.
	active bool
	fenced bool
	// forgetAt is when the request may be forgotten, unless it is active.
	forgetAt time.Time
}

func newSeenRequests(window time.Duration) seenRequests {
	return seenRequests{window: window, byID: make(map[string]seenRequest)}
}

// precheck returns the reason to refuse a non-idempotent request, or an empty Refusal.
func (s *seenRequests) precheck(id string) (Refusal, time.Duration) {
	old, ok := s.byID[id]
	switch {
	case ok && old.fenced:
		return RefusedFenced, 0
	case ok:
		return RefusedDuplicate, 0
	case len(s.byID) >= maxSeenRequests:
		return RefusedDedupFull, downRetryAfter
	}
	return "", 0
}

// fenced reports whether a request was fenced.
func (s *seenRequests) fenced(id string) bool { return s.byID[id].fenced }

// begin remembers a request that was admitted or begins to wait.
func (s *seenRequests) begin(id string) { s.byID[id] = seenRequest{active: true} }

// end records that a request reached the target and ended. Its sender may ask for it
// until some time after the deadline.
func (s *seenRequests) end(id string, deadline, now time.Time) {
	last := now
	if deadline.After(last) {
		last = deadline
	}
	s.byID[id] = seenRequest{forgetAt: last.Add(s.window)}
}

// remove forgets a request that was not sent to the target.
func (s *seenRequests) remove(id string) { delete(s.byID, id) }

// fence remembers a request as fenced for the window. It returns false if the request
// was seen otherwise, or if there is no room.
func (s *seenRequests) fence(id string, now time.Time) bool {
	old, ok := s.byID[id]
	if ok && !old.fenced || !ok && len(s.byID) >= maxSeenRequests {
		return false
	}
	s.byID[id] = seenRequest{fenced: true, forgetAt: now.Add(s.window)}
	return true
}

// expire forgets the requests whose time is over.
func (s *seenRequests) expire(now time.Time) {
	for id, r := range s.byID {
		if !r.active && !now.Before(r.forgetAt) {
			delete(s.byID, id)
		}
	}
}
