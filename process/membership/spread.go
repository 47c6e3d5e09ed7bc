package membership

import "slices"

// minCompact is the length from which queues are cleared of void items.
const minCompact = 64

// newsKind says what a piece of news is about.
type newsKind uint8

const (
	newsRecord newsKind = iota
	newsLiveness
	newsRumour
)

// newsKey names a piece of news. The news itself is looked up when it is sent,
// so that it is always the latest.
type newsKey struct {
	kind newsKind
	// id is a member's place, or a rumour's key.
	id uint64
}

// slot is an item of a queue. It is void when the key has moved on since.
type slot struct {
	key   newsKey
	stamp uint64
}

// progress is where a piece of news stands.
type progress struct {
	stamp uint64
	// count is how often the piece was sent, or heard of again.
	count int
}

// spread holds news that travels with the heartbeats. A piece is dropped when
// it was sent, or heard from others, a bounded number of times: then the others
// know. Pieces with the lowest count go first.
type spread struct {
	// levels holds the pieces by their count.
	levels [][]slot
	pieces map[newsKey]progress
	next   uint64
}

// push has a piece of news sent anew. Its memory is bounded by the number of
// members and rumours, since a key is held once.
func (s *spread) push(key newsKey) {
	s.put(key, 0)
}

// put queues a piece with a count.
func (s *spread) put(key newsKey, count int) {
	if s.pieces == nil {
		s.pieces = make(map[newsKey]progress)
	}
	s.next++
	s.pieces[key] = progress{stamp: s.next, count: count}
	for len(s.levels) <= count {
		s.levels = append(s.levels, nil)
	}
	if len(s.levels[count]) > 2*len(s.pieces)+minCompact {
		s.levels[count] = slices.DeleteFunc(s.levels[count], s.void)
	}
	s.levels[count] = append(s.levels[count], slot{key: key, stamp: s.next})
}

// void reports whether an item was dropped or has moved on.
func (s *spread) void(item slot) bool {
	return s.pieces[item.key].stamp != item.stamp
}

// drop takes a piece of news out.
func (s *spread) drop(key newsKey) {
	delete(s.pieces, key)
}

// heard notes that another node passed a piece on that this node knows.
func (s *spread) heard(key newsKey, limit int) {
	if p, ok := s.pieces[key]; ok {
		s.advance(key, p.count+1, limit)
	}
}

// advance moves a piece to a count, and drops it at the limit.
func (s *spread) advance(key newsKey, count, limit int) {
	if count >= limit {
		s.drop(key)
		return
	}
	s.put(key, count)
}

// take offers pieces to use, those with the lowest count first, until use
// returns false.
func (s *spread) take(limit int, use func(newsKey) bool) {
	var sent []newsKey
	full := false
	for count := 0; count < len(s.levels) && !full; count++ {
		sent, full = s.takeLevel(count, sent, use)
	}
	for _, key := range sent {
		s.advance(key, s.pieces[key].count+1, limit)
	}
}

// takeLevel offers the pieces of one count. It returns the pieces used so far,
// and whether use has had enough.
func (s *spread) takeLevel(count int, sent []newsKey, use func(newsKey) bool) ([]newsKey, bool) {
	queue := s.levels[count]
	defer func() { s.levels[count] = queue }()
	for len(queue) > 0 {
		item := queue[0]
		if !s.void(item) {
			if !use(item.key) {
				return sent, true
			}
			sent = append(sent, item.key)
		}
		queue = queue[1:]
	}
	return sent, false
}
