// Package target is a stand-in for a target: an HTTP server with slots, a
// bound on connections, service times from a seeded distribution, and cold
// start. It announces itself to the node beside it.
//
// # What it bears
//
// A warm target runs as many requests at once as it has slots. A few more wait
// for a slot; beyond that it sheds with 503. A cold one bears cold_limit
// requests at once, and one more for each share of warm_answers that it has
// answered, until it bears its slots. More than that makes it fall over: it
// counts an overrun, stalls what it runs, sheds what arrives for the time of
// the stall, and is cold again. A target that turns cold without warning sheds
// what it cannot bear for a short grace before it falls over.
//
// # What it answers
//
// The body of an answer follows from the request, see Answer, so that the
// caller can check it byte by byte. Each answer carries Vt-Instance,
// Vt-Request-Id and X-Ran-By. A request that was shed carries Vt-Outcome:
// not-run, since it was not run. A run is entered in the journal before the
// work begins, and, where a collector is set, the collector has acknowledged
// the entry by then. So a run is never missed when the target is killed.
//
// # Endpoints beside the work
//
//	GET  /health   200, or 503 while it drains, fails or stalls
//	GET  /load     in_flight, slots, state, instance; lags and can lie
//	GET  /journal  runs of each idempotency key
//	GET  /stats    counters, see Stats
//	POST /control  misbehaviour, see Control
package target
