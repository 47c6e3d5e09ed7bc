package gate

import "time"

// window counts events of the recent past, in any span of its length.
type window struct {
	span  time.Duration
	times []time.Time
}

// count returns the events of the last span.
func (w *window) count(now time.Time) int {
	w.trim(now)
	return len(w.times)
}

func (w *window) add(now time.Time) {
	w.trim(now)
	w.times = append(w.times, now)
}

// timeUntilBelow returns when fewer than limit events will lie within the span.
func (w *window) timeUntilBelow(now time.Time, limit int) time.Duration {
	w.trim(now)
	if len(w.times) < limit {
		return 0
	}
	if limit <= 0 {
		return w.span
	}
	return w.times[len(w.times)-limit].Add(w.span).Sub(now)
}

func (w *window) trim(now time.Time) {
	old := 0
	for old < len(w.times) && now.Sub(w.times[old]) >= w.span {
		old++
	}
	if old > 0 {
		w.times = append(w.times[:0], w.times[old:]...)
	}
}
