package admission

import "time"

const (
	// hangMinInFlight is how many requests must run for their mean age to say something.
	hangMinInFlight = 4
	// meanAgeWeight is the weight of one admission in the usual mean age.
	meanAgeWeight = 0.01
)

// hangDetector finds a target that has suddenly become slow by the mean age of what
// runs there, before any of it is answered. Where latencies are far apart, a
// few long requests raise that age as well; but then short ones are still
// answered, so the guard asks ramp.silent too.
type hangDetector struct {
	factor float64
	// usualAge is the usual mean age of what runs.
	usualAge time.Duration
}

// suspected reports whether the mean age of what runs is out of the usual.
func (h *hangDetector) suspected(age time.Duration, count int) bool {
	return h.factor > 0 && h.usualAge > 0 && count >= hangMinInFlight && age > h.threshold()
}

// observe moves the usual mean age towards the present one, by little if that
// is out of the usual. It looks at admissions only: a slow target is asked as
// often as before, but admits less.
func (h *hangDetector) observe(age time.Duration, count int) {
	if count < hangMinInFlight {
		return
	}
	if h.usualAge == 0 {
		h.usualAge = age
		return
	}
	h.usualAge += time.Duration(meanAgeWeight * float64(min(age, h.threshold())-h.usualAge))
}

func (h *hangDetector) threshold() time.Duration {
	return time.Duration(h.factor*float64(h.usualAge)) + slowAllowance
}
