package assignment

import (
	"slices"

	"github.com/pkg/errors"
)

// Candidate is a node that may own partitions or be a witness.
type Candidate struct {
	// Node is the node's name.
	Node string
	// Incarnation is the present life of its process.
	Incarnation uint64
	// DataCentre is the node's data centre.
	DataCentre string
}

// Initial returns the first assignment of a service, with its partitions
// spread evenly over owners. There must be at least one owner and one witness.
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

// Takeover returns the assignment with a partition given to a new owner that
// doesn't know the former owner's claims.
func Takeover(a *Assignment, partition int, owner string, incarnation uint64) *Assignment {
	b := a.Clone()
	b.Partitions[partition] = Partition{
		Owner:       owner,
		Incarnation: incarnation,
		Tenure:      a.Partitions[partition].Tenure + 1,
	}
	return b
}

// HandOver returns the assignment with a partition given to a new owner that
// received all claims of the present one in the transfer.
func HandOver(a *Assignment, partition int, owner string, incarnation, transfer uint64) *Assignment {
	former := a.Partitions[partition]
	b := Takeover(a, partition, owner, incarnation)
	b.Partitions[partition].Handover = &Handover{From: former.Owner, Tenure: former.Tenure, Transfer: transfer}
	return b
}

// ReplaceWitnesses returns the assignment with new witnesses. Until
// DropPreviousWitnesses, a lease needs a majority of the old ones too. It
// fails while an earlier change is not ended.
func ReplaceWitnesses(a *Assignment, witnesses []string) (*Assignment, error) {
	if len(a.PreviousWitnesses) > 0 {
		return nil, errors.New("replace witnesses: the last replacement is not ended")
	}
	b := a.Clone()
	b.PreviousWitnesses = b.Witnesses
	b.Witnesses = slices.Clone(witnesses)
	b.Epoch = a.Epoch + 1
	return b, b.validate()
}

// DropPreviousWitnesses ends a replacement. It is safe only when a majority of
// the previous witnesses have refused beats of lower epochs for a term.
func DropPreviousWitnesses(a *Assignment) *Assignment {
	b := a.Clone()
	b.PreviousWitnesses = nil
	b.Epoch = a.Epoch + 1
	return b
}
