package ownership

import (
	"time"
)

// State is a dump of the ownership state of a node.
type State struct {
	// Node and Incarnation identify this process.
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Leaving is true once the node has begun to hand over all its partitions.
	Leaving bool `json:"leaving"`
	// WitnessedServices is the number of services that this node is a witness
	// of.
	WitnessedServices int `json:"witnessed_services"`
	// Services lists the services whose ownership objects this node has
	// received.
	Services []ServiceState `json:"services"`
}

// ServiceState is a dump of the last known state of a service.
type ServiceState struct {
	Service string `json:"service"`
	// Version is the version of the service's ownership object.
	Version           uint64   `json:"version"`
	Epoch             uint64   `json:"epoch"`
	Witnesses         []string `json:"witnesses"`
	PreviousWitnesses []string `json:"previous_witnesses,omitempty"`
	// Writing is true while a conditional write of the object is pending.
	Writing    bool             `json:"writing"`
	Partitions []PartitionState `json:"partitions"`
}

// PartitionState is a dump of a partition.
type PartitionState struct {
	Partition int    `json:"partition"`
	Owner     string `json:"owner"`
	Tenure    uint64 `json:"tenure"`
	// Local is set for partitions that this process owns or has owned.
	Local *OwnedPartitionState `json:"mine,omitempty"`
}

// OwnedPartitionState is a dump of a partition at its current or a
// previous owner.
type OwnedPartitionState struct {
	// Owns is true if this process owns the partition.
	Owns bool `json:"owns"`
	// Begun is true once the tenure has obtained its first lease.
	Begun bool `json:"begun"`
	// LeaseLeftMillis is the remaining time of the lease, in milliseconds.
	LeaseLeftMillis int64 `json:"lease_left_ms"`
	// Successor is the node to which the partition is being handed over.
	Successor string `json:"handing_to,omitempty"`
	// FenceDated and FenceUndated are the bounds of the fence: see fence.Fence.
	FenceDated   time.Time `json:"fence_dated"`
	FenceUndated time.Time `json:"fence_undated"`
	// Claims is the number of claims in the table, Running the number of those
	// whose operation is running, and AnswerBytes the size of the kept answers.
	Claims      int `json:"claims"`
	Running     int `json:"running"`
	AnswerBytes int `json:"answer_bytes"`
}

// State returns a dump of the core's state at now.
func (c *Core) State(now ClockReading) *State {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := &State{
		Node:              c.node,
		Incarnation:       c.incarnation,
		Leaving:           c.leaving,
		WitnessedServices: c.witness.ServiceCount(),
	}
	services := *c.services.Load()
	for _, id := range c.serviceIDs {
		if v := services[id].view.Load(); v != nil {
			state.Services = append(state.Services, services[id].state(v, now))
		}
	}
	return state
}

func (s *service) state(v *view, now ClockReading) ServiceState {
	state := ServiceState{
		Service:           s.id,
		Version:           v.version,
		Epoch:             v.Epoch,
		Witnesses:         v.Witnesses,
		PreviousWitnesses: v.PreviousWitnesses,
		Writing:           s.pendingWrite != nil,
	}
	for i, p := range s.allPartitions() {
		state.Partitions = append(state.Partitions, PartitionState{
			Partition: i,
			Owner:     v.Partitions[i].Owner,
			Tenure:    v.Partitions[i].Tenure,
			Local:     p.state(now),
		})
	}
	return state
}

func (p *partition) state(now ClockReading) *OwnedPartitionState {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table == nil {
		return nil
	}
	state := &OwnedPartitionState{
		Owns:         p.tenure != 0,
		Begun:        p.begun,
		Successor:    p.successor,
		FenceDated:   p.fence.DatedUntil,
		FenceUndated: p.fence.UndatedUntil,
		Claims:       p.table.Len(),
		Running:      p.table.Running(),
		AnswerBytes:  p.table.AnswerBytes(),
	}
	if until, ok := p.lease.Expiry(); ok && p.tenure != 0 {
		state.LeaseLeftMillis = max(until-now.Monotonic, 0).Milliseconds()
	}
	return state
}
