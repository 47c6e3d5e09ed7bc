package target

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"verbenatrestle/connection/load"
	"verbenatrestle/internal/standin/oracle"
	"verbenatrestle/internal/wait"
)

// truthPeriod is the time between reports of a target that nothing reaches.
const truthPeriod = 10 * time.Millisecond

// dialOracle opens the socket for reports to the oracle, if there is one.
func (t *Target) dialOracle() error {
	if t.options.OracleAddress == "" {
		return nil
	}
	conn, err := net.Dial("udp", t.options.OracleAddress)
	t.oracle = conn
	return errors.Wrapf(err, "dial oracle %s", t.options.OracleAddress)
}

// tellPeriodically reports to the oracle until the context ends.
func (t *Target) tellPeriodically(ctx context.Context) {
	if t.oracle == nil {
		return
	}
	for wait.For(ctx, truthPeriod) {
		t.tell()
	}
	if err := t.oracle.Close(); err != nil {
		level.Warn(t.options.Logger).Log("msg", "close socket to oracle", "err", err)
	}
}

// tell reports the true load to the oracle.
func (t *Target) tell() {
	if t.oracle == nil {
		return
	}
	now := time.Now()
	t.mu.Lock()
	t.sequence = max(t.sequence+1, now.UnixNano())
	report := oracle.Report{Node: t.options.NodeName, Sequence: t.sequence, Sample: t.truthLocked(now)}
	t.mu.Unlock()
	_, _ = t.oracle.Write([]byte(report.String()))
}

func (t *Target) truthLocked(now time.Time) load.Sample {
	sample := load.Sample{
		InFlight: t.capacity.inFlight,
		Limit:    t.capacity.bears(),
		Latency:  time.Duration(float64(t.options.ServiceTime) * t.slownessLocked(now)),
		State:    load.Warm,
	}
	switch t.stateLocked(now) {
	case "cold":
		sample.State = load.Cold
	case "draining":
		sample.State = load.Draining
	case "failing":
		sample.State = load.Ejected
	}
	return sample
}

// slownessLocked is how many times longer than usual the work takes.
func (t *Target) slownessLocked(now time.Time) float64 {
	slowness := t.coldnessLocked()
	if now.Before(t.faults.slowUntil) {
		slowness *= t.faults.slowFactor
	}
	return slowness
}

// coldnessLocked is how many times longer the work takes of a cold target.
func (t *Target) coldnessLocked() float64 {
	if t.capacity.warm() {
		return 1
	}
	return t.options.ColdFactor
}
