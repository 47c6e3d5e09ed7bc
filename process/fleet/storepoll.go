package fleet

import (
	"math"
	"time"
)

const (
	// activePollInterval is the interval at which the active watchers together poll the
	// store, and each of those whose watches have not begun. They poll because a watch may
	// not report a change.
	activePollInterval = 600 * time.Millisecond
	// probeInterval is the mean interval at which each probing node polls. It does not
	// depend on the size of the fleet: a change must be in force within two seconds
	// after a store that was down has accepted it.
	probeInterval = 600 * time.Millisecond
	// lostPollInterval is the interval at which the nodes that do not probe poll
	// together while none is known to reach the store. They find a store that turns
	// only the probing nodes away.
	lostPollInterval = 600 * time.Millisecond
	// returnPollInterval is the mean interval of polls by a node that does not reach
	// the store while others do, or returnPollIntervalPerNode for each node of the
	// fleet if that is longer. After an outage the polls of all are then at most five a
	// second at any size. Nothing waits for them: probing nodes take the place of active
	// watchers that are lost.
	returnPollInterval        = 5 * time.Second
	returnPollIntervalPerNode = 200 * time.Millisecond
	// standbyPollInterval is the mean interval of polls by a standby node that reaches
	// the store, or standbyPollIntervalPerNode for each node of the fleet if that is
	// longer. They show whether the node still reaches it.
	standbyPollInterval        = 20 * time.Second
	standbyPollIntervalPerNode = 1500 * time.Millisecond
	// minPeriodicShare and maxPeriodicShare bound the jitter of a periodic poll, as
	// shares of the mean interval.
	minPeriodicShare = 0.75
	maxPeriodicShare = 1.25
	// MaxPollGap is the longest time between two polls of an active watcher whose watches
	// have not begun: maxPeriodicShare of the interval.
	MaxPollGap = activePollInterval + activePollInterval/4
)

// pollInterval returns the mean interval of the polls of a node with this role in a fleet
// of the given size. Polls are periodic if a few nodes make them. Otherwise the intervals
// have to be exponentially distributed, so that the polls of many nodes that begin to
// wait at the same moment leave no gap.
func (r StoreWatchRole) pollInterval(nodes int) (mean time.Duration, periodic bool) {
	switch {
	case r.AwaitsWatch:
		return activePollInterval, true
	case r.Active:
		return activePollInterval * time.Duration(r.Watchers), true
	case r.Probing:
		return probeInterval, true
	case r.Reaches:
		return max(standbyPollInterval, standbyPollIntervalPerNode*time.Duration(nodes)), false
	case r.Watchers == 0:
		return lostPollInterval * time.Duration(nodes), false
	}
	return max(returnPollInterval, returnPollIntervalPerNode*time.Duration(nodes)), false
}

// StorePollSchedule decides when a node polls the store next. Time that passes counts
// relative to the interval of the role that the node has meanwhile, so a long wait ends
// early if the role changes to one with a short interval. It is not safe for concurrent use.
type StorePollSchedule struct {
	// passed is the time since the latest poll, in mean intervals.
	passed float64
	// periodicShare and randomShare are the values of passed at which a periodic poll
	// and one of another role are due.
	periodicShare, randomShare float64
	// active is set if the node was an active watcher at the latest call.
	active bool
}

// NewStorePollSchedule returns a schedule that begins with a poll. Role is the one after
// that poll. Uniform is a random number in [0, 1).
func NewStorePollSchedule(role StoreWatchRole, uniform float64) *StorePollSchedule {
	return &StorePollSchedule{
		periodicShare: minPeriodicShare + uniform*(maxPeriodicShare-minPeriodicShare),
		randomShare:   -math.Log1p(-uniform),
		active:        role.Active,
	}
}

// Advance records that time has passed and reports whether a poll is due. If not, it
// returns when the poll will be due unless the role changes. A standby node that becomes
// an active watcher polls at once.
func (s *StorePollSchedule) Advance(role StoreWatchRole, nodes int, elapsed time.Duration) (due bool, remaining time.Duration) {
	mean, periodic := role.pollInterval(nodes)
	s.passed += float64(elapsed) / float64(mean)
	share := s.randomShare
	if periodic {
		share = s.periodicShare
	}
	due = s.passed >= share || role.Active && !s.active
	s.active = role.Active
	return due, time.Duration(max(0, share-s.passed) * float64(mean))
}
