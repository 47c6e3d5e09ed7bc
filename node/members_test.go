package node

import (
	"testing"
	"time"
)

func TestListPauseAfter(t *testing.T) {
	cases := []struct {
		name    string
		lists   int
		present int
		want    time.Duration
	}{
		{"alone at the start", 0, 0, earlyListPause},
		{"alone for long", 50, 0, earlyListPause},
		{"few at the start", 0, largeFleet - 1, earlyListPause},
		{"few later", startupLists, 1, listPause},
		{"many at the start", 0, largeFleet, listPause},
	}
	for _, c := range cases {
		if got := listPauseAfter(c.lists, c.present); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}
