package membership

import "slices"

// minCompactLength is the length from which queues are cleared of void items.
const minCompactLength = 64

// updateKind says what a piece of news is about.
type updateKind uint8

const (
	recordUpdate updateKind = iota
	livenessUpdate
	rumourUpdate
)

// updateKey names a piece of news. The news itself is looked up when it is sent,
// so that it is always the latest.
type updateKey struct {
	kind updateKind
	// id is a member's place, or a rumour's key.
	id uint64
}

// queueItem is an item of a queue. It is void when the key has moved on since.
type queueItem struct {
	key   updateKey
	stamp uint64
}

// queueState is where a piece of news stands.
type queueState struct {
	stamp uint64
	// count is how often the piece was sent, or heard of again.
	count int
}

// updateQueue holds news that travels with the heartbeats. A piece is dropped when
// it was sent, or heard from others, a bounded number of times: then the others
// know. Pieces with the lowest count go first.
type updateQueue struct {
	// byCount holds the pieces by their count.
	byCount   [][]queueItem
	states    map[updateKey]queueState
	lastStamp uint64
}

// push has a piece of news sent anew. Its memory is bounded by the number of
// members and rumours, since a key is held once.
func (q *updateQueue) push(key updateKey) {
	q.enqueue(key, 0)
}

// enqueue queues a piece with a count.
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

// stale reports whether an item was dropped or has moved on.
func (q *updateQueue) stale(item queueItem) bool {
	return q.states[item.key].stamp != item.stamp
}

// drop takes a piece of news out.
func (q *updateQueue) drop(key updateKey) {
	delete(q.states, key)
}

// countReceipt notes that another node passed a piece on that this node knows.
func (q *updateQueue) countReceipt(key updateKey, limit int) {
	if p, ok := q.states[key]; ok {
		q.advance(key, p.count+1, limit)
	}
}

// advance moves a piece to a count, and drops it at the limit.
func (q *updateQueue) advance(key updateKey, count, limit int) {
	if count >= limit {
		q.drop(key)
		return
	}
	q.enqueue(key, count)
}

// take offers pieces to use, those with the lowest count first, until use
// returns false.
func (q *updateQueue) take(limit int, use func(updateKey) bool) {
	var sent []updateKey
	full := false
	for count := 0; count < len(q.byCount) && !full; count++ {
		sent, full = q.takeCount(count, sent, use)
	}
	for _, key := range sent {
		q.advance(key, q.states[key].count+1, limit)
	}
}

// takeCount offers the pieces of one count. It returns the pieces used so far,
// and whether use has had enough.
func (q *updateQueue) takeCount(count int, sent []updateKey, use func(updateKey) bool) ([]updateKey, bool) {
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
