package admission

import (
	"time"

	"verbenatrestle/process/admission/limit"
)

// startTimes is the sum of the begin times of what runs, in seconds since base.
type startTimes struct {
	base time.Time
	sum  float64
}

// add takes in a begin time beside count others.
func (s *startTimes) add(began time.Time, count int) {
	if count == 0 {
		s.base = began
		s.sum = 0
	}
	s.sum += began.Sub(s.base).Seconds()
}

func (s *startTimes) remove(began time.Time) {
	s.sum -= began.Sub(s.base).Seconds()
}

// meanAge returns how long count requests have run on average.
func (s *startTimes) meanAge(count int, now time.Time) time.Duration {
	if count == 0 {
		return 0
	}
	mean := now.Sub(s.base).Seconds() - s.sum/float64(count)
	return max(time.Duration(mean*float64(time.Second)), 0)
}

func newObservation(ended admittedRequest, dropped bool, now time.Time) limit.Observation {
	return limit.Observation{
		Latency:  now.Sub(ended.admittedAt),
		InFlight: ended.concurrency,
		Dropped:  dropped,
	}
}
