package membership

import (
	"cmp"
	"slices"
)

// ring keeps the present members in the order of their places.
type ring struct {
	places []uint64
	// sum stands for the places.
	sum uint64
}

// add puts a place on the ring.
func (r *ring) add(id uint64) {
	at, found := slices.BinarySearch(r.places, id)
	if !found {
		r.places = slices.Insert(r.places, at, id)
		r.sum ^= id
	}
}

// remove takes a place off the ring.
func (r *ring) remove(id uint64) {
	at, found := slices.BinarySearch(r.places, id)
	if found {
		r.places = slices.Delete(r.places, at, at+1)
		r.sum ^= id
	}
}

// fingers returns the places at distances 1, 2, 4, 8, ... after id, nearest
// first. The place id itself need not be on the ring.
func (r *ring) fingers(id uint64) []uint64 {
	start, found := slices.BinarySearch(r.places, id)
	others := len(r.places)
	if found {
		others--
	} else {
		start--
	}
	var fingers []uint64
	for distance := 1; distance <= others; distance *= 2 {
		at := (start + distance) % len(r.places)
		fingers = append(fingers, r.places[at])
	}
	return fingers
}

// byNode orders members by name.
func byNode(a, b Member) int {
	return cmp.Compare(a.Node, b.Node)
}
