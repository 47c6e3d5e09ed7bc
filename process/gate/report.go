package gate

import "time"

// Report is a status report of a target.
type Report struct {
	// Instance is the id under which a process of the target reports. A later
	// process may have the same one.
	Instance string
	// Service names the service that the target belongs to.
	Service string
	// Address is where the target takes requests, "IP:port".
	Address string
	// DataCentre is where the target runs.
	DataCentre string
	// Release is the version of the target's software.
	Release string
	// Slots is how many requests the target can run at once.
	Slots int
	// Draining is set when the target shuts down soon.
	Draining bool
	// ColdRemaining is how much longer the target is cold.
	ColdRemaining time.Duration
	// Sequence grows with each report of one process of the target.
	Sequence int64
	// StartedMillis is when the target's process started, in Unix milliseconds, or
	// zero if it is unknown.
	StartedMillis int64
}

// Supersedes reports whether r replaces the old report. A report of a process
// that started later does; within one process the higher sequence does.
func (r *Report) Supersedes(old *Report) bool {
	if r.StartedMillis != old.StartedMillis {
		return r.StartedMillis > old.StartedMillis
	}
	if r.Instance != old.Instance {
		return true
	}
	return r.Sequence > old.Sequence
}
