package platform_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	standin "verbenatrestle/internal/standin/platform"
	"verbenatrestle/process/platform"
)

const (
	fleetNodes       = 1300
	fleetStartSpread = 15 * time.Second
	phaseDuration    = 30 * time.Second
)

// BenchmarkFleetWatches runs the watchers of 1,300 nodes, two per node, against one
// stand-in of the platform: without changes, with a change of one prefix, with a
// change of both, and during and after an outage. For each phase it reports the
// calls per second, the maximum in one second, and the calls that were rejected by
// the rate limit. One iteration takes about three minutes; run it with -benchtime 1x.
func BenchmarkFleetWatches(b *testing.B) {
	for range b.N {
		benchFleetWatches(b)
	}
}

func benchFleetWatches(b *testing.B) {
	server := standin.NewServer(standin.Options{ReadsPerSecond: 2000, WritesPerSecond: 300})
	listener := httptest.NewServer(server.Handler())
	writer := platform.New(platform.Config{BaseURL: listener.URL})
	ctx, cancel := context.WithCancel(b.Context())
	var group sync.WaitGroup
	for i := range fleetNodes {
		client := platform.New(platform.Config{BaseURL: listener.URL})
		for j, prefix := range []string{"configuration", "ownership/"} {
			watcher := &platform.Watcher{
				Client:   client,
				Prefix:   prefix,
				OnUpdate: func(platform.Update) {},
				Rand:     rand.New(rand.NewPCG(uint64(i), uint64(j))),
			}
			delay := time.Duration(watcher.Rand.Int64N(int64(fleetStartSpread)))
			group.Go(func() {
				time.Sleep(delay)
				watcher.Run(ctx)
			})
		}
	}
	time.Sleep(fleetStartSpread + phaseDuration)
	measurePhase(b, server, "steady", func() {})
	measurePhase(b, server, "change", func() { writeObject(b, writer, "configuration") })
	measurePhase(b, server, "two-changes", func() {
		writeObject(b, writer, "ownership/team/service")
		writeObject(b, writer, "configuration")
	})
	down, up := true, false
	measurePhase(b, server, "outage", func() { server.Apply(standin.Control{Down: &down}) })
	measurePhase(b, server, "after", func() { server.Apply(standin.Control{Down: &up}) })
	cancel()
	group.Wait()
	listener.Close()
}

// writeObject writes an object, whether it exists or not.
func writeObject(b *testing.B, client *platform.Client, key string) {
	b.Helper()
	object, err := client.Get(b.Context(), key)
	if err != nil && object.Version != 0 {
		b.Fatal(err)
	}
	if _, err := client.Put(b.Context(), key, fmt.Append(nil, object.Version), object.Version); err != nil {
		b.Fatal(err)
	}
}

// measurePhase calls begin and reports the calls that the platform receives during
// the phase.
func measurePhase(b *testing.B, server *standin.Server, name string, begin func()) {
	b.Helper()
	server.Apply(standin.Control{ResetStats: true})
	begin()
	time.Sleep(phaseDuration)
	stats := server.Stats()
	b.ReportMetric(float64(stats.Reads+stats.Watches+stats.Writes)/phaseDuration.Seconds(), name+"-calls/s")
	b.ReportMetric(float64(stats.PeakCallsPerSecond), name+"-peak/s")
	b.ReportMetric(float64(stats.RateLimited), name+"-limited")
}
