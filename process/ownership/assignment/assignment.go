// Package assignment is the content of the platform object that names, for
// one service, the owner of each key partition and the witnesses.
//
// All functions are pure: they return a changed copy, which takes effect only
// when a conditional write of the object succeeds.
package assignment

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Bounds of an assignment.
const (
	// MaxPartitions is the most partitions of a service.
	MaxPartitions = 64
	// DefaultWitnesses is the number of witnesses if there are enough nodes.
	DefaultWitnesses = 5
	// MaxWitnesses is the most witnesses of a service.
	MaxWitnesses = 15
)

// keyPrefix starts the keys of all ownership objects.
const keyPrefix = "ownership/"

// Prefix is the prefix of the keys of all ownership objects.
func Prefix() string { return keyPrefix }

// Key returns the key of the ownership object of a service.
func Key(service string) string { return keyPrefix + service }

// ServiceOf returns the service whose ownership object has the key.
func ServiceOf(key string) (service string, ok bool) {
	return strings.CutPrefix(key, keyPrefix)
}

// Handover tells that the former owner handed its claims over.
type Handover struct {
	// From is the former owner.
	From string `json:"from"`
	// Tenure is the tenure that ended with it.
	Tenure uint64 `json:"tenure"`
	// Transfer identifies the transfer that the new owner received.
	Transfer uint64 `json:"transfer"`
}

// Partition is one part of a service's key space.
type Partition struct {
	// Owner is the node that may run operations of the partition.
	Owner string `json:"owner"`
	// Incarnation is the life of the owner's process that owns it.
	Incarnation uint64 `json:"incarnation"`
	// Tenure grows with each change of the owner. The first is 1.
	Tenure uint64 `json:"tenure"`
	// Handover is set if the former owner handed its claims over.
	Handover *Handover `json:"handover,omitempty"`
}

// Assignment is the content of a service's ownership object.
type Assignment struct {
	// Partitions are the parts of the key space. Their number never changes.
	Partitions []Partition `json:"partitions"`
	// Witnesses are the nodes whose acknowledgements make a lease.
	Witnesses []string `json:"witnesses"`
	// PreviousWitnesses is set while the witnesses change. A lease then needs
	// a majority of both sets.
	PreviousWitnesses []string `json:"previous_witnesses,omitempty"`
	// Epoch grows with each change of the witnesses. The first is 1.
	Epoch uint64 `json:"epoch"`
}

// PartitionOf returns the number of the partition that a key belongs to.
func PartitionOf(key string, partitions int) int {
	return int(xxhash.Sum64String(key) % uint64(partitions))
}

// Encode returns the assignment as JSON.
func (a *Assignment) Encode() ([]byte, error) {
	data, err := json.Marshal(a)
	return data, errors.Wrap(err, "encode assignment")
}

// Decode returns the assignment that data holds.
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
		return errors.Errorf("%d partitions are outside 1..%d", n, MaxPartitions)
	}
	if n := len(a.Witnesses); n < 1 || n > MaxWitnesses {
		return errors.Errorf("%d witnesses are outside 1..%d", n, MaxWitnesses)
	}
	if n := len(a.PreviousWitnesses); n > MaxWitnesses {
		return errors.Errorf("%d previous witnesses are more than %d", n, MaxWitnesses)
	}
	if a.Epoch < 1 {
		return errors.New("epoch is missing")
	}
	for i, p := range a.Partitions {
		if p.Owner == "" || p.Tenure < 1 {
			return errors.Errorf("partition %d has no owner or no tenure", i)
		}
	}
	return nil
}

// Clone returns a copy that shares nothing with the assignment.
func (a *Assignment) Clone() *Assignment {
	b := *a
	b.Partitions = slices.Clone(a.Partitions)
	b.Witnesses = slices.Clone(a.Witnesses)
	b.PreviousWitnesses = slices.Clone(a.PreviousWitnesses)
	return &b
}

// OwnedCount returns how many partitions the node owns.
func (a *Assignment) OwnedCount(node string) int {
	count := 0
	for _, p := range a.Partitions {
		if p.Owner == node {
			count++
		}
	}
	return count
}
