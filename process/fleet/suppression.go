package fleet

import (
	"math"
	"time"
)

// SuppressionDelay returns the delay after which one of many nodes that notice the
// same thing at once acts on it, unless another has by then. Of the given number of
// nodes about one has no delay, and after a share x of longest, nodes to the power of
// x have acted. Uniform is a random number in [0, 1).
func SuppressionDelay(longest time.Duration, nodes int, uniform float64) time.Duration {
	if nodes <= 1 {
		return 0
	}
	share := 1 + math.Log(1-uniform)/math.Log(float64(nodes))
	return time.Duration(max(0, share) * float64(longest))
}
