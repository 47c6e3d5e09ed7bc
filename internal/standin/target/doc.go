// Package target is a stand-in for a target: an HTTP server with a number of
// slots, a connection limit, service times from a seeded random distribution,
// and a cold start. It announces itself to the node beside it.
//
// # Capacity
//
// A warm target runs as many requests at once as it has slots. A queue holds
// some more that wait for a slot. Beyond that, the target sheds requests with
// 503. A cold target runs cold_limit requests at once; this limit rises linearly
// to the number of slots while the target answers its first warm_answers
// requests. A request beyond the limit of a cold target makes the target
// collapse: it counts an overrun, stalls the requests that it runs, sheds all
// new ones for the duration of the stall, and is cold again. A target that is
// made cold by POST /control sheds excess requests for a short grace period
// before it collapses from them.
//
// # Responses
//
// The body of a response is a function of the request, see ResponseBody, so that
// the caller can check each byte. Each response to a request carries Vt-Instance
// and, if the request has one, Vt-Request-Id; successful ones also carry
// X-Ran-By. A request that was shed carries Vt-Outcome: not-run. A run is
// recorded in the journal before its work begins; if a collector is configured,
// the collector has acknowledged the record by then. So no run is missing when
// the target is killed.
//
// # Other endpoints
//
//	GET  /health   200, or 503 while the target drains, fails or stalls
//	GET  /load     in_flight, slots, state, instance; may lag or be falsified
//	GET  /journal  number of runs of each idempotency key
//	GET  /stats    counters, see Stats
//	POST /control  fault injection, see Control
package target
