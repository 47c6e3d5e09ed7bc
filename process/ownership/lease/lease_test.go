package lease

import (
	"testing"
	"time"
)

func TestLease(t *testing.T) {
	const second = time.Second
	type ack struct {
		witness string
		sent    time.Duration
	}
	cases := []struct {
		name                string
		witnesses, previous []string
		acks                []ack
		until               time.Duration
		ok                  bool
	}{
		{"none", []string{"a", "b", "c"}, nil, nil, 0, false},
		{"minority", []string{"a", "b", "c"}, nil, []ack{{"a", 5 * second}}, 0, false},
		{"majority counts from the earlier", []string{"a", "b", "c"}, nil, []ack{{"a", 5 * second}, {"b", 3 * second}}, 13 * second, true},
		{"third doesn't shorten", []string{"a", "b", "c"}, nil, []ack{{"a", 5 * second}, {"b", 3 * second}, {"c", 1}}, 13 * second, true},
		{"late reply to an old heartbeat", []string{"a"}, nil, []ack{{"a", 5 * second}, {"a", 3 * second}}, 15 * second, true},
		{"strangers don't count", []string{"a", "b", "c"}, nil, []ack{{"a", 1}, {"x", 1}, {"y", 1}}, 0, false},
		{"even number", []string{"a", "b"}, nil, []ack{{"a", 5 * second}}, 0, false},
		{"joint needs both", []string{"a"}, []string{"b"}, []ack{{"a", 5 * second}}, 0, false},
		{"joint counts from the earlier", []string{"a"}, []string{"b"}, []ack{{"a", 5 * second}, {"b", 2 * second}}, 12 * second, true},
	}
	for _, c := range cases {
		l := New(10 * second)
		l.SetWitnesses(c.witnesses, c.previous)
		for _, a := range c.acks {
			l.Acknowledge(a.witness, a.sent)
		}
		until, ok := l.Expiry()
		if ok != c.ok || ok && until != c.until {
			t.Errorf("%s: expiry %v %v, want %v %v", c.name, until, ok, c.until, c.ok)
		}
		if c.ok && (!l.Valid(until) || l.Valid(until+1)) {
			t.Errorf("%s: not valid up to exactly %v", c.name, until)
		}
	}
}

// TestLeaseDuringWitnessChange checks that a change of the witnesses neither shortens
// nor extends the current lease, and that it is then extended only by a majority
// of both sets.
func TestLeaseDuringWitnessChange(t *testing.T) {
	l := New(10 * time.Second)
	l.SetWitnesses([]string{"a"}, nil)
	l.Acknowledge("a", 5*time.Second)
	l.SetWitnesses([]string{"b"}, []string{"a"})
	l.Acknowledge("a", 7*time.Second)
	if until, ok := l.Expiry(); !ok || until != 15*time.Second {
		t.Errorf("expiry %v %v after the change, want 15s true", until, ok)
	}
	l.Acknowledge("b", 6*time.Second)
	if until, _ := l.Expiry(); until != 16*time.Second {
		t.Errorf("expiry %v after both sets acknowledged, want 16s", until)
	}
}
