package membership

import (
	"cmp"
	"slices"
)

// ring keeps the present members in the order of their places.
type ring struct {
	ids []uint64
	// digest stands for the places.
	digest uint64
}

// add puts a place on the ring.
func (r *ring) add(id uint64) {
	index, found := slices.BinarySearch(r.ids, id)
	if !found {
		r.ids = slices.Insert(r.ids, index, id)
		r.digest ^= id
	}
}

// remove takes a place off the ring.
func (r *ring) remove(id uint64) {
	index, found := slices.BinarySearch(r.ids, id)
	if found {
		r.ids = slices.Delete(r.ids, index, index+1)
		r.digest ^= id
	}
}

// fingers returns the places at distances 1, 2, 4, 8, ... after id, nearest
// first. The place id itself need not be on the ring.
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
