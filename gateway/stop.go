package gateway

import (
	"time"

	"verbenatrestle/process/journal"
)

const (
	// notReadyAnswersBeforeExit is how many times the platform has to hear that the node is
	// not ready before it sends no more callers.
	notReadyAnswersBeforeExit = 2
	// quietBeforeExit is how long nothing may be pending before the node leaves.
	quietBeforeExit = 300 * time.Millisecond
	// acceptShare is the share of the time that a stop may take in which requests
	// are still taken, so that those taken last have time to end.
	acceptShare = 0.5
	// stoppingRetryAfter is when a caller may come back that came too late: another
	// node takes it at once.
	stoppingRetryAfter = 20 * time.Millisecond
	// exitReserve is kept of the time that a stop may take, for the exit itself.
	exitReserve = 700 * time.Millisecond
	// stopPollInterval is the period of looking whether the node may leave.
	stopPollInterval = 20 * time.Millisecond
)

// stop ends the node's work as planned: the platform and the peers are told
// first, callers are asked to leave with their answers, and the node leaves
// when nothing is pending any more, at the latest when its time is up.
func (n *Node) stop() {
	start := time.Now()
	n.stopping.Store(true)
	n.readiness.notReadyAnswers.Store(0)
	n.callerServer.Drain()
	n.peers.requestBroadcast()
	n.events.log(journal.Change, "stopping", "pending", n.callerServer.Pending()+n.hopServer.Pending())
	deadline := start.Add(n.settings().Limits.stopTimeout() - exitReserve)
	quietSince := start
	refuseAt := start.Add(time.Duration(acceptShare * float64(n.settings().Limits.stopTimeout())))
	for time.Now().Before(deadline) {
		if time.Now().After(refuseAt) {
			n.refusing.Store(true)
		}
		if n.callerServer.Pending()+n.hopServer.Pending() > 0 {
			quietSince = time.Now()
		}
		if n.readiness.notReadyAnswers.Load() >= notReadyAnswersBeforeExit && time.Since(quietSince) >= quietBeforeExit {
			break
		}
		time.Sleep(stopPollInterval)
	}
	n.callerServer.CloseIdle()
	n.hopServer.CloseIdle()
	time.Sleep(stopPollInterval)
}
