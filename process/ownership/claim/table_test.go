package claim

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
)

// TestTableBounds runs random operations on a table. It checks that the table
// stays within its limits, that its counters are correct, and that no claim is
// removed before it expires.
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
		t.Fatalf("counted %d bytes and %d running, the table reports %d and %d", bytes, running, table.AnswerBytes(), table.Running())
	}
	if len(table.answered) > 2*len(table.slots)+compactionSlack {
		t.Fatalf("list of answers has %d slots for %d claims", len(table.answered), len(table.slots))
	}
	for key, end := range expires {
		if _, known := table.Lookup(key); !known && end.After(now) {
			t.Fatalf("claim %s was removed %v before it expires", key, end.Sub(now))
		}
	}
}

// TestWaitEndsWithRun checks that the channel of Wait is closed however the run ends.
// Otherwise a request with the same key would wait until its timeout.
func TestWaitEndsWithRun(t *testing.T) {
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
			t.Errorf("%s: the run was not running", name)
		}
		select {
		case <-wait:
		default:
			t.Errorf("%s: the channel of Wait was not closed", name)
		}
	}
}

// TestMarkImportedUnknown checks that only runs on another node become unknown when
// that node can no longer report their outcomes.
func TestMarkImportedUnknown(t *testing.T) {
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

// TestLateResultOfAnotherRunIsIgnored checks that a late result of an aborted run is not
// recorded for the next run of the same key.
func TestLateResultOfAnotherRunIsIgnored(t *testing.T) {
	table := NewTable(Limits{MaxClaims: 8, MaxAnswerBytes: 8}, 0)
	first := table.Claim("k", time.Unix(9, 0))
	table.Abort("k", first)
	second := table.Claim("k", time.Unix(9, 0))
	if table.Finish("k", first, Unknown, nil) || table.Abort("k", first) {
		t.Error("the result of the first run was recorded for the second")
	}
	if !table.Finish("k", second, Done, nil) {
		t.Error("the second run was not running")
	}
}
