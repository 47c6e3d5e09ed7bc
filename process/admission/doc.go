// Package admission decides what the one target beside this node may run.
//
// The Guard is the authority: nothing reaches the target but through it. It
// counts exactly what is in flight, and its Refusal is proof that a request
// was not run. It never queues: a request is admitted or refused at once, and
// the refusal carries the target's true load.
//
// How much may run at once is the least of
//
//   - the slots that the target announced, or fewer if it reports so;
//   - the adaptive limit, which follows latencies and shed requests;
//   - the cold-start limit, while the target is cold;
//   - the open connections and a few more, since opening one costs the target
//     time.
//
// A target is cold when it starts, when it returns from out or from ejection,
// and when it turns cold again: a new instance, an answer or report that says
// so, or a request that it sheds. Then it gets its cold limit at once. The
// limit grows with answers to requests that began after the fall and that ran
// while the limit was in use. What the target reports about itself can only
// lower a limit.
//
// A target whose latencies suddenly are a multiple of the usual, or which
// answers nothing in the usual time while what runs there gets old, is only
// suspected: it gets its cold limit at once too, so that a slow spell catches
// few requests, but stays warm by name, and the limit grows by one with each
// answer in about the usual time.
//
// A target that fails request after request is ejected for a spell. Spells
// double and are jittered. While ejected, the guard still admits up to the
// cold limit: balancing leaves ejected targets out unless most of a service is
// ejected, so this is the trickle that lets such a service recover. Enough
// answers in a row end the spell early. Either way the target returns cold.
//
// When the target is full, callers share it by weight: a caller that was
// refused for lack of room and runs less than its share gets the next free
// slot ahead of callers that run more than theirs. That needs no queue: the
// slot is kept for a few milliseconds, for whoever of that caller asks next.
//
// Suspects, the requests that were in flight when a target crashed, run at
// most one at a time.
package admission
