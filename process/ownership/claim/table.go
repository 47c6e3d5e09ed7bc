// Package claim keeps which keys of a partition were claimed, and what came of
// them. Its memory is bounded: at the limit of claims new keys get no claim,
// and at the limit of kept answers the oldest are dropped.
package claim

import (
	"container/heap"
	"time"
)

// State tells what is known of a claimed key.
type State uint8

// States of a claim.
const (
	// Running means that the operation was dispatched and has not ended.
	Running State = iota + 1
	// Answered means that the operation was run and its answer is kept.
	Answered
	// Done means that the operation was run and its answer is not kept.
	Done
	// Unknown means that the end of the run is not known, and never will be.
	Unknown
)

// Limits bounds the memory of a table.
type Limits struct {
	// MaxClaims is the most claims kept.
	MaxClaims int
	// MaxAnswerBytes is the most bytes of answers kept.
	MaxAnswerBytes int
}

// Entry is a claim as it is at one moment.
type Entry struct {
	// Key is the claimed key.
	Key string
	// ID identifies the run of the key.
	ID uint64
	// State tells what is known.
	State State
	// Answer is set if State is Answered.
	Answer *Answer
	// Expires is the wall-clock time from which the claim may be forgotten.
	Expires time.Time
}

// keptSlack is how many slots without answers are always tolerated.
const keptSlack = 64

// slot is a claim in the table.
type slot struct {
	Entry
	// wait is closed when the run ends. It is made when somebody waits.
	wait chan struct{}
	// imported is true for a run at another node.
	imported bool
	// position is the index in the heap.
	position int
}

// Table is the claims of one partition. It is not safe for concurrent use.
type Table struct {
	limits Limits
	slots  map[string]*slot
	expiry expiryHeap
	// kept are the slots with answers, oldest first. Slots that lost theirs
	// stay until they reach the front.
	kept   []*slot
	bytes  int
	nextID uint64
	// running counts the claims in state Running.
	running int
}

// NewTable returns an empty table. Runs get IDs above firstID, which must be
// higher than those of the tables of the node's former lives.
func NewTable(limits Limits, firstID uint64) *Table {
	return &Table{limits: limits, slots: make(map[string]*slot), nextID: firstID + 1}
}

// Len returns the number of claims.
func (t *Table) Len() int { return len(t.slots) }

// Running returns the number of claims whose runs have not ended.
func (t *Table) Running() int { return t.running }

// AnswerBytes returns the size of the kept answers.
func (t *Table) AnswerBytes() int { return t.bytes }

// NextID returns a number above all IDs of runs in the table so far.
func (t *Table) NextID() uint64 { return t.nextID }

// RaiseNextID makes later runs get IDs from id on.
func (t *Table) RaiseNextID(id uint64) { t.nextID = max(t.nextID, id) }

// Full reports whether the table takes no further claim.
func (t *Table) Full() bool { return len(t.slots) >= t.limits.MaxClaims }

// Lookup returns the claim of a key.
func (t *Table) Lookup(key string) (Entry, bool) {
	s, ok := t.slots[key]
	if !ok {
		return Entry{}, false
	}
	return s.Entry, true
}

// Wait returns a channel that is closed when the key's run ends, or nil if it
// isn't running.
func (t *Table) Wait(key string) <-chan struct{} {
	s, ok := t.slots[key]
	if !ok || s.State != Running {
		return nil
	}
	if s.wait == nil {
		s.wait = make(chan struct{})
	}
	return s.wait
}

// Claim records a run of a key that has no claim and returns its ID.
func (t *Table) Claim(key string, expires time.Time) uint64 {
	id := t.nextID
	t.nextID++
	t.put(Entry{Key: key, ID: id, State: Running, Expires: expires})
	return id
}

// Finish ends a run in one of the final states; with Answered comes the
// answer. It reports whether the run was known and running.
func (t *Table) Finish(key string, id uint64, state State, answer *Answer) bool {
	s := t.runningSlot(key, id)
	if s == nil {
		return false
	}
	t.running--
	s.State = state
	if state == Answered {
		t.keep(s, answer)
	}
	s.wake()
	return true
}

