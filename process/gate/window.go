package gate

import "time"

// window counts the events of a sliding time window.
type window struct {
	span time.Duration
	// times holds the events of the window, the oldest first.
	times []time.Time
}

// count returns the number of events within the last span.
func (w *window) count(now time.Time) int {
	w.trim(now)
	return len(w.times)
}

// add records an event.
func (w *window) add(now time.Time) {
	w.trim(now)
	w.times = append(w.times, now)
}

// timeUntilBelow returns the time until fewer than limit events lie within the
// window, if none is added, and the whole span if limit is not positive.
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

// trim drops the events that are older than the span.
func (w *window) trim(now time.Time) {
	old := 0
	for old < len(w.times) && now.Sub(w.times[old]) >= w.span {
		old++
	}
	if old > 0 {
		w.times = append(w.times[:0], w.times[old:]...)
	}
}
