package claim

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
)

// TestTableBounds runs random operations on a table, and checks that its
// memory stays within the limits and that no known run is forgotten early.
func TestTableBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxClaims: 8, MaxAnswerBytes: 40}
		table := NewTable(limits, 0)
		now := time.Unix(1000, 0)
		expires := make(map[string]time.Time)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 15).Draw(t, "key"))
			entry, known := table.Lookup(key)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				if !known && !table.Full() {
					expires[key] = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "keep")) * time.Second)
					table.Claim(key, expires[key])
				}
			case 2:
				body := make([]byte, rapid.IntRange(0, 50).Draw(t, "size"))
				table.Finish(key, entry.ID, Answered, &Answer{Body: body})
			case 3:
				table.Finish(key, entry.ID, Unknown, nil)
			case 4:
				if table.Abort(key, entry.ID) {
					delete(expires, key)
				}
			case 5:
				now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second)
				table.Expire(now)
			}
			checkTable(t, table, limits, expires, now)
		}
	})
}

func checkTable(t *rapid.T, table *Table, limits Limits, expires map[string]time.Time, now time.Time) {
	if table.Len() > limits.MaxClaims || table.AnswerBytes() > limits.MaxAnswerBytes {
		t.Fatalf("%d claims, %d bytes", table.Len(), table.AnswerBytes())
	}
	bytes, running := 0, 0
	for _, entry := range table.Entries() {
		if entry.Answer != nil {
			bytes += entry.Answer.Size()
		}
		if entry.State == Running {
			running++
		}
	}
	if bytes != table.AnswerBytes() || running != table.Running() {
		t.Fatalf("counted %d bytes and %d running, table says %d and %d", bytes, running, table.AnswerBytes(), table.Running())
	}
	if len(table.kept) > 2*len(table.slots)+keptSlack {
		t.Fatalf("%d kept slots for %d claims", len(table.kept), len(table.slots))
	}
	for key, end := range expires {
		if _, known := table.Lookup(key); !known && end.After(now) {
			t.Fatalf("claim %s forgotten %v early", key, end.Sub(now))
		}
	}
}

func TestWaitIsWoken(t *testing.T) {
	table := NewTable(Limits{MaxClaims: 8, MaxAnswerBytes: 8}, 0)
	ends := map[string]func(key string, id uint64) bool{
		"finish": func(key string, id uint64) bool { return table.Finish(key, id, Answered, &Answer{}) },
		"abort":  table.Abort,
		"expire": func(string, uint64) bool { table.Expire(time.Unix(2, 0)); return true },
	}
	for name, end := range ends {
		id := table.Claim(name, time.Unix(1, 0))
		wait := table.Wait(name)
		if !end(name, id) {
			t.Errorf("%s: run not known", name)
		}
		select {
		case <-wait:
		default:
			t.Errorf("%s: nobody woken", name)
		}
	}
}

// TestLoseImported shows that only runs at another node are lost with it.
func TestLoseImported(t *testing.T) {
	table := NewTable(Limits{MaxClaims: 8, MaxAnswerBytes: 8}, 0)
	table.Claim("own", time.Unix(9, 0))
	table.Import(Entry{Key: "runs", ID: 70, State: Running, Expires: time.Unix(9, 0)})
	table.Import(Entry{Key: "done", ID: 71, State: Done, Expires: time.Unix(9, 0)})
	table.MarkImportedUnknown()
	for key, want := range map[string]State{"own": Running, "runs": Unknown, "done": Done} {
		if entry, _ := table.Lookup(key); entry.State != want {
			t.Errorf("%s: state %d, want %d", key, entry.State, want)
		}
	}
}

// TestLateEndOfAnotherRun shows that the end of an aborted run doesn't end the
// next run of its key.
func TestLateEndOfAnotherRun(t *testing.T) {
	table := NewTable(Limits{MaxClaims: 8, MaxAnswerBytes: 8}, 0)
	first := table.Claim("k", time.Unix(9, 0))
	table.Abort("k", first)
	second := table.Claim("k", time.Unix(9, 0))
	if table.Finish("k", first, Unknown, nil) || table.Abort("k", first) {
		t.Error("the first run's end was taken for the second's")
	}
	if !table.Finish("k", second, Done, nil) {
		t.Error("the second run is not known")
	}
}
