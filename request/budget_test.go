package request

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// grant is the cost of something that a budget allowed. Its time is the latest
// time that had been passed to the budget by then.
type grant struct {
	at   time.Time
	cost float64
}

// checkRate fails if any sequence of successive grants costs more than the burst
// plus the rate times the duration of the sequence.
func checkRate(t *rapid.T, what string, grants []grant, burst, rate float64) {
	const rounding = 1e-6
	for i := range grants {
		sum := 0.0
		for _, g := range grants[i:] {
			sum += g.cost
			bound := burst + rate*g.at.Sub(grants[i].at).Seconds()
			if sum > bound+rounding {
				t.Fatalf("%s: %v allowed within %v, the budget is %v", what, sum, g.at.Sub(grants[i].at), bound)
			}
		}
	}
}

// drawTime moves the clock, mostly forward and sometimes back: goroutines that
// read the clock can reach the budget in another order.
func drawTime(t *rapid.T, now time.Time) time.Time {
	step := rapid.IntRange(-50, 200).Draw(t, "step ms")
	return now.Add(time.Duration(step) * time.Millisecond)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Load measurements never cost more than their budget, however often they are
// requested.
func TestMeasurementStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := MeasurementPolicy{
			MessagesPerSecond: float64(rapid.IntRange(1, 50).Draw(t, "messages/s")),
			BurstMessages:     rapid.IntRange(1, 20).Draw(t, "burst messages"),
			BytesPerSecond:    float64(rapid.IntRange(100, 5000).Draw(t, "bytes/s")),
			BurstBytes:        rapid.IntRange(100, 5000).Draw(t, "burst bytes"),
			CPUShare:          0.01,
		}
		b := NewMeasurementBudget(p, start)
		now, latest := start, start
		var messages, bytes, cpu []grant
		var cost float64
		for range rapid.IntRange(1, 150).Draw(t, "asks") {
			now = drawTime(t, now)
			latest = laterOf(latest, now)
			size := rapid.IntRange(0, 2000).Draw(t, "size")
			if !b.Allow(now, size) {
				continue
			}
			messages = append(messages, grant{latest, 1})
			bytes = append(bytes, grant{latest, float64(size)})
			cost = float64(rapid.IntRange(0, 2000).Draw(t, "cost us")) / 1e6
			b.ChargeCPU(now, time.Duration(cost*1e9))
			cpu = append(cpu, grant{latest, cost})
		}
		checkRate(t, "messages", messages, float64(p.BurstMessages), p.MessagesPerSecond)
		checkRate(t, "bytes", bytes, float64(p.BurstBytes), p.BytesPerSecond)
		const maxCost = 0.002 // seconds; the cost of a message is known only after it was allowed
		checkRate(t, "processor", cpu, measurementCPUBurst.Seconds()+maxCost, p.CPUShare)
		if usage := b.Usage(); usage.Messages != int64(len(messages)) {
			t.Fatalf("the usage counts %d messages, %d were allowed", usage.Messages, len(messages))
		}
	})
}

// Retries can't amplify an overload: over any period, their cost is at most the
// burst plus the ratio of the answered requests plus the minimum rate.
func TestRetriesAreAShareOfAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := RetryPolicy{Ratio: 0.1, MinPerSecond: 2, Burst: 5}
		b := NewRetryBudget(p, start)
		now, latest := start, start
		var retries []grant
		answers := 0.0
		answersAt := []float64{}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = drawTime(t, now)
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				b.RecordSuccess()
				answers++
			case 1:
				latest = laterOf(latest, now)
				if b.AllowAfterUnknown(now) {
					retries = append(retries, grant{latest, retryCostUnknown})
					answersAt = append(answersAt, answers)
				}
			case 2:
				latest = laterOf(latest, now)
				if b.AllowAfterRefusal(now) {
					retries = append(retries, grant{latest, retryCostRefusal})
					answersAt = append(answersAt, answers)
				}
			}
		}
		for i := range retries {
			sum := 0.0
			for j := i; j < len(retries); j++ {
				sum += retries[j].cost
				elapsed := retries[j].at.Sub(retries[i].at).Seconds()
				bound := p.Burst + p.MinPerSecond*elapsed + p.Ratio*(answersAt[j]-answersAt[i])
				if sum > bound+1e-6 {
					t.Fatalf("retries cost %v, the budget is %v", sum, bound)
				}
			}
		}
	})
}

func TestHedgesAreAShareOfRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := HedgePolicy{Ratio: 0.05, Burst: 3, Quantile: 95}
		b := NewHedgeBudget(p, start)
		requests, hedges := 0.0, 0.0
		for _, hedge := range rapid.SliceOfN(rapid.Bool(), 1, 400).Draw(t, "hedge") {
			b.RecordRequest()
			requests++
			if hedge && b.Allow(start) {
				hedges++
			}
			if hedges > p.Ratio*requests+1e-9 {
				t.Fatalf("%v hedges of %v requests", hedges, requests)
			}
		}
	})
}

func TestHedgeDelayIsAHighQuantile(t *testing.T) {
	b := NewHedgeBudget(DefaultHedgePolicy, start)
	if _, ok := b.Delay(start); ok {
		t.Error("Delay returned a delay before any latency was recorded")
	}
	for i := range 1000 {
		b.Observe(time.Duration(i)*100*time.Microsecond, start)
	}
	delay, ok := b.Delay(start.Add(hedgeWindow))
	if !ok || delay < 88*time.Millisecond || delay > 102*time.Millisecond {
		t.Errorf("delay %v, %v; want 95 ms within the precision of the histogram", delay, ok)
	}
}

// Requests in flight and request starts stay within the limits when the limits
// change, and no state is left once no request is in flight.
func TestLimiterKeepsLimits(t *testing.T) {
	key := ShareKey{Organisation: "kodumala", Service: "archive"}
	rapid.Check(t, func(t *rapid.T) {
		l := NewLimiter()
		limits := Limits{}
		now, latest := start, start
		inFlight := 0
		var starts []grant
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			now = drawTime(t, now)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				limits = Limits{
					MaxInFlight:   rapid.IntRange(0, 5).Draw(t, "in flight"),
					RatePerSecond: float64(rapid.IntRange(0, 20).Draw(t, "rate")),
					Burst:         rapid.IntRange(1, 5).Draw(t, "burst"),
				}
				l.SetLimits(map[ShareKey]Limits{key: limits}, latest)
				starts = nil
			case 1, 2, 3, 4:
				if inFlight > 0 {
					l.Release(key)
					inFlight--
				}
			default:
				latest = laterOf(latest, now)
				if l.Acquire(key, now) == nil {
					inFlight++
					starts = append(starts, grant{latest, 1})
					if limits.MaxInFlight > 0 && inFlight > limits.MaxInFlight {
						t.Fatalf("%d in flight, the limit is %d", inFlight, limits.MaxInFlight)
					}
				}
			}
			if l.InFlight(key) != inFlight {
				t.Fatalf("limiter counts %d requests in flight, want %d", l.InFlight(key), inFlight)
			}
		}
		if limits.RatePerSecond > 0 {
			checkRate(t, "starts", starts, float64(limits.Burst), limits.RatePerSecond)
		}
		l.SetLimits(nil, latest)
		for ; inFlight > 0; inFlight-- {
			l.Release(key)
		}
		if n := len(l.shard(key).states); n != 0 {
			t.Fatalf("%d states left", n)
		}
	})
}
