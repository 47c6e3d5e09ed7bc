// Package limit holds adaptive limits: they follow the latencies and the
// dropped requests of a target to tell how many requests it bears at once.
//
// All of them look at windows of answers, so that a few long requests among
// short ones don't count as load, and grow only while the target is in good
// use, since an idle target proves nothing.
//
//   - aimd grows by one a window and shrinks by a share when requests are
//     dropped or the latency is far above the lowest.
//   - gradient multiplies the limit by the ratio of the usual latency to the
//     present one, and allows for a short queue.
//   - vegas estimates how many requests queue at the target from the lowest
//     latency and the present one, and keeps that number small.
//   - fixed always is the ceiling, to compare with.
package limit
