package admission

import (
	"time"

	"verbenatrestle/process/admission/limit"
)

// startTimes holds the sum of the admission times of the requests in flight,
// so that their mean age can be computed without visiting each of them.
type startTimes struct {
	base time.Time
	sum  float64 // seconds since base
}

// add adds the admission time of a request while inFlight others are in
// flight. The sum starts again at the first one, which keeps it small.
func (s *startTimes) add(admittedAt time.Time, inFlight int) {
	if inFlight == 0 {
		s.base = admittedAt
		s.sum = 0
	}
	s.sum += admittedAt.Sub(s.base).Seconds()
}

func (s *startTimes) remove(admittedAt time.Time) {
	s.sum -= admittedAt.Sub(s.base).Seconds()
}

// meanAge returns the mean time since the admission of the requests in flight.
func (s *startTimes) meanAge(inFlight int, now time.Time) time.Duration {
	if inFlight == 0 {
		return 0
	}
	mean := now.Sub(s.base).Seconds() - s.sum/float64(inFlight)
	return max(time.Duration(mean*float64(time.Second)), 0)
}

func newObservation(ended admittedRequest, dropped bool, now time.Time) limit.Observation {
	return limit.Observation{
		Latency:  now.Sub(ended.admittedAt),
		InFlight: ended.concurrency,
		Dropped:  dropped,
	}
}
