package gateway

import (
	"cmp"
	"net/http"
	"time"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/connection/pipeline"
	"verbenatrestle/platform"
	"verbenatrestle/process/journal"
	"verbenatrestle/request"
)

const (
	// defaultMemoryMB is the memory of the process where the settings name none, in MB.
	defaultMemoryMB = 256
	// heapShare is the share of the memory above which the runtime collects garbage more
	// often. The rest is for what the runtime does not count.
	heapShare = 0.8
	// requestBodyShare is the share of the memory for the bodies of requests. The rest is
	// for responses, connections and garbage.
	requestBodyShare = 0.5
	// callerBodyShare is the share of the memory for bodies that callers may take. The
	// rest is left to hops: what one node has read, another one must be able to take.
	callerBodyShare = 0.5
	// freeRequestBytes is the size up to which the body of a request does not count, so
	// that usual requests don't fail because of a few large ones.
	freeRequestBytes = 64 << 10
	// noMemoryRetryAfter is the Retry-After of a request whose body finds no memory. A
	// body of defaultBodyBytes arrives and is sent on in about that time at 1 Gbit/s.
	noMemoryRetryAfter = time.Second
)

// memoryBytes returns the memory that the process may use.
func (l Limits) memoryBytes() int64 {
	return int64(cmp.Or(l.MemoryMB, defaultMemoryMB) * 1e6)
}

// HeapLimit returns the limit for the memory of the Go runtime, in bytes.
func (l Limits) HeapLimit() int64 { return int64(heapShare * float64(l.memoryBytes())) }

// bodyBudgets returns the budgets for the bodies of requests of callers and of hops. They
// share the memory for bodies. Where it is large enough, callers may take at least one body
// of defaultBodyBytes.
func (l Limits) bodyBudgets() (callers, hops *exchange.MemoryBudget) {
	limit := int64(requestBodyShare * float64(l.memoryBytes()))
	whole := exchange.NewMemoryBudget(limit)
	callerLimit := max(defaultBodyBytes, int64(callerBodyShare*float64(limit)))
	return whole.Part(callerLimit, freeRequestBytes), whole.Part(limit, freeRequestBytes)
}

// rejectBusy returns the response to a request whose body finds no memory.
func (n *Node) rejectBusy(header http.Header) *pipeline.Response {
	id := header.Get(platform.HeaderRequestID)
	n.events.bodyWithoutMemory(id, header.Get(request.HeaderHop), n.callerServer.Memory.Used(), n.hopServer.Memory.Used())
	return n.fail(id, &request.Failure{
		Status: http.StatusServiceUnavailable, Title: "no memory for the body", Outcome: request.NotRun,
		Step: "read", RetryAfter: noMemoryRetryAfter,
	})
}

// rejectBusyHop returns the response to a hop whose body finds no memory. Its request has
// not run.
func (n *Node) rejectBusyHop(header http.Header) *pipeline.Response {
	response := n.rejectBusy(header)
	response.Header.Set(request.HeaderOutcome, string(request.NotRun))
	response.Header.Set(headerReason, reasonHopRejected)
	return response
}

// bodyWithoutMemory logs and counts a request whose body finds no memory. Hop is empty for
// a request of a caller. The bodies of callers and hops use so many bytes now.
func (e *eventLog) bodyWithoutMemory(id, hop string, callerBytes, hopBytes int64) {
	e.metrics.rejected.Inc(1)
	e.journal.Log(journal.Failure, "no_memory_for_body", "request", id, "hop", hop, "caller_bytes", callerBytes, "hop_bytes", hopBytes)
}
