package fleet

import "time"

// Status is what a node tells the others of itself. It travels as a CBOR array,
// so fields are only ever added at the end.
type Status struct {
	// Node names the node.
	Node string
	// Incarnation names the life of the node's process.
	Incarnation uint64
	// Sequence grows with each status of one life.
	Sequence uint64
	// DataCentre is where the node runs.
	DataCentre string
	// HopAddress is where the node takes requests for its target, "IP:port".
	HopAddress string
	// Stopping tells that the node shuts down soon.
	Stopping bool
	// Service and Instance name the target. Empty means that there is none.
	Service  string
	Instance string
	// Slots is how many requests may run at the target at once.
	Slots int
	// Running and Waiting count requests at the target and in its queue.
	Running int
	Waiting int
	// Slowdown is how long work takes at the target now, in percent of usual.
	Slowdown int
	// Accepting tells that the target takes requests.
	Accepting bool
	// ColdRemainingMillis is how much longer the target is cold.
	ColdRemainingMillis int
	// ConfigNumber is the number of the configuration in force, or zero.
	ConfigNumber uint64
	// OutRevision is the platform's revision as of which Out holds.
	OutRevision uint64
	// DataCentresOut names the data centres that are out of service.
	DataCentresOut []string
	// EchoMillis is how long ago the node heard from the receiver. Negative means
	// not yet.
	EchoMillis int
	// ReachesStore tells that the node's latest call to the platform's store
	// succeeded.
	ReachesStore bool
	// SlowWhenFull tells that the target was seen to slow down when nearly full.
	SlowWhenFull bool
	// FailurePercent is the share of the target's runs that fail.
	FailurePercent int
}

// ColdRemaining returns how much longer the target is cold.
func (s *Status) ColdRemaining() time.Duration {
	return time.Duration(s.ColdRemainingMillis) * time.Millisecond
}

// Heartbeat is what a node tells between two statuses: that it lives, and its load.
type Heartbeat struct {
	// Incarnation names the life of the node's process, and so the node.
	Incarnation uint64
	// Sequence is counted on with that of the statuses.
	Sequence uint64
	// Running, Waiting and Speed are as in Status.
	Running  int
	Waiting  int
	Slowdown int
	// EchoMillis is as in Status.
	EchoMillis int
	// FailurePercent is as in Status.
	FailurePercent int
}
