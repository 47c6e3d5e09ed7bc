package membership

import "slices"

// minCompactLength is the least length at which stale items are deleted from a
// queue.
const minCompactLength = 64

// updateKind is the kind of an update.
type updateKind uint8

const (
	recordUpdate updateKind = iota
	livenessUpdate
	rumourUpdate
)

// updateKey identifies an update. Its content is looked up when it is sent, so
// that the current state is sent.
type updateKey struct {
	kind updateKind
	// id is the ring ID of a member or the key of a rumour.
	id uint64
}

// queueItem is an item of a queue. It is stale when the stamp of its key is no
// longer the same, because the update was dropped or queued again.
type queueItem struct {
	key   updateKey
	stamp uint64
}

// queueState is the current state of a queued update.
type queueState struct {
	stamp uint64
	// count is how often the update was sent, or received again from others.
	count int
}

// updateQueue holds the updates that are sent with the heartbeats. An update is
// dropped after it was sent, or received again from others, a bounded number of
// times, because then most members have it. Updates with the lowest count are
// sent first.
type updateQueue struct {
	// byCount holds a queue for each count, oldest item first.
	byCount   [][]queueItem
	states    map[updateKey]queueState
	lastStamp uint64
}

// push queues an update with count 0, also when it is queued already. The
// memory of the queue is bounded by the number of members and rumours, since
// each key has one state and stale items are deleted.
func (q *updateQueue) push(key updateKey) {
	q.enqueue(key, 0)
}

// enqueue queues an update with a count; an earlier item of it becomes stale.
func (q *updateQueue) enqueue(key updateKey, count int) {
	if q.states == nil {
		q.states = make(map[updateKey]queueState)
	}
	q.lastStamp++
	q.states[key] = queueState{stamp: q.lastStamp, count: count}
	for len(q.byCount) <= count {
		q.byCount = append(q.byCount, nil)
	}
	if len(q.byCount[count]) > 2*len(q.states)+minCompactLength {
		q.byCount[count] = slices.DeleteFunc(q.byCount[count], q.stale)
	}
	q.byCount[count] = append(q.byCount[count], queueItem{key: key, stamp: q.lastStamp})
}

// stale reports whether the update of an item was dropped or queued again.
func (q *updateQueue) stale(item queueItem) bool {
	return q.states[item.key].stamp != item.stamp
}

// drop removes an update from the queue.
func (q *updateQueue) drop(key updateKey) {
	delete(q.states, key)
}

// countReceipt counts that a queued update was received from another node. The
// update is dropped when its count reaches limit.
func (q *updateQueue) countReceipt(key updateKey, limit int) {
	if state, ok := q.states[key]; ok {
		q.advance(key, state.count+1, limit)
	}
}

// advance queues an update with a higher count, or drops it at the limit.
func (q *updateQueue) advance(key updateKey, count, limit int) {
	if count >= limit {
		q.drop(key)
		return
	}
	q.enqueue(key, count)
}

// take passes updates to use, those with the lowest count first, until use
// returns false, which leaves that update in the queue. The count of each used
// update is increased; at limit it is dropped.
func (q *updateQueue) take(limit int, use func(updateKey) bool) {
	var sent []updateKey
	full := false
	for count := 0; count < len(q.byCount) && !full; count++ {
		sent, full = q.takeWithCount(count, sent, use)
	}
	for _, key := range sent {
		q.advance(key, q.states[key].count+1, limit)
	}
}

// takeWithCount passes the updates with one count to use. It appends the used
// updates to sent, and reports whether use returned false.
func (q *updateQueue) takeWithCount(count int, sent []updateKey, use func(updateKey) bool) ([]updateKey, bool) {
	queue := q.byCount[count]
	defer func() { q.byCount[count] = queue }()
	for len(queue) > 0 {
		item := queue[0]
		if !q.stale(item) {
			if !use(item.key) {
				return sent, true
			}
			sent = append(sent, item.key)
		}
		queue = queue[1:]
	}
	return sent, false
}
