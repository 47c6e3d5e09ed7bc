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

// oracleReportPeriod is the time between reports of a target that nothing reaches.
const oracleReportPeriod = 10 * time.Millisecond

// dialOracle opens the socket for reports to the oracle, if there is one.
func (t *Target) dialOracle() error {
	if t.options.OracleAddress == "" {
		return nil
	}
	conn, err := net.Dial("udp", t.options.OracleAddress)
	t.oracleConn = conn
	return errors.Wrapf(err, "dial oracle %s", t.options.OracleAddress)
}

// reportToOraclePeriodically reports to the oracle until the context ends.
func (t *Target) reportToOraclePeriodically(ctx context.Context) {
	if t.oracleConn == nil {
		return
	}
	for wait.For(ctx, oracleReportPeriod) {
		t.reportToOracle()
	}
	if err := t.oracleConn.Close(); err != nil {
		level.Warn(t.options.Logger).Log("msg", "close socket to oracle", "err", err)
	}
}

// reportToOracle reports the true load to the oracle.
func (t *Target) reportToOracle() {
	if t.oracleConn == nil {
		return
	}
	now := time.Now()
	t.mu.Lock()
	t.oracleSequence = max(t.oracleSequence+1, now.UnixNano())
	report := oracle.Report{Node: t.options.NodeName, Sequence: t.oracleSequence, Sample: t.trueLoadLocked(now)}
	t.mu.Unlock()
	_, _ = t.oracleConn.Write([]byte(report.String()))
}

func (t *Target) trueLoadLocked(now time.Time) load.Sample {
	sample := load.Sample{
		InFlight: t.capacity.inFlight,
		Limit:    t.capacity.concurrencyLimit(),
		Latency:  time.Duration(float64(t.options.ServiceTime) * t.slowdownLocked(now)),
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

// slowdownLocked is how many times longer than usual the work takes.
func (t *Target) slowdownLocked(now time.Time) float64 {
	slowness := t.coldFactorLocked()
	if now.Before(t.faults.slowUntil) {
		slowness *= t.faults.slowFactor
	}
	return slowness
}

// coldFactorLocked is how many times longer the work takes of a cold target.
func (t *Target) coldFactorLocked() float64 {
	if t.capacity.warm() {
		return 1
	}
	return t.options.ColdFactor
}
