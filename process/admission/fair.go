package admission

import (
	"time"

	"verbenatrestle/request"
)

const (
	// wantLife is how long after its latest refusal for lack of room a caller
	// below its share has a free slot kept.
	wantLife = 10 * time.Millisecond
	// maxAccounts is how many callers are counted before idle ones are forgotten.
	maxAccounts = 256
)

// shares divides a full target between its callers by weight.
type shares struct {
	weights  map[request.ShareKey]float64
	accounts map[request.ShareKey]*account
	// wanting is the latest time until which any caller wants a slot.
	wanting time.Time
}

// account is what one caller runs and wants.
type account struct {
	inFlight int
	// until is when the caller stops wanting a slot.
	until time.Time
}

func newShares() shares {
	return shares{accounts: make(map[request.ShareKey]*account)}
}

// weight returns a caller's weight, which is 1 unless it is set.
func (s *shares) weight(key request.ShareKey) float64 {
	if w := s.weights[key]; w > 0 {
		return w
	}
	return 1
}

func (s *shares) account(key request.ShareKey, now time.Time) *account {
	a := s.accounts[key]
	if a != nil {
		return a
	}
	if len(s.accounts) >= maxAccounts {
		s.forget(now)
	}
	a = &account{}
	s.accounts[key] = a
	return a
}

// forget drops callers that run and want nothing.
func (s *shares) forget(now time.Time) {
	for key, a := range s.accounts {
		if a.inFlight == 0 && !now.Before(a.until) {
			delete(s.accounts, key)
		}
	}
}

// active reports whether a caller has or wants slots.
func (a *account) active(now time.Time) bool {
	return a.inFlight > 0 || now.Before(a.until)
}

// unit returns how many slots go to each unit of weight among the callers
// that are active, the asking one included.
func (s *shares) unit(asking request.ShareKey, limit int, now time.Time) float64 {
	sum := 0.0
	for key, a := range s.accounts {
		if key == asking || a.active(now) {
			sum += s.weight(key)
		}
	}
	return float64(limit) / sum
}

// allows reports whether a caller may take one of the free slots.
func (s *shares) allows(key request.ShareKey, free, limit int, now time.Time) bool {
	if !now.Before(s.wanting) {
		return true
	}
	own := s.account(key, now)
	unit := s.unit(key, limit, now)
	if float64(own.inFlight+1) <= unit*s.weight(key) {
		return true
	}
	return free > s.kept(key, unit, now)
}

// kept returns how many free slots are kept for callers other than key: one
// for each that wants a slot and runs less than its share.
func (s *shares) kept(key request.ShareKey, unit float64, now time.Time) int {
	kept := 0
	for other, a := range s.accounts {
		wants := other != key && now.Before(a.until)
		if wants && float64(a.inFlight+1) <= unit*s.weight(other) {
			kept++
		}
	}
	return kept
}

// want notes that a caller was refused for lack of room.
func (s *shares) want(key request.ShareKey, now time.Time) {
	a := s.account(key, now)
	a.until = now.Add(wantLife)
	if s.wanting.Before(a.until) {
		s.wanting = a.until
	}
}

func (s *shares) begin(key request.ShareKey, now time.Time) {
	s.account(key, now).inFlight++
}

func (s *shares) end(key request.ShareKey) {
	s.accounts[key].inFlight--
}
