// Package admission limits how many requests run at once at the local target,
// the one beside this node.
//
// Every request to the target passes through the Controller, which counts the
// requests in flight exactly. The Controller never queues: it admits or
// refuses a request at once. A Refusal proves that the target did not run the
// request, and carries the exact load of the target.
//
// The limit on requests in flight is the lowest of
//
//   - the slots that the target announced, or those in its last recent report
//     if they are fewer;
//   - the adaptive limit, which follows latencies and shed requests;
//   - the cold-start limit, while the target is cold;
//   - the number of open connections plus a few, since opening a connection
//     costs the target time.
//
// A target is cold after a start, after a loss, after a return to service and
// after an ejection. It turns cold again if a new instance starts, if an answer
// or a report states that it is cold, or if it sheds a request. The limit then
// drops to the cold limit at once. It grows with each series of answers to
// requests that were admitted after the drop, while at least half of the limit
// was in use. Reports of the target about itself can only lower a limit.
//
// If the latency of a target suddenly is a multiple of the usual latency, or
// if the target answers nothing within the usual latency while the requests
// in flight get old, the target is suspected to have become slow. Its limit
// drops to the cold limit at once too, so that few requests are affected by
// the slow period, but its state stays warm, and the limit grows by one with
// each answer that isn't slow.
//
// A target is ejected if too many requests in a row, or too large a share of
// them, fail. The ejection period doubles with each ejection, up to a maximum,
// and has jitter. An ejected target is still given up to its cold limit:
// balancing leaves out ejected targets unless most targets of a service are
// ejected, and then these few requests let the service recover. Enough answers
// in a row end the ejection early. In either case the target is cold
// afterwards.
//
// Callers share a full target by weight. If a caller below its fair share is
// refused because the target is full, the next free slot is reserved for it,
// ahead of callers above their share. There is no queue: the reservation lasts
// for a few milliseconds and serves the next request of that caller.
//
// At most one suspect request runs at a time. A request is suspect if it was
// in flight when a target crashed.
package admission
