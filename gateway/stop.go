package gateway

import (
	"time"

	"verbenatrestle/process/journal"
)

const (
	// notReadyResponsesBeforeExit is how many readiness checks must have been
	// answered "not ready" before the node exits. By then the platform has
	// stopped sending callers to it.
	notReadyResponsesBeforeExit = 2
	// quietBeforeExit is how long no request must have been pending before the
	// node exits.
	quietBeforeExit = 300 * time.Millisecond
	// acceptShare is the share of the stop timeout during which new requests
	// are still accepted. The rest leaves time to finish the last of them.
	acceptShare = 0.5
	// stoppingRetryAfter is the Retry-After of requests that are refused
	// because the node is stopping. It is short, since any other node accepts
	// them at once.
	stoppingRetryAfter = 20 * time.Millisecond
	// exitReserve is the part of the stop timeout that is reserved for the exit
	// of the process.
	exitReserve = 700 * time.Millisecond
	// stopPollInterval is the interval of checking whether the node may exit.
	stopPollInterval = 20 * time.Millisecond
)

// stop performs a planned stop. Readiness checks are answered "not ready", the
// peers are sent a status with Stopping set, and connections of callers are
// closed after the responses to their pending requests. New requests are refused
// after acceptShare of the stop timeout. stop returns once the platform has seen that the node is
// not ready and no request has been pending for quietBeforeExit, or at the
// latest exitReserve before the stop timeout expires. Idle connections are
// closed at the end.
func (n *Node) stop() {
	start := time.Now()
	n.stopping.Store(true)
	n.readiness.notReadyResponses.Store(0)
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
		if n.readiness.notReadyResponses.Load() >= notReadyResponsesBeforeExit && time.Since(quietSince) >= quietBeforeExit {
			break
		}
		time.Sleep(stopPollInterval)
	}
	n.callerServer.CloseIdle()
	n.hopServer.CloseIdle()
	time.Sleep(stopPollInterval)
}
