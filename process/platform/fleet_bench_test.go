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
	fleetNodes = 1300
	fleetStart = 15 * time.Second
	fleetPhase = 30 * time.Second
)

// BenchmarkFleetWatches has the watchers of 1,300 nodes, two a node, follow one
// stand-in platform: while nothing happens, through one change of each prefix, and
// through an outage. It reports calls a second, and the most in one second. One
// round takes three minutes; run it with -benchtime 1x.
func BenchmarkFleetWatches(b *testing.B) {
	for range b.N {
		benchFleetWatches(b)
	}
}

func benchFleetWatches(b *testing.B) {
	server := standin.NewServer(standin.Options{Reads: 2000, Writes: 300})
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
			delay := time.Duration(watcher.Rand.Int64N(int64(fleetStart)))
			group.Go(func() {
				time.Sleep(delay)
				watcher.Run(ctx)
			})
		}
	}
	time.Sleep(fleetStart + fleetPhase)
	phase(b, server, "steady", func() {})
	phase(b, server, "change", func() { write(b, writer, "configuration") })
	phase(b, server, "two-changes", func() {
		write(b, writer, "ownership/team/service")
		write(b, writer, "configuration")
	})
	down, up := true, false
	phase(b, server, "outage", func() { server.Apply(standin.Control{Down: &down}) })
	phase(b, server, "after", func() { server.Apply(standin.Control{Down: &up}) })
	cancel()
	group.Wait()
	listener.Close()
}

func write(b *testing.B, client *platform.Client, key string) {
	b.Helper()
	object, err := client.Get(b.Context(), key)
	if err != nil && object.Version != 0 {
		b.Fatal(err)
	}
	if _, err := client.Put(b.Context(), key, fmt.Append(nil, object.Version), object.Version); err != nil {
		b.Fatal(err)
	}
}

// phase begins with what begin does and reports the calls that follow.
func phase(b *testing.B, server *standin.Server, name string, begin func()) {
	b.Helper()
	server.Apply(standin.Control{ResetStats: true})
	begin()
	time.Sleep(fleetPhase)
	stats := server.Stats()
	b.ReportMetric(float64(stats.Reads+stats.Watches+stats.Writes)/fleetPhase.Seconds(), name+"-calls/s")
	b.ReportMetric(float64(stats.PeakCalls), name+"-peak/s")
	b.ReportMetric(float64(stats.RateLimited), name+"-limited")
}
