// Package bench measures balancing policies and admission limits on stand-ins.
//
// A measurement is made of rounds. In a round, vtstandin drives load at a fleet
// of one policy, while Watch disturbs the targets as the scenario wants, at
// times that the seed fixes, and then reads what the targets and nodes counted.
// Rounds of different policies take turns, so that what else happens on the
// machine meets all of them alike. Summarise joins the rounds of a policy: each
// figure is the mean of its rounds.
//
// The scenarios are
//
//   - steady: nothing happens;
//   - noisy: two targets of different services are slow at every moment, for
//     spells of 20 to 200 ms each;
//   - failfast: one target answers errors at once;
//   - coldreturn: the targets of one data centre turn cold without warning;
//   - overload: nothing happens but for more load than the targets can bear;
//   - uneven: one target of each service is slow for good.
package bench
