package admission

import "time"

const (
	// hangLeast is how many requests must run for their mean age to say something.
	hangLeast = 4
	// hangShare is the weight of one admission in the usual mean age.
	hangShare = 0.01
)

// hang finds a target that has suddenly become slow by the mean age of what
// runs there, before any of it is answered. Where latencies are far apart, a
// few long requests raise that age as well; but then short ones are still
// answered, so the guard asks ramp.silent too.
type hang struct {
	factor float64
	// usual is the usual mean age of what runs.
	usual time.Duration
}

// sudden reports whether the mean age of what runs is out of the usual.
func (h *hang) sudden(age time.Duration, count int) bool {
	return h.factor > 0 && h.usual > 0 && count >= hangLeast && age > h.bound()
}

// learn moves the usual mean age towards the present one, by little if that
// is out of the usual. It looks at admissions only: a slow target is asked as
// often as before, but admits less.
func (h *hang) learn(age time.Duration, count int) {
	if count < hangLeast {
		return
	}
	if h.usual == 0 {
		h.usual = age
		return
	}
	h.usual += time.Duration(hangShare * float64(min(age, h.bound())-h.usual))
}

func (h *hang) bound() time.Duration {
	return time.Duration(h.factor*float64(h.usual)) + slowAllowance
}
