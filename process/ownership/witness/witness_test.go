package witness

import (
	"testing"
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/message"
)

const (
	term      = 2 * time.Second
	serviceID = "org/service"
)

// newReady returns a witness that started at time 0 and has read the object at
// tenure 1, epoch 1. It abstains until the time term.
func newReady() *Witness {
	w := New(term, 0, 0)
	beat(w, 1, 1, 0)
	w.HandleAssignment(serviceID, object(1, 1), true, 0)
	return w
}

func object(tenure, epoch uint64) *assignment.Assignment {
	return &assignment.Assignment{
		Partitions: []assignment.Partition{{Owner: "n", Tenure: tenure}},
		Witnesses:  []string{"w"},
		Epoch:      epoch,
	}
}

func beat(w *Witness, tenure, epoch uint64, now time.Duration) *message.Refusal {
	reply, _ := w.HandleBeat(&message.Beat{Items: []message.BeatItem{{Service: serviceID, Tenure: tenure, Epoch: epoch}}}, now)
	if len(reply.Refused) == 0 {
		return nil
	}
	return &reply.Refused[0]
}

// TestWitness checks which sequences of heartbeats a witness acknowledges. If it
// acknowledged two tenures within a lease term, two owners could hold a lease at
// the same time.
func TestWitness(t *testing.T) {
	type step struct {
		tenure, epoch uint64
		at            time.Duration
		granted       bool
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"abstains after start", []step{{1, 1, term - 1, false}, {1, 1, term, true}}},
		{"higher tenure waits a term", []step{{1, 1, term, true}, {2, 1, 2*term - 1, false}, {2, 1, 2 * term, true}}},
		{"lower tenure never", []step{{2, 1, term, true}, {1, 1, 9 * term, false}}},
		{"a try of a higher tenure ends the lower", []step{{1, 1, term, true}, {2, 1, term + 1, false}, {1, 1, term + 2, false}}},
		{"lower epoch never", []step{{1, 2, term, true}, {1, 1, 9 * term, false}}},
	}
	for _, c := range cases {
		w := newReady()
		for i, s := range c.steps {
			if refusal := beat(w, s.tenure, s.epoch, s.at); (refusal == nil) != s.granted {
				t.Errorf("%s: step %d: refusal %+v, want acknowledged %v", c.name, i, refusal, s.granted)
			}
		}
	}
}

// TestWitnessReadsFirst checks that a witness acknowledges nothing before it has
// read the object from the platform. An object from a peer may be older than the
// tenure or epoch that an earlier incarnation of the witness acknowledged.
func TestWitnessReadsFirst(t *testing.T) {
	w := New(term, 0, 0)
	_, unread := w.HandleBeat(&message.Beat{Items: []message.BeatItem{{Service: serviceID, Tenure: 1, Epoch: 1}}}, 3*term)
	if len(unread) != 1 {
		t.Error("the unread object was not reported")
	}
	w.HandleAssignment(serviceID, object(2, 1), false, 3*term)
	if beat(w, 2, 1, 3*term) == nil {
		t.Error("acknowledged although only a peer sent the object")
	}
	w.HandleAssignment(serviceID, object(3, 2), true, 3*term)
	if beat(w, 2, 2, 3*term) == nil || beat(w, 3, 1, 3*term) == nil {
		t.Error("acknowledged a lower tenure or epoch than in the object")
	}
	if beat(w, 3, 2, 3*term) != nil {
		t.Error("refused the tenure and epoch in the object")
	}
}

// TestRelease checks that a release lets the next tenure start without waiting for
// a lease term, that the released tenure is not acknowledged again, and that a
// release of any other tenure has no effect.
func TestRelease(t *testing.T) {
	w := newReady()
	beat(w, 1, 1, term)
	release := func(tenure uint64) {
		w.HandleBeat(&message.Beat{Releases: []message.Release{{Service: serviceID, Tenure: tenure}}}, term)
	}
	release(2)
	if beat(w, 2, 1, term) == nil {
		t.Error("the release of a tenure that was never acknowledged had an effect")
	}
	release(1)
	if beat(w, 1, 1, term) == nil {
		t.Error("acknowledged a released tenure")
	}
	if beat(w, 2, 1, term) != nil {
		t.Error("refused the next tenure after the release")
	}
}

// TestSeal checks that a witness reports itself sealed only after it has refused
// lower epochs for a lease term. If it did so earlier, the previous witnesses could
// be removed while a lease that they granted is still valid.
func TestSeal(t *testing.T) {
	w := newReady()
	seal := func(epoch uint64, now time.Duration) bool {
		reply, _ := w.HandleSeal(&message.Seal{Service: serviceID, Epoch: epoch}, now)
		return reply.Sealed
	}
	if seal(2, term) || seal(2, 2*term-1) || !seal(2, 2*term) {
		t.Error("not sealed after exactly one lease term")
	}
	if beat(w, 1, 1, 2*term) == nil {
		t.Error("acknowledged a heartbeat of a lower epoch after the seal")
	}
}

// TestMemoryIsBounded checks that heartbeats of many services, or for a partition
// number out of range, don't let the state of a witness grow without bound.
func TestMemoryIsBounded(t *testing.T) {
	w := New(term, 0, 0)
	for i := range 2 * MaxServices {
		w.HandleBeat(&message.Beat{Items: []message.BeatItem{{Service: string(rune(i)), Partition: 1 << 30, Tenure: 1}}}, term)
	}
	if w.ServiceCount() > MaxServices {
		t.Errorf("state of %d services, want at most %d", w.ServiceCount(), MaxServices)
	}
}
