package configstore

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A node that activates versions one after the other, each late, counted as outdated only since the latest
// of them, however far behind it stayed.
func TestMissingVersionsKeepTheTimeOfEach(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var m MissingVersions
	if !m.Since().IsZero() {
		t.Fatal("outdated before anything is known")
	}
	m.Received(3, 3, at(0))
	m.Received(5, 3, at(100))
	m.Received(5, 3, at(150))
	m.Received(4, 3, at(160))
	m.Received(7, 3, at(300))
	if got := m.Since(); got != at(100) {
		t.Errorf("since %v, want that of version 5", got)
	}
	m.Activated(5)
	if got := m.Since(); got != at(300) {
		t.Errorf("since %v, want that of version 7", got)
	}
	m.Activated(9)
	if got := m.Since(); !got.IsZero() {
		t.Errorf("since %v with the newest version", got)
	}
}

// Since is never later than the time at which the node first knew of the lowest version that it lacks, and
// the record stays bounded however many versions there are.
func TestMissingVersionsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m MissingVersions
		active, newest := uint64(0), uint64(0)
		firstKnown := make(map[uint64]time.Time)
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 1000).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "step") == 0 {
				active = rapid.Uint64Range(active, newest).Draw(t, "active")
				m.Activated(active)
				continue
			}
			newest++
			firstKnown[newest] = now
			m.Received(newest, active, now)
		}
		if len(m.known) > maxMissingVersions {
			t.Fatalf("%d versions", len(m.known))
		}
		if since := m.Since(); active < newest && (since.IsZero() || since.After(firstKnown[active+1])) {
			t.Fatalf("since %v, version %d is known since %v", since, active+1, firstKnown[active+1])
		}
	})
}
