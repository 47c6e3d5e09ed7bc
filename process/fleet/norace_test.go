//go:build !race

package fleet

// raceDetector is set if the tests run under the race detector, which makes the
// simulations several times slower.
const raceDetector = false