// Abort forgets a run that was proved not run. It reports whether the run was
// known and running.
func (t *Table) Abort(key string, id uint64) bool {
	s := t.runningSlot(key, id)
	if s == nil {
		return false
	}
	t.remove(s)
	return true
}

// Expire forgets claims that expire at now or earlier.
func (t *Table) Expire(now time.Time) {
	for len(t.expiry) > 0 && !t.expiry[0].Expires.After(now) {
		t.remove(t.expiry[0])
	}
}

// Import takes in a claim from another table. What is known already stays.
func (t *Table) Import(entry Entry) {
	t.RaiseNextID(entry.ID + 1)
	if _, ok := t.slots[entry.Key]; ok {
		return
	}
	answer := entry.Answer
	entry.Answer = nil
	s := t.put(entry)
	s.imported = true
	if answer != nil {
		t.keep(s, answer)
	}
}

// MarkImportedUnknown makes the ends of all imported runs unknown, since the node
// that would tell them is gone.
func (t *Table) MarkImportedUnknown() {
	for _, s := range t.slots {
		if s.imported {
			t.Finish(s.Key, s.ID, Unknown, nil)
		}
	}
}

// Entries returns all claims, those with the oldest answers first, so that an
// import drops the oldest ones at the limit.
func (t *Table) Entries() []Entry {
	entries := make([]Entry, 0, len(t.slots))
	for _, s := range t.kept {
		if s.State == Answered {
			entries = append(entries, s.Entry)
		}
	}
	for _, s := range t.slots {
		if s.State != Answered {
			entries = append(entries, s.Entry)
		}
	}
	return entries
}

func (t *Table) put(entry Entry) *slot {
	s := &slot{Entry: entry}
	t.slots[entry.Key] = s
	heap.Push(&t.expiry, s)
	if entry.State == Running {
		t.running++
	}
	return s
}

func (t *Table) runningSlot(key string, id uint64) *slot {
	s, ok := t.slots[key]
	if !ok || s.ID != id || s.State != Running {
		return nil
	}
	return s
}

// keep stores an answer and drops the oldest ones beyond the limit.
func (t *Table) keep(s *slot, answer *Answer) {
	s.State = Done
	size := answer.Size()
	if size > t.limits.MaxAnswerBytes {
		return
	}
	s.State = Answered
	s.Answer = answer
	t.kept = append(t.kept, s)
	t.bytes += size
	for t.bytes > t.limits.MaxAnswerBytes {
		t.drop(t.kept[0])
		t.kept = t.kept[1:]
	}
	t.trimKept()
}

// compactKept rids kept of slots without answers when most are, so that its
// length stays in proportion to the claims.
func (t *Table) compactKept() {
	if len(t.kept) <= 2*len(t.slots)+keptSlack {
		return
	}
	withAnswer := make([]*slot, 0, len(t.slots))
	for _, s := range t.kept {
		if s.Answer != nil {
			withAnswer = append(withAnswer, s)
		}
	}
	t.kept = withAnswer
}

// trimKept removes slots without answers from the front of kept.
func (t *Table) trimKept() {
	for len(t.kept) > 0 && t.kept[0].Answer == nil {
		t.kept[0] = nil
		t.kept = t.kept[1:]
	}
}

// drop takes the answer from a slot.
func (t *Table) drop(s *slot) {
	if s.Answer == nil {
		return
	}
	t.bytes -= s.Answer.Size()
	s.Answer = nil
	s.State = Done
}

func (t *Table) remove(s *slot) {
	if s.State == Running {
		t.running--
	}
	t.drop(s)
	t.trimKept()
	t.compactKept()
	heap.Remove(&t.expiry, s.position)
	delete(t.slots, s.Key)
	s.wake()
}

// wake lets go whoever waits for the run.
func (s *slot) wake() {
	if s.wait != nil {
		close(s.wait)
		s.wait = nil
	}
}

// expiryHeap orders slots by the time at which they expire.
type expiryHeap []*slot

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].Expires.Before(h[j].Expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	s := x.(*slot)
	s.position = len(*h)
	*h = append(*h, s)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
