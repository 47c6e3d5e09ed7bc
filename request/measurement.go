package request

import (
	"sync"
	"time"
)

// MeasurementPolicy bounds what a node spends on measuring the load of targets:
// separate messages, such as probes, and load data piggybacked on other messages.
type MeasurementPolicy struct {
	// MessagesPerSecond and BurstMessages bound the number of separate messages.
	MessagesPerSecond float64
	BurstMessages     int
	// BytesPerSecond and BurstBytes bound the size of separate messages and
	// piggybacked data, including headers.
	BytesPerSecond float64
	BurstBytes     int
	// CPUShare bounds the charged processor time, as a share of one core. Zero
	// means that it is not bounded.
	CPUShare float64
}

// DefaultMeasurementPolicy allows 20 messages and 4 kB per second and 0.2% of a
// core.
var DefaultMeasurementPolicy = MeasurementPolicy{
	MessagesPerSecond: 20,
	BurstMessages:     10,
	BytesPerSecond:    4096,
	BurstBytes:        4096,
	CPUShare:          0.002,
}

// measurementCPUBurst is how much unused processor time the budget can hold.
const measurementCPUBurst = 10 * time.Millisecond

// MeasurementUsage is what load measurements have used since the budget was
// created.
type MeasurementUsage struct {
	// Messages and Bytes count the allowed messages and bytes.
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
	// Denied counts the messages and the pieces of piggybacked data that would
	// have exceeded the budget.
	Denied int64 `json:"denied"`
	// CPU is the charged processor time.
	CPU time.Duration `json:"cpu"`
}

// MeasurementBudget bounds the cost of load measurements in messages, bytes and
// processor time. Over any period, it allows at most the rates times the length
// of the period plus the bursts. Processor time is known only after it was
// spent, and may overdraw the budget: then no further message is allowed until
// the overdraft is made up. It is safe for concurrent use.
type MeasurementBudget struct {
	mu         sync.Mutex
	messages   tokenBucket
	bytes      tokenBucket
	cpu        tokenBucket
	cpuBounded bool
	usage      MeasurementUsage
}

// NewMeasurementBudget returns a full budget for one node.
func NewMeasurementBudget(p MeasurementPolicy, now time.Time) *MeasurementBudget {
	return &MeasurementBudget{
		messages:   newTokenBucket(float64(p.BurstMessages), p.MessagesPerSecond, now),
		bytes:      newTokenBucket(float64(p.BurstBytes), p.BytesPerSecond, now),
		cpu:        newTokenBucket(measurementCPUBurst.Seconds(), p.CPUShare, now),
		cpuBounded: p.CPUShare > 0,
	}
}

// Allow reports whether the budget allows a message of the given size, headers
// included, and spends it if so.
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

// AllowPiggyback reports whether the budget allows the given number of bytes to
// be added to a message that is sent anyway, and spends them if so.
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

// ChargeCPU charges the processor time that an allowed message took.
func (b *MeasurementBudget) ChargeCPU(now time.Time, cost time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cpu.refill(now)
	b.cpu.tokens -= max(cost, 0).Seconds()
	b.usage.CPU += max(cost, 0)
}

// Usage returns what has been used since the budget was created.
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
