// Package claim stores the claims of a partition: one record per idempotency
// key whose operation is running or was run, with the outcome and the answer.
//
// Its memory is bounded. The caller checks Table.Full before it claims a new
// key, and the table drops the oldest answers when it exceeds their limit.
package claim

import (
	"container/heap"
	"time"
)

// State is the state of a claim.
type State uint8

// States of a claim.
const (
	// Running means that the operation was dispatched and its outcome is not yet
	// recorded.
	Running State = iota + 1
	// Answered means that the operation was run and its answer is stored.
	Answered
	// Done means that the operation was run but its answer is not stored.
	Done
	// Unknown means that the outcome of the run is unknown and will stay so.
	Unknown
)

// Limits bounds the memory of a table.
type Limits struct {
	// MaxClaims is the maximum number of claims.
	MaxClaims int
	// MaxAnswerBytes is the maximum total size of the stored answers.
	MaxAnswerBytes int
}

// Entry is a snapshot of a claim.
type Entry struct {
	// Key is the claimed key.
	Key string
	// ID identifies the run of the key's operation.
	ID uint64
	// State is the state of the claim.
	State State
	// Answer is set if State is Answered.
	Answer *Answer
	// Expires is the wall-clock time from which the claim may be removed.
	Expires time.Time
}

// compactionSlack is added to twice the number of claims to get the length above
// which Table.answered is compacted, so that small tables are not compacted often.
const compactionSlack = 64

// slot is a claim in the table.
type slot struct {
	Entry
	// finished is closed when the run ends. Wait creates it; until then it is nil.
	finished chan struct{}
	// imported is true if the claim was received from another node. While it is
	// in state Running, its operation runs on another node.
	imported bool
	// heapIndex is the index in Table.byExpiry.
	heapIndex int
}

// Table holds the claims of one partition. It is not safe for concurrent use.
type Table struct {
	limits   Limits
	slots    map[string]*slot
	byExpiry expiryHeap
	// answered holds the slots with answers, the oldest answer first. Slots whose
	// answer was dropped remain until they reach the front or a compaction.
	answered []*slot
	// answerBytes is the total size of the stored answers.
	answerBytes int
	nextID      uint64
	// running is the number of claims in state Running.
	running int
}

// NewTable returns an empty table. Its runs get IDs above firstID. firstID must
// be higher than the run IDs in the tables of the node's earlier incarnations,
// so that no ID is used twice.
func NewTable(limits Limits, firstID uint64) *Table {
	return &Table{limits: limits, slots: make(map[string]*slot), nextID: firstID + 1}
}

// Len returns the number of claims.
func (t *Table) Len() int { return len(t.slots) }

// Running returns the number of claims in state Running.
func (t *Table) Running() int { return t.running }

// AnswerBytes returns the total size of the stored answers.
func (t *Table) AnswerBytes() int { return t.answerBytes }

// NextID returns the ID of the next run, which is higher than the IDs of all
// runs that the table has held.
func (t *Table) NextID() uint64 { return t.nextID }

// RaiseNextID makes the table assign no run IDs below id from now on.
func (t *Table) RaiseNextID(id uint64) { t.nextID = max(t.nextID, id) }

// Full reports whether the table has reached its limit of claims. Claim and
// Import don't check the limit.
func (t *Table) Full() bool { return len(t.slots) >= t.limits.MaxClaims }

// Lookup returns the claim of a key. It reports false if the key has none.
func (t *Table) Lookup(key string) (Entry, bool) {
	s, ok := t.slots[key]
	if !ok {
		return Entry{}, false
	}
	return s.Entry, true
}

// Wait returns a channel that is closed when the run of the key's operation ends
// or its claim is removed. It returns nil if the operation is not running.
func (t *Table) Wait(key string) <-chan struct{} {
	s, ok := t.slots[key]
	if !ok || s.State != Running {
		return nil
	}
	if s.finished == nil {
		s.finished = make(chan struct{})
	}
	return s.finished
}

// Claim records that the operation of a key is running and returns the ID of the
// run. The key must not have a claim.
func (t *Table) Claim(key string, expires time.Time) uint64 {
	id := t.nextID
	t.nextID++
	t.insert(Entry{Key: key, ID: id, State: Running, Expires: expires})
	return id
}

// Finish records the outcome of a run: Answered, Done or Unknown. The answer is
// needed for Answered and ignored otherwise. An answer larger than the limit is
// not stored, and the state is then Done. Finish reports whether the run was
// running; otherwise it has no effect.
func (t *Table) Finish(key string, id uint64, state State, answer *Answer) bool {
	s := t.runningSlot(key, id)
	if s == nil {
		return false
	}
	t.running--
	s.State = state
	if state == Answered {
		t.storeAnswer(s, answer)
	}
	s.notifyWaiters()
	return true
}

