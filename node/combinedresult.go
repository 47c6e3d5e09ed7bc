package node

import (
	"verbenatrestle/request"
)

// combinedResult combines the results of a request's attempts. If one attempt may
// have run, the refusal of a later attempt no longer proves that the request was
// not run.
type combinedResult struct {
	last       result
	mayHaveRun bool
}

// add records the result of the latest attempt and returns the request's result
// so far: the latest one, whose outcome is changed from not-run to unknown if an
// earlier attempt may have run.
func (c *combinedResult) add(res result) result {
	switch {
	case res.response != nil:
		c.mayHaveRun = true
	case res.failure.Outcome != request.NotRun:
		c.mayHaveRun = true
	case c.mayHaveRun:
		f := *res.failure
		f.Outcome = request.Unknown
		res.failure = &f
	}
	c.last = res
	return res
}
