package fleet

import "time"

// Status is the full state that a node sends to its peers. It is encoded as a
// CBOR array, so new fields may only be added at the end.
type Status struct {
	// Node names the node.
	Node string
	// Incarnation identifies the run of the node's process.
	Incarnation uint64
	// Sequence grows with each status and heartbeat of an incarnation.
	Sequence uint64
	// DataCentre is where the node runs.
	DataCentre string
	// HopAddress is where the node takes requests for its target, "IP:port".
	HopAddress string
	// Stopping is set when the node shuts down soon.
	Stopping bool
	// Service and Instance name the target. Empty means that there is none.
	Service  string
	Instance string
	// Slots is how many requests may run at the target at once.
	Slots int
	// Running counts the requests in flight to the target, and Waiting those in
	// its queue.
	Running int
	Waiting int
	// Slowdown is how long work takes at the target now, in percent of the usual
	// time.
	Slowdown int
	// Accepting is set while the target takes requests.
	Accepting bool
	// ColdRemainingMillis is how much longer the target is cold.
	ColdRemainingMillis int
	// ConfigNumber is the number of the node's active configuration, or zero if it
	// has none.
	ConfigNumber uint64
	// OutRevision is the revision of the platform's store at which DataCentresOut
	// was read.
	OutRevision uint64
	// DataCentresOut names the data centres that are out of service.
	DataCentresOut []string
	// EchoMillis is the time since the node received the latest datagram or
	// response of the node that this status is sent to. It is negative if there was
	// none.
	EchoMillis int
	// ReachesStore is set if the node's latest call to the platform's store
	// succeeded.
	ReachesStore bool
	// SlowWhenFull is set if the node found that its target slows down when it is
	// nearly full.
	SlowWhenFull bool
	// FailurePercent is the share of the target's runs that fail.
	FailurePercent int
	// Wanted is set if the sender chose the receiver for heartbeats by itself.
	Wanted bool
	// Watchers relays which nodes may watch the platform's store.
	Watchers []WatcherMark
	// CountsQuotas is set if the node can be the coordinator of organisations. Nodes of
	// earlier builds can't.
	CountsQuotas bool
	// WholeSlack is set once the gate of the node has its whole part of the retry budget's
	// slack: no earlier process of the node used it within the window.
	WholeSlack bool
	// AfterWholeSlack is the incarnation of the receiver if that of its process before had
	// WholeSlack, as far as the sender knows, and zero otherwise or once it is of no use.
	AfterWholeSlack uint64
	// KnownNodes is Table.ActiveNodes of the sender. It is zero from nodes of earlier builds.
	KnownNodes int
}

// ColdRemaining returns how much longer the target is cold, as of the status.
func (s *Status) ColdRemaining() time.Duration {
	return time.Duration(s.ColdRemainingMillis) * time.Millisecond
}

// Heartbeat is the short message that a node sends between two statuses. It
// carries the load of its target.
type Heartbeat struct {
	// Incarnation identifies the run of the node's process, and by that the node.
	Incarnation uint64
	// Sequence shares one count with that of the statuses.
	Sequence uint64
	// Running, Waiting and Slowdown are as in Status.
	Running  int
	Waiting  int
	Slowdown int
	// EchoMillis is as in Status.
	EchoMillis int
	// FailurePercent and Wanted are as in Status.
	FailurePercent int
	Wanted         bool
}
