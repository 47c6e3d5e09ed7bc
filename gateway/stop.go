package gateway

import (
	"sync"
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
	// quietAfterClose is how long no request must have been pending after the listeners
	// closed. Callers may use connections that were accepted just before.
	quietAfterClose = 100 * time.Millisecond
	// lateDrain is the part of exitReserve in which requests may still be pending after
	// the listeners closed.
	lateDrain = 300 * time.Millisecond
)

// stop performs a planned stop. Readiness checks are answered "not ready", the
// peers are sent a status with Stopping set, and connections of callers are
// closed after the responses to their pending requests. New requests are refused
// after acceptShare of the stop timeout. The listeners for requests are closed once the
// platform has seen that the node is not ready and no request has been pending for
// quietBeforeExit, or at the latest exitReserve before the stop timeout expires. stop then
// waits until serving, the accepting of connections, has ended and no request has been
// pending for quietAfterClose, at most for lateDrain beyond that time. Idle connections
// are closed at the end.
func (n *Node) stop(serving *sync.WaitGroup) {
	start := time.Now()
	n.stopping.Store(true)
	n.readiness.notReadyResponses.Store(0)
	n.callerServer.Drain()
	n.peers.requestBroadcast()
	n.events.log(journal.Change, "stopping", "pending", n.callerServer.Pending()+n.hopServer.Pending())
	deadline := start.Add(n.settings().Limits.stopTimeout() - exitReserve)
	refuseAt := start.Add(time.Duration(acceptShare * float64(n.settings().Limits.stopTimeout())))
	n.awaitQuiet(deadline, func(quiet time.Duration) bool {
		if time.Now().After(refuseAt) {
			n.refusing.Store(true)
		}
		return n.readiness.notReadyResponses.Load() >= notReadyResponsesBeforeExit && quiet >= quietBeforeExit
	})
	l := n.settings().Listen
	for _, address := range []string{l.Callers, l.Hop} {
		_ = n.listeners[address].Close() // the process ends, whether or not it succeeds
	}
	serving.Wait()
	n.awaitQuiet(deadline.Add(lateDrain), func(quiet time.Duration) bool { return quiet >= quietAfterClose })
	n.callerServer.CloseIdle()
	n.hopServer.CloseIdle()
	time.Sleep(stopPollInterval)
}

// awaitQuiet waits until enough returns true for the time for which no request has been
// pending, or until the deadline.
func (n *Node) awaitQuiet(deadline time.Time, enough func(quiet time.Duration) bool) {
	for quietSince := time.Now(); time.Now().Before(deadline); time.Sleep(stopPollInterval) {
		if n.callerServer.Pending()+n.hopServer.Pending() > 0 {
			quietSince = time.Now()
		}
		if enough(time.Since(quietSince)) {
			return
		}
	}
}
