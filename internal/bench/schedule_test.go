package bench

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
)

// thirteen is a fleet of 13 targets of four services in three data centres.
func thirteen() []Target {
	var places []Target
	for service, count := range []int{4, 3, 3, 3} {
		for i := range count {
			places = append(places, Target{
				Address:    fmt.Sprintf("127.0.%d.%d:8000", i%3+1, len(places)),
				Service:    fmt.Sprintf("s%d", service),
				DataCentre: fmt.Sprintf("dc%d", i%3),
			})
		}
	}
	return places
}

func TestSeedFixesSchedule(t *testing.T) {
	for _, scenario := range Scenarios {
		first := schedule(scenario, thirteen(), time.Minute, 7)
		if !reflect.DeepEqual(first, schedule(scenario, thirteen(), time.Minute, 7)) {
			t.Errorf("%s: two schedules of one seed differ", scenario)
		}
	}
	a, b := schedule(Noisy, thirteen(), time.Minute, 7), schedule(Noisy, thirteen(), time.Minute, 8)
	if reflect.DeepEqual(a, b) {
		t.Error("two seeds give one schedule")
	}
}

func TestTwoServicesHaveASlowTargetAtEveryMoment(t *testing.T) {
	places := thirteen()
	rapid.Check(t, func(t *rapid.T) {
		events := schedule(Noisy, places, time.Minute, rapid.Uint64().Draw(t, "seed"))
		at := time.Duration(rapid.Int64Range(0, int64(time.Minute)-1).Draw(t, "at"))
		services := make(map[string]bool)
		for _, e := range events {
			length := time.Duration(*e.change.SlowForMs+1) * time.Millisecond
			if e.at <= at && at < e.at+length {
				services[places[e.target].Service] = true
			}
			if length < shortestSpell || length > longestSpell+time.Millisecond {
				t.Fatalf("spell of %s", length)
			}
		}
		if len(services) < tracks {
			t.Fatalf("at %s only %v have a slow target", at, services)
		}
	})
}

func TestOneDataCentreTurnsCold(t *testing.T) {
	places := thirteen()
	rapid.Check(t, func(t *rapid.T) {
		services := make(map[string]int)
		centres := make(map[string]bool)
		for _, e := range schedule(ColdReturn, places, time.Minute, rapid.Uint64().Draw(t, "seed")) {
			services[places[e.target].Service]++
			centres[places[e.target].DataCentre] = true
		}
		want := map[string]int{"s0": 1, "s1": 1, "s2": 1, "s3": 1}
		if len(centres) != 1 || !reflect.DeepEqual(services, want) {
			t.Fatalf("targets by service %v in %v", services, centres)
		}
	})
}

func TestOneTargetOfEachServiceIsUneven(t *testing.T) {
	places := thirteen()
	services := make(map[string]int)
	for _, e := range schedule(Uneven, places, time.Minute, 7) {
		services[places[e.target].Service]++
	}
	want := map[string]int{"s0": 1, "s1": 1, "s2": 1, "s3": 1}
	if !reflect.DeepEqual(services, want) {
		t.Fatalf("targets by service %v", services)
	}
}
