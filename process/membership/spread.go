package membership

import "slices"

// minCompact is the length from which queues are cleared of void items.
const minCompact = 64

// newsKind says what a piece of news is about.
type newsKind uint8

const (
	newsRecord newsKind = iota
	newsLiveness
	newsVersion
	newsRumour
	newsKinds
)

// newsKey names a piece of news. The news itself is looked up when it is sent,
// so that it is always the latest.
type newsKey struct {
	kind newsKind
	// id is a member's place, or a rumour's key.
	id uint64
}

// slot is an item of a queue. It is void when the key was pushed again later.
type slot struct {
	key   newsKey
	stamp uint64
}

// spread holds news that travels with the heartbeats, each piece a bounded
// number of times. Pieces that were sent least often go first.
type spread struct {
	// levels holds the pieces by how often they were sent.
	levels [][]slot
	stamps map[newsKey]uint64
	next   uint64
}

// push has a piece of news sent anew. Its memory is bounded by the number of
// members and rumours, since a key is held once.
func (s *spread) push(key newsKey) {
	if s.stamps == nil {
		s.stamps = make(map[newsKey]uint64)
	}
	s.next++
	s.stamps[key] = s.next
	s.put(0, slot{key: key, stamp: s.next})
}

func (s *spread) put(level int, item slot) {
	for len(s.levels) <= level {
		s.levels = append(s.levels, nil)
	}
	if len(s.levels[level]) > 2*len(s.stamps)+minCompact {
		s.levels[level] = slices.DeleteFunc(s.levels[level], s.void)
	}
	s.levels[level] = append(s.levels[level], item)
}

// void reports whether an item was dropped or pushed again.
func (s *spread) void(item slot) bool {
	return s.stamps[item.key] != item.stamp
}

// drop takes a piece of news out.
func (s *spread) drop(key newsKey) {
	delete(s.stamps, key)
}

// take offers pieces to use, those sent least often first, until use returns
// false. A piece that was used limit times is dropped.
func (s *spread) take(limit int, use func(newsKey) bool) {
	var sent []slot
	var levels []int
	for level := range s.levels {
		queue := s.levels[level]
		for len(queue) > 0 {
			item := queue[0]
			if s.void(item) {
				queue = queue[1:]
				continue
			}
			if !use(item.key) {
				break
			}
			queue = queue[1:]
			sent = append(sent, item)
			levels = append(levels, level+1)
		}
		s.levels[level] = queue
		if len(queue) > 0 {
			break
		}
	}
	for i, item := range sent {
		if levels[i] >= limit {
			s.drop(item.key)
			continue
		}
		s.put(levels[i], item)
	}
}
