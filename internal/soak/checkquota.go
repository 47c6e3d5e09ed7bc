package soak

import (
	"net/http"
	"slices"
	"time"
)

// quotaWindow, quotaFactor and quotaSlack bound the requests of an organisation that reach
// targets: in no window more than quotaFactor times what its quota allows in that time, and
// quotaSlack. The users of the platform set them.
const (
	quotaWindow = 5 * time.Second
	quotaFactor = 1.1
	quotaSlack  = 20
)

// maxRunsInWindow returns how many requests of limitedOrganisation may reach targets in a window.
func maxRunsInWindow() float64 {
	return (limitedRate*quotaWindow.Seconds()+limitedBurst)*quotaFactor + quotaSlack
}

// beyondQuota reports whether the request was refused for a quota that its organisation has.
func (c *CallerRecord) beyondQuota() bool {
	return c.Status == http.StatusTooManyRequests && c.Organisation == limitedOrganisation
}

// checkQuota checks that no more requests of limitedOrganisation reached all targets together
// than its quota allows, in any sliding window. It lists the fullest window.
func (r *Result) checkQuota(runs []RunRecord) {
	var starts []int64
	for i := range runs {
		if slices.Contains(runs[i].Organisations, limitedOrganisation) {
			starts = append(starts, runs[i].StartMillis)
		}
	}
	slices.Sort(starts)
	most, first := 0, 0
	for last := range starts {
		for starts[last]-starts[first] >= quotaWindow.Milliseconds() {
			first++
		}
		most = max(most, last-first+1)
	}
	if float64(most) > maxRunsInWindow() {
		r.addViolation("quota: %d requests of %s reached targets in %v, %.1f allowed", most, limitedOrganisation, quotaWindow, maxRunsInWindow())
	}
}
