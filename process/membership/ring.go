package membership

import (
	"cmp"
	"slices"
)

// ring holds the ring IDs of the present members in ascending order. This
// node's own ID is always among them.
type ring struct {
	ids []uint64
	// digest is the XOR of the IDs.
	digest uint64
}

// add inserts an ID unless it is on the ring already.
func (r *ring) add(id uint64) {
	index, found := slices.BinarySearch(r.ids, id)
	if !found {
		r.ids = slices.Insert(r.ids, index, id)
		r.digest ^= id
	}
}

// remove deletes an ID if it is on the ring.
func (r *ring) remove(id uint64) {
	index, found := slices.BinarySearch(r.ids, id)
	if found {
		r.ids = slices.Delete(r.ids, index, index+1)
		r.digest ^= id
	}
}

// fingers returns the IDs at distances 1, 2, 4, 8, ... after id, nearest first,
// similar to the finger table of Chord. The ring need not contain id itself.
func (r *ring) fingers(id uint64) []uint64 {
	start, found := slices.BinarySearch(r.ids, id)
	others := len(r.ids)
	if found {
		others--
	} else {
		start--
	}
	var fingers []uint64
	for distance := 1; distance <= others; distance *= 2 {
		index := (start + distance) % len(r.ids)
		fingers = append(fingers, r.ids[index])
	}
	return fingers
}

// byNode orders members by name.
func byNode(a, b Member) int {
	return cmp.Compare(a.Node, b.Node)
}
