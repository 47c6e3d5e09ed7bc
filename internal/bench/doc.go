// Package bench measures balancing policies and admission limits with stand-in
// targets and callers.
//
// A measurement consists of rounds. In each round, vtstandin generates load for
// a fleet whose nodes use one policy, while a Runner injects the faults of the
// scenario into the targets, at times that the seed determines, and then reads
// the counters of targets and nodes. Rounds of different policies alternate, so
// that other activity on the machine affects all policies alike. Summarise joins
// the rounds of a policy: most figures are the means over its rounds.
//
// The scenarios are
//
//   - steady: no faults;
//   - noisy: at every moment, two targets of different services are slow, each
//     for a slow period of 20 to 200 ms;
//   - failfast: one target answers every request at once with an error;
//   - coldreturn: the targets of one data centre become cold at once;
//   - overload: no faults, but more load than the capacity of the targets;
//   - uneven: one target of each service is slow during the whole round.
package bench
