package request

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// grant is something that a budget allowed, with the latest time told to the
// budget by then.
type grant struct {
	at   time.Time
	cost float64
}

// checkRate fails if any run of grants is more than burst plus rate times its span.
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

// drawTime moves a clock on, now and then back, as readers on several threads
// see it.
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

// Promise 1: measuring never costs more than its budget, however often asked.
func TestMeasuringNeverExceedsItsBudget(t *testing.T) {
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
		var last float64
		for range rapid.IntRange(1, 150).Draw(t, "asks") {
			now = drawTime(t, now)
			latest = laterOf(latest, now)
			size := rapid.IntRange(0, 2000).Draw(t, "size")
			if !b.Allow(now, size) {
				continue
			}
			messages = append(messages, grant{latest, 1})
			bytes = append(bytes, grant{latest, float64(size)})
			last = float64(rapid.IntRange(0, 2000).Draw(t, "cost us")) / 1e6
			b.ChargeCPU(now, time.Duration(last*1e9))
			cpu = append(cpu, grant{latest, last})
		}
		checkRate(t, "messages", messages, float64(p.BurstMessages), p.MessagesPerSecond)
		checkRate(t, "bytes", bytes, float64(p.BurstBytes), p.BytesPerSecond)
		const dearest = 0.002 // seconds; a cost is known only after its message
		checkRate(t, "processor", cpu, measurementCPUBurst.Seconds()+dearest, p.CPUShare)
		if spent := b.Usage(); spent.Messages != int64(len(messages)) {
			t.Fatalf("%d messages spent, %d allowed", spent.Messages, len(messages))
		}
	})
}

// Retries can't amplify an overload: they are at most the burst, the share of
// the answers and the floor, over any time.
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
		for _, asked := range rapid.SliceOfN(rapid.Bool(), 1, 400).Draw(t, "hedge") {
			b.RecordRequest()
			requests++
			if asked && b.Allow(start) {
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
		t.Error("a delay without a latency")
	}
	for i := range 1000 {
		b.Observe(time.Duration(i)*100*time.Microsecond, start)
	}
	delay, ok := b.Delay(start.Add(hedgeWindow))
	if !ok || delay < 88*time.Millisecond || delay > 102*time.Millisecond {
		t.Errorf("delay %v, %v; want 95 ms within the histogram's precision", delay, ok)
	}
}

// What runs and what starts stay within the limits, through new versions of
// the configuration, and nothing is left over once nothing runs.
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
				t.Fatalf("limiter counts %d, %d run", l.InFlight(key), inFlight)
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
			t.Fatalf("%d states left over", n)
		}
	})
}
