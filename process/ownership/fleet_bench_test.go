package ownership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/message"
	"verbenatrestle/process/ownership/timing"
)

const (
	benchMembers  = 1300
	benchServices = 120
)

// BenchmarkFleetMembers is what a change of one member of the target fleet
// costs a node, with the tick that follows.
func BenchmarkFleetMembers(b *testing.B) {
	core, members, now := newFleetCore(b, true)
	b.ReportAllocs()
	for b.Loop() {
		now = later(now)
		core.SetMembers(members, now)
		core.Tick(now)
	}
}

// BenchmarkFleetTick is what a tick costs a node of the target fleet when
// nothing happens.
func BenchmarkFleetTick(b *testing.B) {
	for _, assigned := range []bool{true, false} {
		b.Run(fmt.Sprintf("assigned=%t", assigned), func(b *testing.B) {
			core, _, now := newFleetCore(b, assigned)
			b.ReportAllocs()
			for b.Loop() {
				now = later(now)
				core.Tick(now)
			}
		})
	}
}

func later(now ClockReading) ClockReading {
	return ClockReading{Monotonic: now.Monotonic + tickPeriod, Wall: now.Wall.Add(tickPeriod)}
}

// assignAll gives each service its first object.
func assignAll(b *testing.B, core *Core, services []ServiceSpec, now ClockReading) {
	b.Helper()
	for _, s := range services {
		a, err := assignment.Initial(s.ID, core.candidates(s.ID), []string{"n0", "n1", "n2", "n3", "n4"}, s.Partitions)
		if err != nil {
			b.Fatal(err)
		}
		value, err := a.Encode()
		if err != nil {
			b.Fatal(err)
		}
		core.Handle("n0", &message.Assigned{Service: s.ID, Version: 1, Value: value}, now)
	}
}

// newFleetCore returns a node of a fleet in which nobody answers, before or
// after services have owners.
func newFleetCore(b *testing.B, assigned bool) (*Core, []Member, ClockReading) {
	b.Helper()
	now := ClockReading{Wall: time.Unix(1_800_000_000, 0)}
	var services []ServiceSpec
	for i := range benchServices {
		services = append(services, ServiceSpec{ID: fmt.Sprintf("team/s%d", i), Partitions: 16, ResendWindow: 10 * time.Minute})
	}
	var members []Member
	for i := range benchMembers {
		members = append(members, Member{
			Node:        fmt.Sprintf("n%d", i),
			Incarnation: 1,
			DataCentre:  fmt.Sprintf("d%d", i%4),
			Alive:       true,
			Eligible:    true,
			Services:    []string{services[i%benchServices].ID},
		})
	}
	core, err := NewCore(CoreOptions{Node: "n1299", Incarnation: 1, Timing: timing.Defaults(), Random: rand.New(rand.NewPCG(1, 2)), Now: now})
	if err != nil {
		b.Fatal(err)
	}
	core.SetServices(services, now)
	core.SetMembers(members, now)
	if assigned {
		assignAll(b, core, services, now)
	}
	core.Tick(now)
	return core, members, now
}
