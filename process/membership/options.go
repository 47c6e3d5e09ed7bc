package membership

import (
	"cmp"
	"time"
)

// Options are the settings of a Table; zero fields take their defaults.
type Options struct {
	// Period is the time between two rounds of heartbeats.
	Period time.Duration
	// HeartbeatFanout is how many neighbours get a heartbeat in a round.
	HeartbeatFanout int
	// SuspectAfter is how long a neighbour may leave heartbeats unanswered
	// before it is suspected.
	SuspectAfter time.Duration
	// DeadAfter is how long a suspect has to refute before it is dead.
	DeadAfter time.Duration
	// ForgetAfter is how long dead and left members are remembered.
	ForgetAfter time.Duration
	// MinReconnectInterval is the least time between two attempts of this node to
	// reach members that are dead to it, after a cut.
	MinReconnectInterval time.Duration
	// SyncAfter is how long two tables may differ before they are compared.
	SyncAfter time.Duration
	// MinSyncInterval is the least time between two comparisons this node starts.
	MinSyncInterval time.Duration
	// MaxMembers is how many members, dead and left ones included, are kept.
	MaxMembers int
	// PiggybackBytes bounds the news on a heartbeat, in bytes, roughly.
	PiggybackBytes int
	// UrgentBytesPerSecond and UrgentBurst bound the news that is passed on at once
	// to each neighbour, in bytes, roughly; what exceeds them travels with the
	// heartbeats.
	UrgentBytesPerSecond float64
	UrgentBurstBytes     float64
	// MaxRumours is how many rumours are remembered, to pass each on once.
	MaxRumours int
	// MaxRumourBytes is the largest payload of a rumour.
	MaxRumourBytes int
}

// DefaultOptions returns the settings that zero fields take.
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
