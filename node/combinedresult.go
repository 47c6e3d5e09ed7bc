package node

import (
	"verbenatrestle/request"
)

// combinedResult combines the ends of a request's attempts. Once one attempt may have
// been run, the refusal of a later one no longer proves that the request was
// not run.
type combinedResult struct {
	last       result
	mayHaveRun bool
}

// add takes in the end of one more attempt and returns the request's end as
// far as it is known.
func (s *combinedResult) add(res result) result {
	switch {
	case res.response != nil:
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
