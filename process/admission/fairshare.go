package admission

import (
	"time"

	"verbenatrestle/request"
)

const (
	// reservationTTL is how long a free slot stays reserved after the latest
	// refusal of a caller below its share.
	reservationTTL = 10 * time.Millisecond
	// maxCallers is the number of callers from which on idle ones are evicted.
	maxCallers = 256
)

// fairShares divides the slots of a full target between its callers by weight.
type fairShares struct {
	weights map[request.ShareKey]float64
	callers map[request.ShareKey]*callerState
	// reservedUntil is the latest end of the reservations of all callers.
	reservedUntil time.Time
}

// callerState holds the requests in flight and the reservation of one caller.
type callerState struct {
	inFlight int
	// reservedUntil is when the reservation of the caller ends.
	reservedUntil time.Time
}

func newFairShares() fairShares {
	return fairShares{callers: make(map[request.ShareKey]*callerState)}
}

// weight returns the weight of a caller, which is 1 unless it is configured.
func (s *fairShares) weight(key request.ShareKey) float64 {
	if w := s.weights[key]; w > 0 {
		return w
	}
	return 1
}

// caller returns the state of a caller and creates it if there is none.
func (s *fairShares) caller(key request.ShareKey, now time.Time) *callerState {
	state := s.callers[key]
	if state != nil {
		return state
	}
	if len(s.callers) >= maxCallers {
		s.evictIdle(now)
	}
	state = &callerState{}
	s.callers[key] = state
	return state
}

// evictIdle removes the callers without requests in flight and without a
// reservation.
func (s *fairShares) evictIdle(now time.Time) {
	for key, state := range s.callers {
		if state.inFlight == 0 && !now.Before(state.reservedUntil) {
			delete(s.callers, key)
		}
	}
}

// active reports whether a caller has requests in flight or a reservation.
func (s *callerState) active(now time.Time) bool {
	return s.inFlight > 0 || now.Before(s.reservedUntil)
}

// slotsPerWeight returns the number of slots per unit of weight if the limit
// is divided between the active callers and the requesting one.
func (s *fairShares) slotsPerWeight(requesting request.ShareKey, limit int, now time.Time) float64 {
	sum := 0.0
	for key, state := range s.callers {
		if key == requesting || state.active(now) {
			sum += s.weight(key)
		}
	}
	return float64(limit) / sum
}

// allows reports whether a caller may use one of the free slots. A caller
// above its share may only use slots that aren't reserved for others.
func (s *fairShares) allows(key request.ShareKey, free, limit int, now time.Time) bool {
	if !now.Before(s.reservedUntil) {
		return true
	}
	own := s.caller(key, now)
	perWeight := s.slotsPerWeight(key, limit, now)
	if float64(own.inFlight+1) <= perWeight*s.weight(key) {
		return true
	}
	return free > s.reserved(key, perWeight, now)
}

// reserved returns how many free slots are reserved for callers other than
// key: one for each that has a reservation and is below its share.
func (s *fairShares) reserved(key request.ShareKey, perWeight float64, now time.Time) int {
	reserved := 0
	for other, state := range s.callers {
		hasReservation := other != key && now.Before(state.reservedUntil)
		if hasReservation && float64(state.inFlight+1) <= perWeight*s.weight(other) {
			reserved++
		}
	}
	return reserved
}

// reserve reserves a slot for a caller that was refused because the target is
// full or because the free slots were reserved for others. The reservation
// only counts while the caller is below its share.
func (s *fairShares) reserve(key request.ShareKey, now time.Time) {
	state := s.caller(key, now)
	state.reservedUntil = now.Add(reservationTTL)
	if s.reservedUntil.Before(state.reservedUntil) {
		s.reservedUntil = state.reservedUntil
	}
}

func (s *fairShares) begin(key request.ShareKey, now time.Time) {
	s.caller(key, now).inFlight++
}

func (s *fairShares) end(key request.ShareKey) {
	s.callers[key].inFlight--
}
