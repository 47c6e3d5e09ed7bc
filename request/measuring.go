package request

import (
	"sync"
	"time"
)

// MeasurementPolicy bounds what a node spends on measuring the load of targets
// by messages of their own, such as probes, and by what rides on others.
type MeasurementPolicy struct {
	// MessagesPerSecond and BurstMessages bound the messages.
	MessagesPerSecond float64
	BurstMessages     int
	// BytesPerSecond and BurstBytes bound the bytes, with headers.
	BytesPerSecond float64
	BurstBytes     int
	// CPUShare bounds the processor time charged, as a share of one core.
	// Zero means no bound.
	CPUShare float64
}

// DefaultMeasurementPolicy is at most 20 messages, 4 kB and 0.2% of a core a second.
var DefaultMeasurementPolicy = MeasurementPolicy{
	MessagesPerSecond: 20,
	BurstMessages:     10,
	BytesPerSecond:    4096,
	BurstBytes:        4096,
	CPUShare:          0.002,
}

// measurementCPUBurst is how much processor time is kept while none is spent.
const measurementCPUBurst = 10 * time.Millisecond

// MeasurementUsage tells what measuring has cost since the start.
type MeasurementUsage struct {
	// Messages and Bytes count what was allowed.
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
	// Denied counts the messages that the budget had no room for.
	Denied int64 `json:"denied"`
	// CPU is the processor time charged.
	CPU time.Duration `json:"cpu"`
}

// MeasurementBudget bounds the cost of measuring in messages, bytes and
// processor time. Over any time, what it allows is at most the rates times
// that time plus the bursts. Processor time is known only after it was spent:
// nothing is allowed until an overdraft is paid off.
type MeasurementBudget struct {
	mu         sync.Mutex
	messages   tokenBucket
	bytes      tokenBucket
	cpu        tokenBucket
	cpuBounded bool
	usage      MeasurementUsage
}

// NewMeasurementBudget returns a full budget of one node.
func NewMeasurementBudget(p MeasurementPolicy, now time.Time) *MeasurementBudget {
	return &MeasurementBudget{
		messages:   newTokenBucket(float64(p.BurstMessages), p.MessagesPerSecond, now),
		bytes:      newTokenBucket(float64(p.BurstBytes), p.BytesPerSecond, now),
		cpu:        newTokenBucket(measurementCPUBurst.Seconds(), p.CPUShare, now),
		cpuBounded: p.CPUShare > 0,
	}
}

// Allow spends one message of so many bytes, if the budget has them.
func (b *MeasurementBudget) Allow(now time.Time, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.canAfford(now, float64(bytes)) {
		b.usage.Denied++
		return false
	}
	b.messages.take(now, 1)
	b.bytes.take(now, float64(bytes))
	b.usage.Messages++
	b.usage.Bytes += int64(bytes)
	return true
}

// AllowPiggyback spends so many bytes that ride on a message which is sent anyway, if
// the budget has them.
func (b *MeasurementBudget) AllowPiggyback(now time.Time, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes.refill(now)
	if bytes < 0 || b.bytes.tokens < float64(bytes) {
		b.usage.Denied++
		return false
	}
	b.bytes.take(now, float64(bytes))
	b.usage.Bytes += int64(bytes)
	return true
}

// ChargeCPU takes processor time that an allowed message turned out to cost.
func (b *MeasurementBudget) ChargeCPU(now time.Time, cost time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cpu.refill(now)
	b.cpu.tokens -= max(cost, 0).Seconds()
	b.usage.CPU += max(cost, 0)
}

// Usage returns what measuring has cost since the start.
func (b *MeasurementBudget) Usage() MeasurementUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage
}

func (b *MeasurementBudget) canAfford(now time.Time, bytes float64) bool {
	b.messages.refill(now)
	b.bytes.refill(now)
	b.cpu.refill(now)
	if bytes < 0 || b.messages.tokens < 1 || b.bytes.tokens < bytes {
		return false
	}
	return !b.cpuBounded || b.cpu.tokens > 0
}
