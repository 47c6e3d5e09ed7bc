package membership

import (
	"cmp"
	"time"
)

// Options are the settings of a Table. Zero fields take their defaults, see
// DefaultOptions.
type Options struct {
	// Period is the mean time between two rounds of heartbeats.
	Period time.Duration
	// HeartbeatFanout is how many neighbours are sent a heartbeat in a round.
	HeartbeatFanout int
	// SuspectAfter is how long a neighbour may leave heartbeats unanswered
	// before it is suspected.
	SuspectAfter time.Duration
	// DeadAfter is how long a suspect has to refute the suspicion before it is
	// declared dead.
	DeadAfter time.Duration
	// ForgetAfter is how long dead and left members are remembered.
	ForgetAfter time.Duration
	// MinReconnectInterval is a lower bound on the mean time between two
	// attempts of this node to reach a dead member, which may be on the other
	// side of a network partition.
	MinReconnectInterval time.Duration
	// SyncAfter is how long the digests of two tables may differ before the
	// tables are compared.
	SyncAfter time.Duration
	// MinSyncInterval is the least time between two comparisons that this node
	// starts.
	MinSyncInterval time.Duration
	// MaxMembers is the largest number of other members in the table, dead and
	// left ones included.
	MaxMembers int
	// PiggybackBytes is the approximate limit on the size of the updates in a
	// heartbeat, in bytes.
	PiggybackBytes int
	// UrgentBytesPerSecond and UrgentBurstBytes are the rate and the size of
	// the token bucket for urgent updates, in approximate bytes sent to each
	// neighbour. Updates that exceed it travel with the heartbeats.
	UrgentBytesPerSecond float64
	UrgentBurstBytes     float64
	// MaxRumours is how many recent rumours are remembered, so that each is
	// forwarded once.
	MaxRumours int
	// MaxRumourBytes is the largest payload of a rumour, in bytes.
	MaxRumourBytes int
}

// DefaultOptions returns the values that replace zero fields.
func DefaultOptions() Options {
	return Options{
		Period:               time.Second,
		HeartbeatFanout:      4,
		SuspectAfter:         3 * time.Second,
		DeadAfter:            4 * time.Second,
		ForgetAfter:          2 * time.Hour,
		MinReconnectInterval: 10 * time.Second,
		SyncAfter:            2 * time.Second,
		MinSyncInterval:      time.Second,
		MaxMembers:           8192,
		PiggybackBytes:       1000,
		UrgentBytesPerSecond: 400,
		UrgentBurstBytes:     3000,
		MaxRumours:           4096,
		MaxRumourBytes:       1024,
	}
}

// withDefaults returns the options with zero fields set to their defaults.
func (o Options) withDefaults() Options {
	d := DefaultOptions()
	o.Period = cmp.Or(o.Period, d.Period)
	o.HeartbeatFanout = cmp.Or(o.HeartbeatFanout, d.HeartbeatFanout)
	o.SuspectAfter = cmp.Or(o.SuspectAfter, d.SuspectAfter)
	o.DeadAfter = cmp.Or(o.DeadAfter, d.DeadAfter)
	o.ForgetAfter = cmp.Or(o.ForgetAfter, d.ForgetAfter)
	o.MinReconnectInterval = cmp.Or(o.MinReconnectInterval, d.MinReconnectInterval)
	o.SyncAfter = cmp.Or(o.SyncAfter, d.SyncAfter)
	o.MinSyncInterval = cmp.Or(o.MinSyncInterval, d.MinSyncInterval)
	o.MaxMembers = cmp.Or(o.MaxMembers, d.MaxMembers)
	o.PiggybackBytes = cmp.Or(o.PiggybackBytes, d.PiggybackBytes)
	o.UrgentBytesPerSecond = cmp.Or(o.UrgentBytesPerSecond, d.UrgentBytesPerSecond)
	o.UrgentBurstBytes = cmp.Or(o.UrgentBurstBytes, d.UrgentBurstBytes)
	o.MaxRumours = cmp.Or(o.MaxRumours, d.MaxRumours)
	o.MaxRumourBytes = cmp.Or(o.MaxRumourBytes, d.MaxRumourBytes)
	return o
}
