package gateway

import (
	"context"
	"testing"
	"time"
)

// A status tells of a newer configuration at the moment at which a pull has found none
// and ends. The pull has to begin again, or the node stays outdated until another
// status arrives.
func TestStatusAtTheEndOfAPullIsNotLost(t *testing.T) {
	pulls := make(chan int, 4)
	var puller configPuller
	count := 0
	puller.pull = func(ctx context.Context) {
		count++
		if count == 1 {
			puller.start(ctx)
		}
		pulls <- count
	}
	puller.start(t.Context())
	for want := 1; want <= 2; want++ {
		select {
		case <-pulls:
		case <-time.After(5 * time.Second):
			t.Fatalf("pull %d does not begin", want)
		}
	}
	eventually(t, "the next pull begins", func() bool {
		puller.start(t.Context())
		return len(pulls) > 0
	})
}
