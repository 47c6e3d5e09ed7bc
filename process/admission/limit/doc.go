// Package limit implements adaptive concurrency limits. They estimate from
// latencies and dropped requests how many requests a target can run at once.
//
// Every algorithm except fixed evaluates windows of several requests, so that a
// few long requests among short ones don't count as overload. The limit grows
// only while at least half of it is in use, since a target with little load
// doesn't show how much it can run.
//
//   - aimd increases the limit by one per window, and decreases it by a factor
//     if requests are dropped or if the latency is far above the lowest.
//   - gradient multiplies the limit by the ratio of the usual latency to the
//     present one, and allows for a short queue.
//   - vegas estimates how many requests queue at the target from the lowest
//     latency and the present one, and keeps that number small.
//   - fixed stays at the maximum. It is the baseline for comparisons.
package limit
