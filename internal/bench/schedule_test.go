package bench

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
)

// thirteenTargets returns 13 targets of four services in three data centres.
func thirteenTargets() []Target {
	var targets []Target
	for service, count := range []int{4, 3, 3, 3} {
		for i := range count {
			targets = append(targets, Target{
				Address:    fmt.Sprintf("127.0.%d.%d:8000", i%3+1, len(targets)),
				Service:    fmt.Sprintf("s%d", service),
				DataCentre: fmt.Sprintf("dc%d", i%3),
			})
		}
	}
	return targets
}

func TestSeedDeterminesSchedule(t *testing.T) {
	for _, scenario := range Scenarios {
		first := schedule(scenario, thirteenTargets(), time.Minute, 7)
		if !reflect.DeepEqual(first, schedule(scenario, thirteenTargets(), time.Minute, 7)) {
			t.Errorf("%s: two schedules with the same seed differ", scenario)
		}
	}
	a, b := schedule(Noisy, thirteenTargets(), time.Minute, 7), schedule(Noisy, thirteenTargets(), time.Minute, 8)
	if reflect.DeepEqual(a, b) {
		t.Error("two seeds give the same schedule")
	}
}

func TestTwoServicesHaveASlowTargetAtEveryMoment(t *testing.T) {
	targets := thirteenTargets()
	rapid.Check(t, func(t *rapid.T) {
		events := schedule(Noisy, targets, time.Minute, rapid.Uint64().Draw(t, "seed"))
		at := time.Duration(rapid.Int64Range(0, int64(time.Minute)-1).Draw(t, "at"))
		services := make(map[string]bool)
		for _, e := range events {
			length := time.Duration(*e.change.SlowForMs+1) * time.Millisecond
			if e.at <= at && at < e.at+length {
				services[targets[e.target].Service] = true
			}
			if length < minSlowPeriod || length > maxSlowPeriod+time.Millisecond {
				t.Fatalf("slow period of %s", length)
			}
		}
		if len(services) < concurrentSlowTargets {
			t.Fatalf("at %s only %v have a slow target", at, services)
		}
	})
}

func TestOneDataCentreTurnsCold(t *testing.T) {
	targets := thirteenTargets()
	rapid.Check(t, func(t *rapid.T) {
		services := make(map[string]int)
		centres := make(map[string]bool)
		for _, e := range schedule(ColdReturn, targets, time.Minute, rapid.Uint64().Draw(t, "seed")) {
			services[targets[e.target].Service]++
			centres[targets[e.target].DataCentre] = true
		}
		want := map[string]int{"s0": 1, "s1": 1, "s2": 1, "s3": 1}
		if len(centres) != 1 || !reflect.DeepEqual(services, want) {
			t.Fatalf("targets by service %v in %v", services, centres)
		}
	})
}

func TestOneTargetOfEachServiceIsUneven(t *testing.T) {
	targets := thirteenTargets()
	services := make(map[string]int)
	for _, e := range schedule(Uneven, targets, time.Minute, 7) {
		services[targets[e.target].Service]++
	}
	want := map[string]int{"s0": 1, "s1": 1, "s2": 1, "s3": 1}
	if !reflect.DeepEqual(services, want) {
		t.Fatalf("targets by service %v", services)
	}
}
