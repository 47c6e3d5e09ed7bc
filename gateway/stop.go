package gateway

import (
	"time"

	"verbenatrestle/process/journal"
)

const (
	// refusalsToLeave is how many times the platform has to hear that the node is
	// not ready before it sends no more callers.
	refusalsToLeave = 2
	// quietToLeave is how long nothing may be pending before the node leaves.
	quietToLeave = 300 * time.Millisecond
	// takeShare is the share of the time that a stop may take in which requests
	// are still taken, so that those taken last have time to end.
	takeShare = 0.5
	// stoppedRetryAfter is when a caller may come back that came too late: another
	// node takes it at once.
	stoppedRetryAfter = 20 * time.Millisecond
	// stopReserve is kept of the time that a stop may take, for the exit itself.
	stopReserve = 700 * time.Millisecond
	// stopPoll is the period of looking whether the node may leave.
	stopPoll = 20 * time.Millisecond
)

// stop ends the node's work as planned: the platform and the peers are told
// first, callers are asked to leave with their answers, and the node leaves
// when nothing is pending any more, at the latest when its time is up.
func (n *Node) stop() {
	began := time.Now()
	n.stopping.Store(true)
	n.readiness.notReadyAnswers.Store(0)
	n.callerServer.Drain()
	n.peers.requestBroadcast()
	n.events.log(journal.Change, "stopping", "pending", n.callerServer.Pending()+n.hopServer.Pending())
	limit := began.Add(n.settings().Limits.stopTimeout() - stopReserve)
	quietSince := began
	refuseAt := began.Add(time.Duration(takeShare * float64(n.settings().Limits.stopTimeout())))
	for time.Now().Before(limit) {
		if time.Now().After(refuseAt) {
			n.refusing.Store(true)
		}
		if n.callerServer.Pending()+n.hopServer.Pending() > 0 {
			quietSince = time.Now()
		}
		if n.readiness.notReadyAnswers.Load() >= refusalsToLeave && time.Since(quietSince) >= quietToLeave {
			break
		}
		time.Sleep(stopPoll)
	}
	n.callerServer.CloseIdle()
	n.hopServer.CloseIdle()
	time.Sleep(stopPoll)
}
