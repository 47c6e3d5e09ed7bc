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

// oracleReportPeriod is the time between two reports of an idle target.
const oracleReportPeriod = 10 * time.Millisecond

// dialOracle opens the socket for reports to the oracle, if one is configured.
func (t *Target) dialOracle() error {
	if t.options.OracleAddress == "" {
		return nil
	}
	conn, err := net.Dial("udp", t.options.OracleAddress)
	t.oracleConn = conn
	return errors.Wrapf(err, "dial oracle %s", t.options.OracleAddress)
}

// reportToOraclePeriodically reports to the oracle until the context ends, and
// then closes the socket.
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

// reportToOracle sends the true load to the oracle, if one is configured.
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

// slowdownLocked returns the factor by which work takes longer than usual.
func (t *Target) slowdownLocked(now time.Time) float64 {
	factor := t.coldFactorLocked()
	if now.Before(t.faults.slowUntil) {
		factor *= t.faults.slowFactor
	}
	return factor
}

// coldFactorLocked returns the factor by which a cold target works longer.
func (t *Target) coldFactorLocked() float64 {
	if t.capacity.warm() {
		return 1
	}
	return t.options.ColdFactor
}
