package soak

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against a check that misses requests beyond the bound of a cold target, such as those
// that two processes of a node sent, and against one that counts requests to a warm target or
// requests that waited for longer than a second.
func TestCheckCold(t *testing.T) {
	type burst struct {
		count                   int
		sentMillis, startMillis int64
		warm                    bool
	}
	for name, test := range map[string]struct {
		bursts []burst
		want   string
	}{
		"as many as allowed":            {[]burst{{count: 33, sentMillis: 100, startMillis: 110}}, ""},
		"one more":                      {[]burst{{count: 34, sentMillis: 100, startMillis: 110}}, "cold"},
		"by two processes of the node":  {[]burst{{count: 26, sentMillis: 100, startMillis: 110}, {count: 8, sentMillis: 900, startMillis: 1099}}, "cold"},
		"after a second":                {[]burst{{count: 26, sentMillis: 100, startMillis: 110}, {count: 26, sentMillis: 900, startMillis: 1100}}, ""},
		"one that had waited":           {[]burst{{count: 1, sentMillis: 50, startMillis: 1090}, {count: 33, sentMillis: 100, startMillis: 1099}}, ""},
		"a warm target":                 {[]burst{{count: 90, sentMillis: 100, startMillis: 110, warm: true}}, ""},
		"an earlier one, not yet there": {[]burst{{count: 33, sentMillis: 100, startMillis: 900}, {count: 1, sentMillis: 99, startMillis: 1098}}, "cold"},
	} {
		var callers []CallerRecord
		var runs []RunRecord
		for _, b := range test.bursts {
			for range b.count {
				id := fmt.Sprint("r", len(callers))
				callers = append(callers, CallerRecord{ID: id, EndMillis: b.sentMillis + 2000, DurationMillis: 2000})
				runs = append(runs, RunRecord{ID: id, Instance: "i-1", StartMillis: b.startMillis, Cold: !b.warm})
			}
		}
		var result Result
		result.checkCold(callers, runs)
		if got := strings.Join(result.Violations, "; "); test.want == "" && got != "" || !strings.Contains(got, test.want) {
			t.Errorf("%s: %q", name, got)
		}
	}
}
