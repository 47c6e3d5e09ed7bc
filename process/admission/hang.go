package admission

import "time"

const (
	// hangMinInFlight is the number of requests in flight below which their mean
	// age is no evidence of a hang.
	hangMinInFlight = 4
	// meanAgeWeight is the weight of one admission in the usual mean age.
	meanAgeWeight = 0.01
)

// hangDetector detects a target that has suddenly become slow by the mean age
// of the requests in flight, before any of them is answered. If latencies vary
// widely, a few long requests raise the mean age too, but short ones are still
// answered. Therefore the Controller also checks that no request was answered
// promptly (see coldStartLimit.noPromptAnswer).
type hangDetector struct {
	factor float64
	// usualAge is the usual mean age of the requests in flight.
	usualAge time.Duration
}

// suspected reports whether the mean age of the requests in flight is far
// above the usual one.
func (h *hangDetector) suspected(age time.Duration, inFlight int) bool {
	return h.factor > 0 && h.usualAge > 0 && inFlight >= hangMinInFlight && age > h.threshold()
}

// observe moves the usual mean age towards the present one, which counts as no
// more than the threshold. It is called at admissions only: a slow target is
// sent as many requests as before, but admits fewer, so the ages during a hang
// have little weight.
func (h *hangDetector) observe(age time.Duration, inFlight int) {
	if inFlight < hangMinInFlight {
		return
	}
	if h.usualAge == 0 {
		h.usualAge = age
		return
	}
	h.usualAge += time.Duration(meanAgeWeight * float64(min(age, h.threshold())-h.usualAge))
}

func (h *hangDetector) threshold() time.Duration {
	return time.Duration(h.factor*float64(h.usualAge)) + slowMargin
}
