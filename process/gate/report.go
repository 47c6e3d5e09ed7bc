package gate

import "time"

// Report is what a target says of itself.
type Report struct {
	// Instance names one life of the target process.
	Instance string
	// Service names the service that the target belongs to.
	Service string
	// Address is where the target takes requests, "IP:port".
	Address string
	// DataCentre is where the target runs.
	DataCentre string
	// Release is the version of the target's software.
	Release string
	// Slots is how many requests the target runs at once.
	Slots int
	// Draining tells that the target shuts down soon.
	Draining bool
	// ColdFor is how much longer the target is cold.
	ColdFor time.Duration
	// Sequence grows with each report of one life.
	Sequence int64
	// StartedMillis is when the life began, in Unix milliseconds. Zero means that it is
	// not told.
	StartedMillis int64
}

// supersedes reports whether r supersedes the older report: a later life does, and
// within a life a later report.
func (r *Report) supersedes(old *Report) bool {
	if r.StartedMillis != old.StartedMillis {
		return r.StartedMillis > old.StartedMillis
	}
	if r.Instance != old.Instance {
		return true
	}
	return r.Sequence > old.Sequence
}
