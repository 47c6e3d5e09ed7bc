package assignment

import (
	"slices"

	"github.com/pkg/errors"
)

// Candidate is a node that may own partitions or be a witness.
type Candidate struct {
	// Node is the node's name.
	Node string
	// Incarnation is the current incarnation of the node's process.
	Incarnation uint64
	// DataCentre is the node's data centre.
	DataCentre string
}

// Initial returns the first assignment of a service, with its partitions
// distributed evenly over owners. It fails without an owner or a witness, and
// if the assignment exceeds a limit.
func Initial(service string, owners []Candidate, witnesses []string, partitions int) (*Assignment, error) {
	if len(owners) == 0 || len(witnesses) == 0 {
		return nil, errors.Errorf("assign partitions of %s: no owner or no witness", service)
	}
	ranked := Rank(service, 0, owners)
	a := &Assignment{Witnesses: slices.Clone(witnesses), Epoch: 1}
	for i := range partitions {
		owner := ranked[i%len(ranked)]
		a.Partitions = append(a.Partitions, Partition{Owner: owner.Node, Incarnation: owner.Incarnation, Tenure: 1})
	}
	return a, a.validate()
}

// Takeover returns a copy of the assignment in which a partition has a new
// owner and a higher tenure. The new owner doesn't know the claims of the
// previous one.
func Takeover(a *Assignment, partition int, owner string, incarnation uint64) *Assignment {
	b := a.Clone()
	b.Partitions[partition] = Partition{
		Owner:       owner,
		Incarnation: incarnation,
		Tenure:      a.Partitions[partition].Tenure + 1,
	}
	return b
}

// HandOver returns a copy of the assignment in which a partition has a new
// owner and a higher tenure. The new owner received all claims of the current
// owner in the given transfer.
func HandOver(a *Assignment, partition int, owner string, incarnation, transfer uint64) *Assignment {
	previous := a.Partitions[partition]
	b := Takeover(a, partition, owner, incarnation)
	b.Partitions[partition].Handover = &Handover{From: previous.Owner, Tenure: previous.Tenure, Transfer: transfer}
	return b
}

// ReplaceWitnesses returns a copy of the assignment with new witnesses and a
// higher epoch. The current witnesses become the previous ones, and a lease
// needs a majority of them too until DropPreviousWitnesses removes them. It
// fails while an earlier replacement is in progress, and if the result is not a
// valid assignment.
func ReplaceWitnesses(a *Assignment, witnesses []string) (*Assignment, error) {
	if len(a.PreviousWitnesses) > 0 {
		return nil, errors.New("replace witnesses: an earlier replacement is still in progress")
	}
	b := a.Clone()
	b.PreviousWitnesses = b.Witnesses
	b.Witnesses = slices.Clone(witnesses)
	b.Epoch = a.Epoch + 1
	return b, b.validate()
}

// DropPreviousWitnesses returns a copy of the assignment without previous
// witnesses and with a higher epoch, which completes a replacement. It is safe
// only when a majority of the previous witnesses have refused heartbeats of
// lower epochs for a lease term.
func DropPreviousWitnesses(a *Assignment) *Assignment {
	b := a.Clone()
	b.PreviousWitnesses = nil
	b.Epoch = a.Epoch + 1
	return b
}
