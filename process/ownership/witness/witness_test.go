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

// newReady returns a witness that has read the object at tenure 1, epoch 1,
// and no longer abstains.
func newReady() *Witness {
	c := New(term, 0, 0)
	beat(c, 1, 1, 0)
	c.HandleAssignment(serviceID, object(1, 1), true, 0)
	return c
}

func object(tenure, epoch uint64) *assignment.Assignment {
	return &assignment.Assignment{
		Partitions: []assignment.Partition{{Owner: "n", Tenure: tenure}},
		Witnesses:  []string{"w"},
		Epoch:      epoch,
	}
}

func beat(c *Witness, tenure, epoch uint64, now time.Duration) *message.Refusal {
	reply, _ := c.HandleBeat(&message.Beat{Items: []message.BeatItem{{Service: serviceID, Tenure: tenure, Epoch: epoch}}}, now)
	if len(reply.Refused) == 0 {
		return nil
	}
	return &reply.Refused[0]
}

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
				t.Errorf("%s: step %d: refusal %+v", c.name, i, refusal)
			}
		}
	}
}

func TestWitnessReadsFirst(t *testing.T) {
	c := New(term, 0, 0)
	_, unread := c.HandleBeat(&message.Beat{Items: []message.BeatItem{{Service: serviceID, Tenure: 1, Epoch: 1}}}, 3*term)
	if len(unread) != 1 {
		t.Error("no read wanted")
	}
	c.HandleAssignment(serviceID, object(2, 1), false, 3*term)
	if beat(c, 2, 1, 3*term) == nil {
		t.Error("acknowledged after a peer's word alone")
	}
	c.HandleAssignment(serviceID, object(3, 2), true, 3*term)
	if beat(c, 2, 2, 3*term) == nil || beat(c, 3, 1, 3*term) == nil {
		t.Error("acknowledged less than the object says")
	}
	if beat(c, 3, 2, 3*term) != nil {
		t.Error("refused what the object says")
	}
}

func TestRelease(t *testing.T) {
	c := newReady()
	beat(c, 1, 1, term)
	release := func(tenure uint64) {
		c.HandleBeat(&message.Beat{Releases: []message.Release{{Service: serviceID, Tenure: tenure}}}, term)
	}
	release(2)
	if beat(c, 2, 1, term) == nil {
		t.Error("a release of a tenure that was never acknowledged counted")
	}
	release(1)
	if beat(c, 1, 1, term) == nil {
		t.Error("acknowledged a tenure that was released")
	}
	if beat(c, 2, 1, term) != nil {
		t.Error("made the next tenure wait after the release")
	}
}

func TestSeal(t *testing.T) {
	c := newReady()
	seal := func(epoch uint64, now time.Duration) bool {
		reply, _ := c.HandleSeal(&message.Seal{Service: serviceID, Epoch: epoch}, now)
		return reply.Sealed
	}
	if seal(2, term) || seal(2, 2*term-1) || !seal(2, 2*term) {
		t.Error("sealed before a term had passed, or never")
	}
	if beat(c, 1, 1, 2*term) == nil {
		t.Error("acknowledged a lower epoch after the seal")
	}
}

func TestMemoryIsBounded(t *testing.T) {
	c := New(term, 0, 0)
	for i := range 2 * MaxServices {
		c.HandleBeat(&message.Beat{Items: []message.BeatItem{{Service: string(rune(i)), Partition: 1 << 30, Tenure: 1}}}, term)
	}
	if c.ServiceCount() > MaxServices {
		t.Errorf("%d services", c.ServiceCount())
	}
}
