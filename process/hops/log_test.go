package hops

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
)

var start = time.Unix(1_800_000_000, 0)

// arrivals is what a test knows of the requests with one id.
type arrivals struct {
	entry      *Entry[string]
	running    int
	repeated   bool
	finishedAt time.Time
}

// A request that runs, or has finished just now, must not be taken for one that never
// arrived, however many others finish and if it arrives again. Its response must be its own.
func TestArrivedRequestsAreKnown(t *testing.T) {
	settings := Settings{KeepFor: time.Second, MaxFinished: 8, MaxResponseBytes: 10, MaxBytes: 12}
	rapid.Check(t, func(t *rapid.T) {
		log := NewLog[string](settings)
		now := start
		known := make(map[string]*arrivals)
		latest := ""
		for range 150 {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 10, 200, 1500}).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint("r", rapid.IntRange(0, 30).Draw(t, "id"))
			a := known[id]
			switch {
			case rapid.Bool().Draw(t, "arrives"):
				entry := log.Begin(id)
				if a == nil || a.entry != entry {
					if a != nil && (a.running > 0 || now.Before(a.finishedAt.Add(settings.KeepFor)) && len(known) <= settings.MaxFinished) {
						t.Fatalf("request %s has a new entry", id)
					}
					a = &arrivals{entry: entry}
					known[id] = a
				} else {
					a.repeated = true
				}
				a.running++
			case a != nil && a.running > 0:
				response := id
				log.Finish(id, a.entry, &response, len(response), now)
				a.running--
				a.finishedAt = now
				latest = id
			}
			log.Expire(now)
			checkLog(t, log, known, latest, now)
		}
	})
}

// checkLog compares a log with the requests that have arrived. The one with the id latest
// has finished last.
func checkLog(t *rapid.T, log *Log[string], known map[string]*arrivals, latest string, now time.Time) {
	running := 0
	for id, a := range known {
		running += min(a.running, 1)
		entry, complete := log.Find(id, now)
		recent := now.Before(a.finishedAt.Add(log.settings.KeepFor))
		if entry != a.entry && (a.running > 0 || recent && complete) {
			t.Fatalf("request %s is not known: %+v", id, a)
		}
		if entry == nil {
			continue
		}
		response := entry.Response()
		if response != nil && (a.repeated || *response != id) {
			t.Fatalf("request %s, %+v, has the response %q", id, a, *response)
		}
		if response == nil && id == latest && a.running == 0 && !a.repeated {
			t.Fatalf("the latest response, that of request %s, is not kept", id)
		}
	}
	if log.bytes > log.settings.MaxBytes || len(log.entries) > running+log.settings.MaxFinished {
		t.Fatalf("%d bytes, %d entries, %d running", log.bytes, len(log.entries), running)
	}
}

// A response that is too long is not kept, and the request is still known to have run.
func TestLongResponseIsNotKept(t *testing.T) {
	log := NewLog[string](Settings{KeepFor: time.Second, MaxFinished: 8, MaxResponseBytes: 2, MaxBytes: 20})
	response := "long"
	log.Finish("a", log.Begin("a"), &response, len(response), start)
	if entry, _ := log.Find("a", start); entry == nil || entry.Response() != nil {
		t.Errorf("entry %+v, want one without a response", entry)
	}
}

// Hundreds of requests finish at a busy node before a lost response is asked for. A request
// that has run must then not be taken for one that never arrived.
func TestFinishedRequestsAreKnownToHaveArrived(t *testing.T) {
	log := NewLog[string](DefaultSettings)
	response := "ok"
	const requests = 2000
	for i := range requests {
		id := fmt.Sprint(i)
		log.Finish(id, log.Begin(id), &response, len(response), start)
	}
	for i := range requests {
		if entry, _ := log.Find(fmt.Sprint(i), start); entry == nil {
			t.Fatalf("request %d of %d, all of which have just run, was forgotten", i, requests)
		}
	}
}

// A request that arrives again while it runs must be known to run until both have finished.
func TestRepeatedRequestIsKnownUntilAllFinish(t *testing.T) {
	log := NewLog[string](Settings{KeepFor: time.Second, MaxFinished: 8, MaxResponseBytes: 10, MaxBytes: 20})
	response := "full"
	log.Begin("a")
	log.Finish("a", log.Begin("a"), &response, len(response), start)
	if entry, _ := log.Find("a", start); entry == nil || entry.Response() != nil {
		t.Errorf("the response to the second arrival is reported as that to the first: %+v", entry)
	}
	later := start.Add(2 * time.Second)
	log.Expire(later)
	if entry, _ := log.Find("a", later); entry == nil {
		t.Error("a running request was forgotten")
	}
}

// The bound of all responses together must cost the oldest ones, also after older requests
// were forgotten: otherwise the latest, which are asked for, would be missing.
func TestOldestResponsesAreDropped(t *testing.T) {
	settings := Settings{KeepFor: time.Second, MaxFinished: 100, MaxResponseBytes: 10, MaxBytes: 12}
	log := NewLog[string](settings)
	response := "four"
	for round := range 5 {
		now := start.Add(time.Duration(round) * 2 * settings.KeepFor)
		for i := range 8 {
			id := fmt.Sprint(round, "-", i)
			log.Finish(id, log.Begin(id), &response, len(response), now)
		}
		for i := range 8 {
			entry, _ := log.Find(fmt.Sprint(round, "-", i), now)
			if entry == nil || (entry.Response() != nil) != (i >= 5) {
				t.Fatalf("round %d: entry %d is %+v", round, i, entry)
			}
		}
	}
}
