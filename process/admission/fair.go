package admission

import (
	"time"

	"verbenatrestle/request"
)

const (
	// reservationTTL is how long after its latest refusal for lack of room a caller
	// below its share has a free slot kept.
	reservationTTL = 10 * time.Millisecond
	// maxCallers is how many callers are counted before idle ones are forgotten.
	maxCallers = 256
)

// fairShares divides a full target between its callers by weight.
type fairShares struct {
	weights map[request.ShareKey]float64
	callers map[request.ShareKey]*callerState
	// reservedUntil is the latest time until which any caller wants a slot.
	reservedUntil time.Time
}

// callerState is what one caller runs and wants.
type callerState struct {
	inFlight int
	// reservedUntil is when the caller stops wanting a slot.
	reservedUntil time.Time
}

func newFairShares() fairShares {
	return fairShares{callers: make(map[request.ShareKey]*callerState)}
}

// weight returns a caller's weight, which is 1 unless it is set.
func (s *fairShares) weight(key request.ShareKey) float64 {
	if w := s.weights[key]; w > 0 {
		return w
	}
	return 1
}

func (s *fairShares) caller(key request.ShareKey, now time.Time) *callerState {
	a := s.callers[key]
	if a != nil {
		return a
	}
	if len(s.callers) >= maxCallers {
		s.evictIdle(now)
	}
	a = &callerState{}
	s.callers[key] = a
	return a
}

// evictIdle drops callers that run and want nothing.
func (s *fairShares) evictIdle(now time.Time) {
	for key, a := range s.callers {
		if a.inFlight == 0 && !now.Before(a.reservedUntil) {
			delete(s.callers, key)
		}
	}
}

// active reports whether a caller has or wants slots.
func (s *callerState) active(now time.Time) bool {
	return s.inFlight > 0 || now.Before(s.reservedUntil)
}

// slotsPerWeight returns how many slots go to each unit of weight among the callers
// that are active, the asking one included.
func (s *fairShares) slotsPerWeight(asking request.ShareKey, limit int, now time.Time) float64 {
	sum := 0.0
	for key, a := range s.callers {
		if key == asking || a.active(now) {
			sum += s.weight(key)
		}
	}
	return float64(limit) / sum
}

// allows reports whether a caller may take one of the free slots.
func (s *fairShares) allows(key request.ShareKey, free, limit int, now time.Time) bool {
	if !now.Before(s.reservedUntil) {
		return true
	}
	own := s.caller(key, now)
	unit := s.slotsPerWeight(key, limit, now)
	if float64(own.inFlight+1) <= unit*s.weight(key) {
		return true
	}
	return free > s.reserved(key, unit, now)
}

// reserved returns how many free slots are kept for callers other than key: one
// for each that wants a slot and runs less than its share.
func (s *fairShares) reserved(key request.ShareKey, unit float64, now time.Time) int {
	kept := 0
	for other, a := range s.callers {
		wants := other != key && now.Before(a.reservedUntil)
		if wants && float64(a.inFlight+1) <= unit*s.weight(other) {
			kept++
		}
	}
	return kept
}

// reserve notes that a caller was refused for lack of room.
func (s *fairShares) reserve(key request.ShareKey, now time.Time) {
	a := s.caller(key, now)
	a.reservedUntil = now.Add(reservationTTL)
	if s.reservedUntil.Before(a.reservedUntil) {
		s.reservedUntil = a.reservedUntil
	}
}

func (s *fairShares) begin(key request.ShareKey, now time.Time) {
	s.caller(key, now).inFlight++
}

func (s *fairShares) end(key request.ShareKey) {
	s.callers[key].inFlight--
}