// Abort removes the claim of an operation that was certainly not executed. It
// reports whether the run was running; otherwise it has no effect.
func (t *Table) Abort(key string, id uint64) bool {
	s := t.runningSlot(key, id)
	if s == nil {
		return false
	}
	t.remove(s)
	return true
}

// Expire removes the claims that expire at now or earlier.
func (t *Table) Expire(now time.Time) {
	for len(t.byExpiry) > 0 && !t.byExpiry[0].Expires.After(now) {
		t.remove(t.byExpiry[0])
	}
}

// Import adds a claim from another node's table, unless the key already has a
// claim. Later runs get IDs above that of the imported claim.
func (t *Table) Import(entry Entry) {
	t.RaiseNextID(entry.ID + 1)
	if _, ok := t.slots[entry.Key]; ok {
		return
	}
	answer := entry.Answer
	entry.Answer = nil
	s := t.insert(entry)
	s.imported = true
	if answer != nil {
		t.storeAnswer(s, answer)
	}
}

// MarkImportedUnknown sets all imported claims that are still running to Unknown.
// It is called when the node that runs them can no longer report their outcomes.
func (t *Table) MarkImportedUnknown() {
	for _, s := range t.slots {
		if s.imported {
			t.Finish(s.Key, s.ID, Unknown, nil)
		}
	}
}

// Entries returns all claims. Claims with answers come first, the oldest answer
// first, so that a table that imports them in this order drops the oldest
// answers when it exceeds its limit.
func (t *Table) Entries() []Entry {
	entries := make([]Entry, 0, len(t.slots))
	for _, s := range t.answered {
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

// insert adds a claim for a key that has none.
func (t *Table) insert(entry Entry) *slot {
	s := &slot{Entry: entry}
	t.slots[entry.Key] = s
	heap.Push(&t.byExpiry, s)
	if entry.State == Running {
		t.running++
	}
	return s
}

// runningSlot returns the slot of a key, or nil if the run with this ID is not
// running.
func (t *Table) runningSlot(key string, id uint64) *slot {
	s, ok := t.slots[key]
	if !ok || s.ID != id || s.State != Running {
		return nil
	}
	return s
}

// storeAnswer stores an answer, and drops the oldest ones while their total size
// exceeds the limit. An answer that exceeds the limit alone is not stored.
func (t *Table) storeAnswer(s *slot, answer *Answer) {
	s.State = Done
	size := answer.Size()
	if size > t.limits.MaxAnswerBytes {
		return
	}
	s.State = Answered
	s.Answer = answer
	t.answered = append(t.answered, s)
	t.answerBytes += size
	for t.answerBytes > t.limits.MaxAnswerBytes {
		t.dropAnswer(t.answered[0])
		t.answered = t.answered[1:]
	}
	t.trimAnswered()
}

// compactAnswered removes the slots without answers from t.answered once its
// length exceeds twice the number of claims plus compactionSlack, which bounds
// its memory.
func (t *Table) compactAnswered() {
	if len(t.answered) <= 2*len(t.slots)+compactionSlack {
		return
	}
	withAnswer := make([]*slot, 0, len(t.slots))
	for _, s := range t.answered {
		if s.Answer != nil {
			withAnswer = append(withAnswer, s)
		}
	}
	t.answered = withAnswer
}

// trimAnswered removes slots without answers from the front of t.answered.
func (t *Table) trimAnswered() {
	for len(t.answered) > 0 && t.answered[0].Answer == nil {
		t.answered[0] = nil
		t.answered = t.answered[1:]
	}
}

// dropAnswer removes the answer of a slot and sets its state to Done. It has no
// effect on a slot without an answer.
func (t *Table) dropAnswer(s *slot) {
	if s.Answer == nil {
		return
	}
	t.answerBytes -= s.Answer.Size()
	s.Answer = nil
	s.State = Done
}

// remove deletes a claim and notifies those that wait for its run.
func (t *Table) remove(s *slot) {
	if s.State == Running {
		t.running--
	}
	t.dropAnswer(s)
	t.trimAnswered()
	t.compactAnswered()
	heap.Remove(&t.byExpiry, s.heapIndex)
	delete(t.slots, s.Key)
	s.notifyWaiters()
}

// notifyWaiters closes the channel that Wait returned, if there is one.
func (s *slot) notifyWaiters() {
	if s.finished != nil {
		close(s.finished)
		s.finished = nil
	}
}

// expiryHeap is a min-heap of slots, ordered by the time at which they expire.
type expiryHeap []*slot

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].Expires.Before(h[j].Expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	s := x.(*slot)
	s.heapIndex = len(*h)
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
