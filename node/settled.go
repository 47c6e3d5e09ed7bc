package node

import (
	"context"
	"time"

	"verbenatrestle/request"
)

// settled combines the ends of a request's attempts. Once one attempt may have
// been run, the refusal of a later one no longer proves that the request was
// not run.
type settled struct {
	last       result
	mayHaveRun bool
}

// add takes in the end of one more attempt and returns the request's end as
// far as it is known.
func (s *settled) add(res result) result {
	switch {
	case res.answer != nil:
		s.mayHaveRun = true
	case res.failure.Outcome != request.NotRun:
		s.mayHaveRun = true
	case s.mayHaveRun:
		f := *res.failure
		f.Outcome = request.Unknown
		res.failure = &f
	}
	s.last = res
	return res
}

// pause waits for d. It returns false when the context ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
