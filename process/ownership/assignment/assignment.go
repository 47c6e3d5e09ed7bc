// Package assignment defines the content of a service's ownership object. The
// object is stored on the platform and names the owner of each partition of the
// service's key space and the service's witnesses.
//
// No function changes its arguments. A function that computes a new assignment
// returns a copy, which takes effect only when a conditional write of the
// ownership object succeeds.
package assignment

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Limits and defaults of an assignment.
const (
	// MaxPartitions is the maximum number of partitions of a service.
	MaxPartitions = 64
	// DefaultWitnesses is the number of witnesses of a service if there are
	// enough nodes.
	DefaultWitnesses = 5
	// MaxWitnesses is the maximum number of witnesses of a service.
	MaxWitnesses = 15
)

const keyPrefix = "ownership/"

// Prefix returns the prefix of the keys of all ownership objects.
func Prefix() string { return keyPrefix }

// Key returns the key of the ownership object of a service.
func Key(service string) string { return keyPrefix + service }

// ServiceOf returns the service whose ownership object has the key. It reports
// false if the key is not the key of an ownership object.
func ServiceOf(key string) (service string, ok bool) {
	return strings.CutPrefix(key, keyPrefix)
}

// Handover records that the previous owner of a partition transferred its
// claims to the new owner.
type Handover struct {
	// From is the name of the previous owner.
	From string `json:"from"`
	// Tenure is the previous owner's tenure, which ended with the handover.
	Tenure uint64 `json:"tenure"`
	// Transfer identifies the transfer in which the new owner received the
	// claims.
	Transfer uint64 `json:"transfer"`
}

// Partition is the assignment of one partition of a service's key space.
type Partition struct {
	// Owner is the name of the node that may accept operations for the keys of
	// the partition. Before it does, it also needs a lease.
	Owner string `json:"owner"`
	// Incarnation is the incarnation of the owner's process that owns the
	// partition. A restarted process doesn't own it.
	Incarnation uint64 `json:"incarnation"`
	// Tenure starts at 1 and increases with each change of the owner.
	Tenure uint64 `json:"tenure"`
	// Handover is set if the previous owner transferred its claims.
	Handover *Handover `json:"handover,omitempty"`
}

// Assignment is the content of a service's ownership object.
type Assignment struct {
	// Partitions are the partitions of the key space. Their number never changes.
	Partitions []Partition `json:"partitions"`
	// Witnesses are the names of the nodes whose acknowledgements grant an owner
	// its lease.
	Witnesses []string `json:"witnesses"`
	// PreviousWitnesses is set while the witnesses are being replaced. During
	// that time a lease needs a majority of both sets, as in joint consensus.
	PreviousWitnesses []string `json:"previous_witnesses,omitempty"`
	// Epoch starts at 1 and increases with each change of the witnesses.
	Epoch uint64 `json:"epoch"`
}

// PartitionOf returns the index of the partition that a key belongs to, for a
// service with the given number of partitions.
func PartitionOf(key string, partitions int) int {
	return int(xxhash.Sum64String(key) % uint64(partitions))
}

// Encode returns the assignment as JSON.
func (a *Assignment) Encode() ([]byte, error) {
	data, err := json.Marshal(a)
	return data, errors.Wrap(err, "encode assignment")
}

// Decode parses and validates an assignment in JSON.
func Decode(data []byte) (*Assignment, error) {
	a := &Assignment{}
	if err := json.Unmarshal(data, a); err != nil {
		return nil, errors.Wrap(err, "decode assignment")
	}
	if err := a.validate(); err != nil {
		return nil, errors.Wrap(err, "decode assignment")
	}
	return a, nil
}

func (a *Assignment) validate() error {
	if n := len(a.Partitions); n < 1 || n > MaxPartitions {
		return errors.Errorf("number of partitions %d is outside 1..%d", n, MaxPartitions)
	}
	if n := len(a.Witnesses); n < 1 || n > MaxWitnesses {
		return errors.Errorf("number of witnesses %d is outside 1..%d", n, MaxWitnesses)
	}
	if n := len(a.PreviousWitnesses); n > MaxWitnesses {
		return errors.Errorf("number of previous witnesses %d exceeds %d", n, MaxWitnesses)
	}
	if a.Epoch < 1 {
		return errors.New("epoch is missing or zero")
	}
	for i, p := range a.Partitions {
		if p.Owner == "" || p.Tenure < 1 {
			return errors.Errorf("partition %d has no owner or no tenure", i)
		}
	}
	return nil
}

// Clone returns a copy of the assignment. Its slices are copied too, but the
// Handover values are shared and must not be modified.
func (a *Assignment) Clone() *Assignment {
	b := *a
	b.Partitions = slices.Clone(a.Partitions)
	b.Witnesses = slices.Clone(a.Witnesses)
	b.PreviousWitnesses = slices.Clone(a.PreviousWitnesses)
	return &b
}

// OwnedCount returns the number of partitions that the node owns.
func (a *Assignment) OwnedCount(node string) int {
	count := 0
	for _, p := range a.Partitions {
		if p.Owner == node {
			count++
		}
	}
	return count
}
