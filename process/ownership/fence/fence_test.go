package fence

import (
	"testing"
	"time"

	"github.com/google/uuid"
)

func TestKeyTime(t *testing.T) {
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	sec, nsec := id.Time().UnixTime()
	want := time.Unix(sec, nsec).Truncate(time.Millisecond)
	got, ok := KeyTime(id.String())
	if !ok || !got.Equal(want) {
		t.Errorf("got %v %v, want %v", got, ok, want)
	}
	for _, key := range []string{"", "booking-17", uuid.NewString(), id.String()[:35], "{" + id.String() + "}", "urn:uuid:" + id.String()} {
		if _, ok := KeyTime(key); ok {
			t.Errorf("%q is dated", key)
		}
	}
}

func TestFence(t *testing.T) {
	begin := time.Unix(1000, 0)
	const skew, window = 250 * time.Millisecond, 10 * time.Second
	none, f := Fence{}, ForSuccessor(begin, skew, window)
	edge := begin.Add(2 * skew)
	cases := []struct {
		name string
		got  bool
		want bool
	}{
		{"no predecessor, dated", none.BlocksDated(begin), false},
		{"no predecessor, undated", none.BlocksUndated(begin), false},
		{"at the edge", f.BlocksDated(edge), true},
		{"past the edge", f.BlocksDated(edge.Add(time.Millisecond)), false},
		{"undated within the window", f.BlocksUndated(edge.Add(window)), true},
		{"undated after the window", f.BlocksUndated(edge.Add(window + 1)), false},
	}
	for _, c := range cases {
		if c.got != c.want {
			t.Errorf("%s: got %v", c.name, c.got)
		}
	}
}
